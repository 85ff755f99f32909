package dispatch_test

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
	"github.com/cardamomyoke/cardamomyoke/internal/policy/dispatch"
	"github.com/cardamomyoke/cardamomyoke/internal/state/catalog"
)

// The groups that these tests play: ranks in lock-step, whose passes take a base and what the rank with most to read reads.
const (
	passBase   = 60 * time.Millisecond
	readPerMS  = 61.2
	passChunk  = 512
	passStride = 5
	// streamEvents is the mean length of an answer; one event comes in a pass.
	streamEvents = 23
	meanPrompt   = 700.0
	maxPrompt    = 2800
	aimFirst     = 400 * time.Millisecond
	aimPause     = 120 * time.Millisecond
	leavesAfter  = 2 * time.Second
)

// stream is a request that is at a rank.
type stream struct {
	gateway *gatewayReplay
	ticket  *dispatch.Ticket
	request dispatch.Request
	// due is until when its caller wants the first event.
	due    time.Time
	unread int
	events int
	late   bool
}

// caller is a request and until when its caller wants the first event.
type caller struct {
	request dispatch.Request
	due     time.Time
}

// gatewayReplay is one of the gateways before the group, with its own pool.
type gatewayReplay struct {
	pool    *dispatch.Pool
	waiting map[*dispatch.Ticket]caller
	// told is what the others were told last of what this gateway has in flight, tellAt when they are told next.
	told   map[ids.UpstreamIncarnation]dispatch.Work
	tellAt time.Time
}

// groupReplay plays a group of ranks behind some gateways. Time is a variable.
type groupReplay struct {
	now      time.Time
	rng      *rand.Rand
	gateways []*gatewayReplay
	order    []ids.Upstream
	slots    int
	// at are the streams at each rank, in order of arrival: the first ones run, the others wait for a slot.
	at map[ids.Upstream][]*stream
	// interval is the time between two tellings of a gateway.
	interval time.Duration
	closed   bool
	// openedAt is when the group formed last. For firstMap after that its passes take firstMapSlow times as long, as its map
	// knows nothing of the demand.
	openedAt     time.Time
	firstMap     time.Duration
	firstMapSlow float64
	// stall is for how long streams stand still before they are cut; their callers come back then.
	stall     time.Duration
	returning []caller
	returnAt  time.Time
	// The counts are of requests by their end, queued of those that waited in an engine for a slot.
	onTime, late, refused, queued int
}

// newGroupReplay returns a group that is idle; the pools know of each other's placing only if told.
func newGroupReplay(seed uint64, gateways, ranks, slots int, interval time.Duration, told bool, off ...dispatch.Mechanism) *groupReplay {
	g := &groupReplay{
		now: time.Unix(0, 0), rng: rand.New(rand.NewPCG(seed, 3)), slots: slots,
		at: map[ids.Upstream][]*stream{}, interval: interval,
	}
	list := upstreams(ranks, slots)
	for _, u := range list {
		g.order = append(g.order, u.ID)
	}
	switched := dispatch.Off{}
	for _, m := range off {
		switched[m] = true
	}
	engine := &catalog.Engine{Chunk: passChunk, Stride: passStride}
	for i := range gateways {
		gw := &gatewayReplay{
			pool: dispatch.NewPool(
				dispatch.Options{Engine: engine, Fill: 1, LateFill: 0.6, Off: switched}, rand.New(rand.NewPCG(seed, uint64(10+i)))),
			waiting: map[*dispatch.Ticket]caller{},
			tellAt:  g.now.Add(time.Duration(g.rng.Int64N(int64(interval)))),
		}
		gw.pool.SetUpstreams(list, g.now)
		if told {
			gw.pool.SetSharing(dispatch.Sharing{Gateways: gateways, Interval: interval})
		}
		g.gateways = append(g.gateways, gw)
	}
	return g
}

// prompt draws a length as callers' are: many short, some several times the mean.
func (g *groupReplay) prompt() int {
	return int(min(maxPrompt, max(40, meanPrompt*math.Exp(0.8*g.rng.NormFloat64()-0.32))))
}

func (g *groupReplay) arrive() {
	due := g.now.Add(aimFirst)
	g.submit(caller{dispatch.Request{Arrived: g.now, Aim: due, Latest: g.now.Add(leavesAfter), PromptTokens: g.prompt()}, due})
}

// submit sends a request to any of the gateways.
func (g *groupReplay) submit(c caller) {
	gw := g.gateways[g.rng.IntN(len(g.gateways))]
	t := gw.pool.Submit(c.request, g.now)
	gw.waiting[t] = c
	if t.Upstream() != nil || t.Err() != nil {
		g.decide(gw, []*dispatch.Ticket{t})
	}
}

func (g *groupReplay) decide(gw *gatewayReplay, list []*dispatch.Ticket) {
	for _, t := range list {
		c := gw.waiting[t]
		q := c.request
		delete(gw.waiting, t)
		if t.Err() != nil {
			g.refused++
			continue
		}
		u := t.Upstream().ID
		if len(g.at[u]) >= g.slots {
			g.queued++
		}
		events := 1 + g.rng.IntN(2*streamEvents)
		g.at[u] = append(g.at[u], &stream{gateway: gw, ticket: t, request: q, due: c.due, unread: q.PromptTokens, events: events})
	}
}

