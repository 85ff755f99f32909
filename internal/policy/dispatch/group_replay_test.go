package dispatch_test

import (
	"maps"
	"math"
	"math/rand/v2"
	"time"

	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
	"github.com/cardamomyoke/cardamomyoke/internal/policy/dispatch"
	"github.com/cardamomyoke/cardamomyoke/internal/state/catalog"
)

// Parameters of the simulated groups. Ranks work in lockstep: a pass takes passBase plus the prefill time of the rank
// with the most prompt tokens to process.
const (
	passBase     = 60 * time.Millisecond
	prefillPerMS = 61.2
	passChunk    = 512
	passStride   = 5
	// streamEvents is about the mean number of events in a response; a stream gets one event per pass.
	streamEvents        = 23
	meanPrompt          = 700.0
	maxPrompt           = 2800
	streamTarget        = 400 * time.Millisecond
	maxEventGap         = 120 * time.Millisecond
	streamCallerTimeout = 2 * time.Second
)

// stream is a request that is at a rank.
type stream struct {
	gateway *simulatedGateway
	ticket  *dispatch.Ticket
	request dispatch.Request
	// due is the time by which the caller wants the first event.
	due        time.Time
	promptLeft int
	events     int
	late       bool
	caller     caller
}

// caller is a request and the time by which its caller wants the first event.
type caller struct {
	request dispatch.Request
	due     time.Time
	// gateway and events are drawn when the request arrives if there are several data centres, so that runs with
	// different placements have the same requests.
	gateway *simulatedGateway
	events  int
	// retried is set if the request is the caller's second one.
	retried bool
}

// simulatedGateway is one of the gateways in front of the group, with its own pool.
type simulatedGateway struct {
	pool    *dispatch.Pool
	waiting map[*dispatch.Ticket]caller
	// reported is the work in flight of this gateway as last reported to the others, reportAt the time of the next
	// report.
	reported map[ids.UpstreamIncarnation]dispatch.Work
	reportAt time.Time
	centre   ids.DataCentre
}

// groupSimulation simulates a group of ranks behind several gateways on a virtual clock.
type groupSimulation struct {
	now      time.Time
	rng      *rand.Rand
	gateways []*simulatedGateway
	order    []ids.Upstream
	list     []*catalog.Upstream
	slots    int
	// centres is the number of data centres, 0 for one. Callers of each demand between 1-centreSwing and 1+centreSwing
	// times the mean within centrePeriod, with peaks at different times.
	centres      int
	centreDelay  time.Duration
	centreSwing  float64
	centrePeriod time.Duration
	// at holds the streams at each rank in order of arrival: the first ones run, the others wait for a slot.
	at map[ids.Upstream][]*stream
	// interval is the time between two reports of a gateway.
	interval time.Duration
	closed   bool
	// openedAt is when the group last formed. Its passes take initialMapSlowdown times as long for the first
	// initialMapTime after that, because its initial expert map is not based on the demand.
	openedAt           time.Time
	initialMapTime     time.Duration
	initialMapSlowdown float64
	// resendDelay is how long streams of a broken group are paused before they are truncated; their callers then send
	// the request again.
	resendDelay time.Duration
	toResend    []caller
	resendAt    time.Time
	// The counters count requests by how they ended; queued counts those that waited at their rank for a slot.
	onTime, late, refused, queued int
	// near counts the streams that were placed in their gateway's data centre, of all that were placed.
	near, placed int
	// classes is set if the load has several classes; see classes_replay_test.go.
	classes *classLoad
	// accounts is set if the load has client accounts; see accounts_replay_test.go.
	accounts *accountLoad
}

// newGroupSimulation returns an idle group. The pools take each other's placements into account only if sharing is set.
func newGroupSimulation(seed uint64, gateways, ranks, slots int, interval time.Duration, sharing bool, off ...dispatch.Mechanism) *groupSimulation {
	g := &groupSimulation{
		now: time.Unix(0, 0), rng: rand.New(rand.NewPCG(seed, 3)), slots: slots,
		at: map[ids.Upstream][]*stream{}, interval: interval,
	}
	list := upstreams(ranks, slots)
	g.list = list
	for _, u := range list {
		g.order = append(g.order, u.ID)
	}
	disabled := dispatch.DisabledMechanisms{}
	for _, m := range off {
		disabled[m] = true
	}
	engine := &catalog.Engine{Chunk: passChunk, Stride: passStride}
	for i := range gateways {
		gw := &simulatedGateway{
			pool: dispatch.NewPool(
				dispatch.Options{Engine: engine, Fill: 1, LateFill: 0.6, Disabled: disabled}, rand.New(rand.NewPCG(seed, uint64(10+i)))),
			waiting:  map[*dispatch.Ticket]caller{},
			reportAt: g.now.Add(time.Duration(g.rng.Int64N(int64(interval)))),
		}
		gw.pool.SetUpstreams(list, g.now)
		if sharing {
			gw.pool.SetSharing(dispatch.Sharing{Gateways: gateways, Interval: interval})
		}
		g.gateways = append(g.gateways, gw)
	}
	return g
}

