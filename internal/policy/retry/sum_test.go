package retry_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	cardamomyokev1 "github.com/cardamomyoke/cardamomyoke/internal/gen/cardamomyoke/v1"
	"github.com/cardamomyoke/cardamomyoke/internal/policy/retry"
)

// The model runs gateways in virtual time: callers, upstreams of which many fail, the store's row, and what the gateways report to
// each other.
const (
	modelLength = 40 * time.Second
	// reportInterval is the interval of reports between gateways, each of which goes to reportTargets of them.
	reportInterval = 200 * time.Millisecond
	reportTargets  = 20
	// maxTries is how often a gateway tries again after another one has changed the row.
	maxTries = 12
	// grantInterval is the interval at which a gateway asks for grants.
	grantInterval = 300 * time.Millisecond
	// maxCallTime is the time of a call to the store, maxPlacementWait how long a reserved retry waits for an upstream, and
	// maxArrivalTime the time from its sending to its arrival.
	maxCallTime      = 30 * time.Millisecond
	maxPlacementWait = 8 * time.Second
	maxArrivalTime   = 250 * time.Millisecond
)

var modelBound = retry.Bound{Length: 10 * time.Second, Ratio: 0.2, Extra: 90}

// model is one run.
type model struct {
	rng    *rand.Rand
	start  time.Time
	now    time.Time
	events eventQueue
	hosts  []*modelHost
	// perSecond is the present rate of requests, failing the present share of attempts that fail.
	perSecond, failing float64
	// row is the row of grants, rowVersion its version; lostRows the number of times that it came back older.
	row        *cardamomyokev1.RetryGrants
	rowVersion int
	rows       []*cardamomyokev1.RetryGrants
	era        uint64
	storeDown  bool
	// sent and retries are when callers sent requests and when retries arrived.
	sent, retries []time.Time
}

// modelHost is a host with at most one gateway process at a time.
type modelHost struct {
	life int
	// frozenUntil is when the host runs again; side is its part of a network that is cut in two.
	frozenUntil time.Time
	side        int
	running     bool
	startedAt   time.Time
	budget      *retry.SharedBudget
	ledger      *retry.Ledger
	reports     map[*modelHost]report
	eraSince    map[uint64]time.Time
}

type report struct {
	at    time.Time
	first int
}

type event struct {
	at time.Time
	do func()
}

type eventQueue []event