// read has each rank read prompts for one pass. It returns the streams that are read and the most that one rank read.
func (g *groupReplay) read() (first []*stream, most int) {
	for _, u := range g.order {
		room := passChunk * passStride
		for _, s := range g.at[u][:min(g.slots, len(g.at[u]))] {
			n := min(room, s.unread)
			if n == 0 {
				continue
			}
			s.unread -= n
			room -= n
			if s.unread == 0 {
				first = append(first, s)
			}
		}
		most = max(most, passChunk*passStride-room)
	}
	return first, most
}

// pass plays one pass and returns its length.
func (g *groupReplay) pass() time.Duration {
	first, most := g.read()
	length := passBase + time.Duration(float64(most)/readPerMS*float64(time.Millisecond))
	if g.hasFirstMap() {
		length = time.Duration(float64(length) * g.firstMapSlow)
	}
	g.now = g.now.Add(length)
	for _, s := range first {
		s.late = g.now.After(s.due)
		s.gateway.pool.Answered(s.ticket, g.now)
	}
	for _, s := range g.write(length) {
		if s.late {
			g.late++
		} else {
			g.onTime++
		}
		g.decide(s.gateway, s.gateway.pool.Done(s.ticket, dispatch.OutcomeOK, g.now))
	}
	return length
}

// write has each stream whose prompt is read write an event, and returns those that end.
func (g *groupReplay) write(length time.Duration) (ended []*stream) {
	for _, u := range g.order {
		var rest []*stream
		for i, s := range g.at[u] {
			if i < g.slots && s.unread == 0 {
				s.events--
				s.late = s.late || length > aimPause
			}
			if i < g.slots && s.unread == 0 && s.events <= 0 {
				ended = append(ended, s)
			} else {
				rest = append(rest, s)
			}
		}
		g.at[u] = rest
	}
	return ended
}

// tell has the gateways that are due tell the others what they have in flight.
func (g *groupReplay) tell() {
	for _, gw := range g.gateways {
		if !g.now.Before(gw.tellAt) {
			gw.told = gw.pool.Own()
			gw.tellAt = gw.tellAt.Add(g.interval)
		}
	}
	for _, gw := range g.gateways {
		sum := map[ids.UpstreamIncarnation]dispatch.Work{}
		for _, o := range g.gateways {
			if o == gw {
				continue
			}
			for u, w := range o.told {
				sum[u] = dispatch.Work{Requests: sum[u].Requests + w.Requests, PromptTokens: sum[u].PromptTokens + w.PromptTokens}
			}
		}
		g.decide(gw, gw.pool.SetOthers(sum, g.now, g.now))
	}
}

// setClosed breaks the group off with all that it runs, or lets it work again.
func (g *groupReplay) setClosed(closed bool) {
	g.closed = closed
	for _, gw := range g.gateways {
		g.decide(gw, gw.pool.SetClosed(closed, g.now))
	}
	if !closed {
		g.openedAt = g.now
		return
	}
	for _, u := range g.order {
		cut := g.at[u]
		g.at[u] = nil
		for _, s := range cut {
			s.gateway.pool.Done(s.ticket, dispatch.OutcomeNone, g.now)
			g.returning = append(g.returning, caller{s.request, s.due})
		}
	}
	g.returnAt = g.now.Add(g.stall)
	g.comeBack()
}

// comeBack offers the requests of streams that were cut once more, when it is time.
func (g *groupReplay) comeBack() {
	if g.now.Before(g.returnAt) {
		return
	}
	for _, c := range g.returning {
		// A gateway takes it for a new one, though its caller counts from the first request.
		c.request.Arrived, c.request.Aim, c.request.Latest = g.now, g.now.Add(aimFirst), g.now.Add(leavesAfter)
		g.submit(c)
	}
	g.returning = nil
}

func (g *groupReplay) hasFirstMap() bool {
	return !g.openedAt.IsZero() && g.now.Sub(g.openedAt) < g.firstMap
}

// outage is a time in which the group does not work.
type outage struct{ from, length time.Duration }

// play runs the group for some time under a load, in requests a second.
func (g *groupReplay) play(perSecond float64, length time.Duration, down outage) {
	begin := g.now
	next := begin
	for g.now.Before(begin.Add(length)) {
		since := g.now.Sub(begin)
		inOutage := since >= down.from && since < down.from+down.length
		if inOutage != g.closed {
			g.setClosed(inOutage)
		}
		began := g.now
		if g.closed {
			g.now = g.now.Add(passBase)
		} else {
			g.pass()
		}
		end := g.now
		for g.now = began; next.Before(end); next = next.Add(time.Duration(g.rng.ExpFloat64() / perSecond * float64(time.Second))) {
			g.now = next
			g.arrive()
		}
		g.now = end
		g.comeBack()
		g.tell()
		for _, gw := range g.gateways {
			g.decide(gw, gw.pool.Tick(g.now))
		}
	}
}