// prompt returns a random prompt length from a realistic distribution: many are short, some are several times the mean.
func (g *groupSimulation) prompt() int {
	return int(min(maxPrompt, max(40, meanPrompt*math.Exp(0.8*g.rng.NormFloat64()-0.32))))
}

func (g *groupSimulation) arrive() {
	due := g.now.Add(streamTarget)
	c := caller{
		request: dispatch.Request{Arrived: g.now, Target: due, Deadline: g.now.Add(streamCallerTimeout), PromptTokens: g.prompt()}, due: due,
	}
	if g.centres > 0 {
		c.gateway, c.events = g.gateways[g.pickGateway()], 1+g.rng.IntN(2*streamEvents)
	}
	if g.accounts != nil {
		c.request.Account, c.request.Tokens = g.accounts.draw(g), c.request.PromptTokens+outputWork
	}
	g.submit(c)
}

// submit sends a request to its gateway, or to a random one.
func (g *groupSimulation) submit(c caller) {
	gw := c.gateway
	if gw == nil {
		gw = g.gateways[g.rng.IntN(len(g.gateways))]
	}
	t := gw.pool.Submit(c.request, g.now)
	gw.waiting[t] = c
	if t.Upstream() != nil || t.Err() != nil {
		g.decide(gw, []*dispatch.Ticket{t})
	}
	if g.classes != nil || g.accounts != nil {
		g.decide(gw, gw.pool.Shed(g.now))
	}
}

func (g *groupSimulation) decide(gw *simulatedGateway, list []*dispatch.Ticket) {
	for _, t := range list {
		c := gw.waiting[t]
		q := c.request
		delete(gw.waiting, t)
		if t.Err() != nil {
			g.refused++
			g.accounts.refused(q)
			if g.classes != nil {
				g.classes.refuse(g, c, t.Err())
			}
			continue
		}
		g.placed++
		if t.Upstream().DataCentre == gw.centre {
			g.near++
		}
		u := t.Upstream().ID
		if len(g.at[u]) >= g.slots {
			g.queued++
		}
		events := c.events
		if events == 0 {
			events = 1 + g.rng.IntN(2*streamEvents)
		}
		g.at[u] = append(g.at[u], &stream{gateway: gw, ticket: t, request: q, due: c.due, promptLeft: q.PromptTokens, events: events, caller: c})
	}
}

// prefill simulates the prefill work of all ranks in one pass. It returns the streams whose prefill is now done and the
// maximum number of tokens that a rank processed.
func (g *groupSimulation) prefill() (first []*stream, maxTokens int) {
	for _, u := range g.order {
		capacity := passChunk * passStride
		for _, s := range g.at[u][:min(g.slots, len(g.at[u]))] {
			n := min(capacity, s.promptLeft)
			if n == 0 {
				continue
			}
			s.promptLeft -= n
			capacity -= n
			if s.promptLeft == 0 {
				first = append(first, s)
			}
		}
		maxTokens = max(maxTokens, passChunk*passStride-capacity)
	}
	return first, maxTokens
}

// pass simulates one pass and returns its length.
func (g *groupSimulation) pass() time.Duration {
	first, maxTokens := g.prefill()
	length := passBase + time.Duration(float64(maxTokens)/prefillPerMS*float64(time.Millisecond))
	if g.usesInitialMap() {
		length = time.Duration(float64(length) * g.initialMapSlowdown)
	}
	g.now = g.now.Add(length)
	g.finishPass(first, length)
	return length
}

