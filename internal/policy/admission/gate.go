package admission

import (
	"sync"
	"time"
)

// Gate lets many traffic goroutines use one Queue. A mutex is held for the microseconds of one decision only; nobody
// waits for a place while holding it.
type Gate struct {
	mu      sync.Mutex
	queue   *Queue
	tickets map[uint64]*Ticket
}

// Ticket is one request's wait for its place.
type Ticket struct {
	gate    *Gate
	id      uint64
	decided chan struct{}
	err     error
}

// NewGate returns a gate around q, which must not be used otherwise any more.
func NewGate(q *Queue) *Gate { return &Gate{queue: q, tickets: make(map[uint64]*Ticket)} }

// Submit takes in a request. The ticket is settled at once or later.
func (g *Gate) Submit(req Request, now time.Time) *Ticket {
	g.mu.Lock()
	defer g.mu.Unlock()
	t := &Ticket{gate: g, id: req.ID, decided: make(chan struct{})}
	g.tickets[req.ID] = t
	g.decide(g.queue.Submit(req, now))
	return t
}

// Tick must be called every few tens of milliseconds; see Queue.Tick.
func (g *Gate) Tick(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.decide(g.queue.Tick(now))
}

// SetCapacity passes a new capacity on; see Queue.SetCapacity.
func (g *Gate) SetCapacity(c Capacity) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.queue.SetCapacity(c)
}

// Counts returns how many requests wait and how many are started.
func (g *Gate) Counts() (waiting, started int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.queue.Waiting(), g.queue.Started()
}

func (g *Gate) decide(outcomes []Outcome) {
	for _, o := range outcomes {
		t := g.tickets[o.Request.ID]
		t.err = o.Err
		close(t.decided)
		delete(g.tickets, o.Request.ID)
	}
}

// Decided is closed once the request may start or is refused.
func (t *Ticket) Decided() <-chan struct{} { return t.decided }

// Err returns nil if the request may start, else *failure.Error. It may be called once Decided is closed.
func (t *Ticket) Err() error { return t.err }

// Done frees the request's place, whatever became of it: waiting, started or refused. used is the work that it took,
// in tokens. Further calls do nothing.
func (t *Ticket) Done(used float64, now time.Time) {
	g := t.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.queue.Cancel(t.id) {
		delete(g.tickets, t.id)
		return
	}
	g.decide(g.queue.Done(t.id, used, now))
}