func (q eventQueue) Len() int           { return len(q) }
func (q eventQueue) Less(i, j int) bool { return q[i].at.Before(q[j].at) }
func (q eventQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)        { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

func newModel(seed uint64, gateways int) *model {
	m := &model{rng: rand.New(rand.NewPCG(seed, uint64(gateways))), start: time.Unix(1000, 0), row: &cardamomyokev1.RetryGrants{}}
	m.now = m.start
	m.rows = []*cardamomyokev1.RetryGrants{m.row}
	m.perSecond = 20 + 20*m.rng.Float64()*float64(min(gateways, 40))
	for range gateways {
		h := &modelHost{}
		m.hosts = append(m.hosts, h)
		m.startGateway(h)
	}
	return m
}

func (m *model) after(d time.Duration, do func()) {
	heap.Push(&m.events, event{m.now.Add(d), do})
}

func (m *model) upTo(most time.Duration) time.Duration {
	return time.Duration(m.rng.Int64N(int64(most)))
}

// run plays all events.
func (m *model) run() {
	m.after(0, m.request)
	m.after(m.upTo(3*time.Second), m.disturb)
	for len(m.events) > 0 {
		e := heap.Pop(&m.events).(event)
		if e.at.Sub(m.start) > modelLength {
			return
		}
		m.now = e.at
		e.do()
	}
}

// on runs do on the host at a later time if the same process still runs; a frozen host does it once it runs again.
func (m *model) on(h *modelHost, after time.Duration, do func()) {
	life := h.life
	m.after(after, func() {
		switch {
		case !h.running || h.life != life:
		case m.now.Before(h.frozenUntil):
			m.on(h, h.frozenUntil.Sub(m.now), do)
		default:
			do()
		}
	})
}

func (m *model) startGateway(h *modelHost) {
	h.life++
	h.running, h.startedAt = true, m.now
	h.budget, h.ledger, h.reports = retry.NewSharedBudget(), retry.NewLedger(), map[*modelHost]report{}
	h.eraSince = map[uint64]time.Time{}
	h.budget.SetBound(modelBound)
	m.on(h, m.upTo(reportInterval), func() { m.report(h) })
	m.on(h, m.upTo(grantInterval), func() { m.askForGrant(h) })
}

// request sends a caller's request to a random gateway, and schedules the next one.
func (m *model) request() {
	m.after(time.Duration(m.rng.ExpFloat64()/m.perSecond*float64(time.Second)), m.request)
	m.sent = append(m.sent, m.now)
	h := m.hosts[m.rng.IntN(len(m.hosts))]
	for range 3 { // callers try up to three gateways
		if h.running {
			break
		}
		h = m.hosts[m.rng.IntN(len(m.hosts))]
	}
	if !h.running || m.now.Before(h.frozenUntil) {
		return
	}
	h.budget.RecordFirst(m.now)
	m.attempt(h, 3)
}

// attempt lets an attempt fail and be retried, while up to left further attempts are permitted.
func (m *model) attempt(h *modelHost, left int) {
	if left == 0 || m.rng.Float64() > m.failing {
		return
	}
	m.on(h, m.upTo(50*time.Millisecond), func() {
		token, ok := h.budget.Take(m.now)
		if !ok {
			return
		}
		wait := m.upTo(20 * time.Millisecond)
		if m.rng.IntN(10) == 0 {
			wait = m.upTo(maxPlacementWait)
		}
		m.on(h, wait, func() { m.send(h, token, left) })
	})
}

func (m *model) send(h *modelHost, token retry.Token, left int) {
	if m.rng.IntN(20) == 0 {
		h.budget.Return(token, m.now)
		return
	}
	if _, ok := h.budget.Send(token, m.now); !ok {
		return
	}
	m.after(m.upTo(maxArrivalTime), func() { m.retries = append(m.retries, m.now) })
	m.attempt(h, left-1)
}

// report tells the other gateways on the same side of a cut how many requests this one got.
func (m *model) report(h *modelHost) {
	m.on(h, reportInterval, func() { m.report(h) })
	r := report{m.now, h.budget.Usage(m.now).First}
	for range min(reportTargets, len(m.hosts)-1) {
		to := m.hosts[m.rng.IntN(len(m.hosts))]
		if to != h && to.running && to.side == h.side && m.rng.IntN(20) > 0 {
			m.on(to, m.upTo(5*time.Millisecond), func() { to.reports[h] = r })
		}
	}
}

// askForGrant reads the row and replaces it if nobody has changed it since.
func (m *model) askForGrant(h *modelHost) {
	m.on(h, grantInterval+m.upTo(grantInterval), func() { m.askForGrant(h) })
	m.readRow(h, maxTries)
}

func (m *model) readRow(h *modelHost, tries int) {
	if m.storeDown || tries == 0 {
		return
	}
	row, version, era := m.row, m.rowVersion, m.era
	m.on(h, m.upTo(maxCallTime), func() {
		if h.eraSince[era].IsZero() {
			h.eraSince[era] = m.now
		}
		h.ledger.Merge(row, era, m.now.Sub(h.eraSince[era]), m.now)
		limit := retry.GrantLimit(modelBound, m.firstKnown(h), true)
		p := h.ledger.Propose(h.budget.Wanted(m.now), limit, modelBound, m.now)
		if p.Retries == 0 && row.GetEra() == p.Row.GetEra() {
			return
		}
		requested := m.now
		m.after(m.upTo(maxCallTime), func() { m.commit(h, p, version, era, requested, tries) })
	})
}

func (m *model) firstKnown(h *modelHost) int {
	sum := h.budget.Usage(m.now).First
	for _, r := range h.reports {
		sum += retry.Reported(r.first, m.now.Sub(r.at), modelBound)
	}
	return sum
}

func (m *model) commit(h *modelHost, p retry.Proposal, version int, era uint64, requested time.Time, tries int) {
	if version != m.rowVersion || era != m.era {
		m.on(h, m.upTo(maxCallTime), func() { m.readRow(h, tries-1) })
		return
	}
	if m.storeDown {
		return
	}
	m.row, m.rowVersion = p.Row, m.rowVersion+1
	m.rows = append(m.rows, m.row)
	if m.rng.IntN(20) == 0 {
		return // the response is lost
	}
	m.on(h, m.upTo(maxCallTime), func() {
		h.ledger.Accepted(p, m.now)
		h.budget.Grant(p.Retries, requested)
	})
}

// disturb causes one to several disturbances at once, and schedules the next ones.
func (m *model) disturb() {
	m.after(m.upTo(3*time.Second), m.disturb)
	kinds := []func(){m.kill, m.kill, m.freeze, m.cut, m.replace, m.storeFails, m.fail, m.fail, m.load, m.comeBackOlder}
	for range 1 + m.rng.IntN(3) {
		kinds[m.rng.IntN(len(kinds))]()
	}
}

// some returns a random selection of hosts: one, some or all.
func (m *model) some() []*modelHost {
	shuffled := slices.Clone(m.hosts)
	m.rng.Shuffle(len(shuffled), func(i, j int) { shuffled[i], shuffled[j] = shuffled[j], shuffled[i] })
	switch m.rng.IntN(3) {
	case 0:
		return shuffled[:1]
	case 1:
		return shuffled[:1+m.rng.IntN(len(shuffled))]
	}
	return shuffled
}

func (m *model) kill() {
	for _, h := range m.some() {
		h.running = false
		life := h.life
		m.after(50*time.Millisecond+m.upTo(2*time.Second), func() {
			if !h.running && h.life == life {
				m.startGateway(h)
			}
		})
	}
}

func (m *model) freeze() {
	length := m.upTo(4 * time.Second)
	for _, h := range m.some() {
		h.frozenUntil = m.now.Add(length)
	}
}

// cut cuts the network between gateways in two, or so that no gateway hears another.
func (m *model) cut() {
	apart := m.rng.IntN(2) == 0
	for i, h := range m.hosts {
		h.side = m.rng.IntN(2)
		if apart {
			h.side = i
		}
	}
	m.after(m.upTo(15*time.Second), func() {
		for _, h := range m.hosts {
			h.side = 0
		}
	})
}

// replace removes a host for good, and adds another one.
func (m *model) replace() {
	old := m.hosts[m.rng.IntN(len(m.hosts))]
	old.running = false
	old.life++
	h := &modelHost{}
	m.hosts[slices.Index(m.hosts, old)] = h
	m.after(m.upTo(2*time.Second), func() {
		if !h.running {
			m.startGateway(h)
		}
	})
}

func (m *model) storeFails() {
	m.storeDown = true
	m.after(m.upTo(5*time.Second), func() { m.storeDown = false })
}

func (m *model) fail() {
	m.failing = []float64{0, 0, 0.7, 1, 1, 1, 1}[m.rng.IntN(7)]
}

func (m *model) load() {
	before := m.perSecond
	m.perSecond *= 0.5 + 1.5*m.rng.Float64()
	m.after(m.upTo(5*time.Second), func() { m.perSecond = before })
}

// comeBackOlder restores an earlier row in a new era, rarely.
func (m *model) comeBackOlder() {
	if m.rng.IntN(4) == 0 {
		m.row = m.rows[m.rng.IntN(len(m.rows))]
		m.rowVersion++
		m.era++
	}
}

// worst returns the largest excess of retries in a window over what the users' rules allow in it.
func (m *model) worst() (excess float64, text string) {
	slices.SortFunc(m.retries, time.Time.Compare)
	excess = -modelBound.Extra
	for i, at := range m.retries {
		for _, from := range []time.Time{at, at.Add(-modelBound.Length)} {
			n := countIn(m.retries, from)
			requests := 0
			for _, earlier := range []time.Duration{0, modelBound.Length / 2, modelBound.Length} {
				requests = max(requests, countIn(m.sent, from.Add(-earlier)))
			}
			allowed := modelBound.Ratio*float64(requests) + modelBound.Extra
			if float64(n)-allowed > excess {
				excess, text = float64(n)-allowed, fmt.Sprintf("retry %d: %d in the window from %s, allowed %.0f", i, n, from.Sub(m.start), allowed)
			}
		}
	}
	return excess, text
}

func countIn(sorted []time.Time, from time.Time) int {
	first, _ := slices.BinarySearchFunc(sorted, from, time.Time.Compare)
	end, _ := slices.BinarySearchFunc(sorted, from.Add(modelBound.Length+1), time.Time.Compare)
	return end - first
}

// Guards against gateways that together retry more than all of them may, however they are killed, started, replaced, frozen and
// cut off from each other and from the store, and however long a retry waits before it is sent.
func TestAllLivesTogetherKeepSumOfRetries(t *testing.T) {
	seeds := 40
	if testing.Short() {
		seeds = 4
	}
	for _, gateways := range []int{1, 2, 3, 9, 24, 120, 360} {
		t.Run(fmt.Sprint(gateways), func(t *testing.T) {
			t.Parallel()
			most, retries := -modelBound.Extra, 0
			for seed := range uint64(max(1, seeds/(1+gateways/10))) {
				m := newModel(seed, gateways)
				m.run()
				excess, text := m.worst()
				most, retries = max(most, excess), retries+len(m.retries)
				if excess > 0 {
					t.Errorf("seed %d: %s", seed, text)
				}
			}
			t.Logf("%d retries, nearest to the limit %.0f", retries, -most)
		})
	}
}