// finishPass applies the events of a pass that ends now; first lists the streams whose prefill it has done.
func (g *groupSimulation) finishPass(first []*stream, length time.Duration) {
	for _, s := range first {
		s.late = g.now.Add(g.roundTrip(s)).After(s.due)
		s.gateway.pool.Responded(s.ticket, g.now)
	}
	for _, s := range g.writeEvents(length) {
		if s.late {
			g.late++
		} else {
			g.onTime++
		}
		if g.classes != nil {
			g.classes.finish(s)
		}
		g.accounts.finished(s)
		g.decide(s.gateway, s.gateway.pool.Done(s.ticket, dispatch.OutcomeOK, g.now))
	}
}

// writeEvents adds an event to each stream whose prefill is done, and returns the streams that are finished.
func (g *groupSimulation) writeEvents(length time.Duration) (done []*stream) {
	for _, u := range g.order {
		var rest []*stream
		for i, s := range g.at[u] {
			if i < g.slots && s.promptLeft == 0 {
				s.events--
				s.late = s.late || length > maxEventGap
			}
			if i < g.slots && s.promptLeft == 0 && s.events <= 0 {
				done = append(done, s)
			} else {
				rest = append(rest, s)
			}
		}
		g.at[u] = rest
	}
	return done
}

// exchangeReports updates the reports of the gateways that are due, and gives each gateway the sum of the others'
// reports.
func (g *groupSimulation) exchangeReports() {
	for _, gw := range g.gateways {
		if !g.now.Before(gw.reportAt) {
			gw.reported = gw.pool.OwnWork()
			gw.reportAt = gw.reportAt.Add(g.interval)
		}
	}
	all := map[ids.UpstreamIncarnation]dispatch.Work{}
	for _, gw := range g.gateways {
		for u, w := range gw.reported {
			all[u] = dispatch.Work{Requests: all[u].Requests + w.Requests, PromptTokens: all[u].PromptTokens + w.PromptTokens}
		}
	}
	for _, gw := range g.gateways {
		others := maps.Clone(all)
		for u, w := range gw.reported {
			others[u] = dispatch.Work{Requests: all[u].Requests - w.Requests, PromptTokens: all[u].PromptTokens - w.PromptTokens}
		}
		g.decide(gw, gw.pool.SetOthersWork(others, g.now, g.now))
	}
}

// setClosed breaks the group and truncates all its streams, or lets it work again.
func (g *groupSimulation) setClosed(closed bool) {
	g.closed = closed
	for _, gw := range g.gateways {
		g.decide(gw, gw.pool.SetClosed(closed, g.now))
	}
	if !closed {
		g.openedAt = g.now
		return
	}
	for _, u := range g.order {
		truncated := g.at[u]
		g.at[u] = nil
		for _, s := range truncated {
			s.gateway.pool.Done(s.ticket, dispatch.OutcomeNone, g.now)
			g.toResend = append(g.toResend, caller{request: s.request, due: s.due})
		}
	}
	if g.classes != nil {
		g.classes.loseAll(g)
		return
	}
	g.resendAt = g.now.Add(g.resendDelay)
	g.resend()
}

// resend submits the requests of truncated streams again once resendAt is reached.
func (g *groupSimulation) resend() {
	if g.now.Before(g.resendAt) {
		return
	}
	for _, c := range g.toResend {
		// The gateway treats it as a new request, but the caller's time still counts from the first one.
		c.request.Arrived, c.request.Target, c.request.Deadline = g.now, g.now.Add(streamTarget), g.now.Add(streamCallerTimeout)
		g.submit(c)
	}
	g.toResend = nil
}

func (g *groupSimulation) usesInitialMap() bool {
	return !g.openedAt.IsZero() && g.now.Sub(g.openedAt) < g.initialMapTime
}

// outage is a period in which the group does not work.
type outage struct{ from, length time.Duration }

// run simulates the group for some time under a load in requests per second.
func (g *groupSimulation) run(perSecond float64, length time.Duration, down outage) {
	begin := g.now
	next := begin
	for g.now.Before(begin.Add(length)) {
		since := g.now.Sub(begin)
		inOutage := since >= down.from && since < down.from+down.length
		if inOutage != g.closed {
			g.setClosed(inOutage)
		}
		passStart := g.now
		if g.closed {
			g.now = g.now.Add(passBase)
		} else {
			g.pass()
		}
		end := g.now
		for g.now = passStart; next.Before(end); next = next.Add(time.Duration(g.rng.ExpFloat64() / perSecond * float64(time.Second))) {
			g.now = next
			g.arrive()
		}
		g.now = end
		g.resend()
		g.exchangeReports()
		g.exchangeAccounts()
		for _, gw := range g.gateways {
			g.decide(gw, gw.pool.Tick(g.now))
		}
	}
}
