package admission

import (
	"sync"
	"time"
)

// Gate makes a Queue safe for concurrent use. Its mutex is held only for the microseconds of one decision, never while
// a request waits.
type Gate struct {
	mu      sync.Mutex
	queue   *Queue
	tickets map[uint64]*Ticket
}

// Ticket tracks one request in a Gate.
type Ticket struct {
	gate    *Gate
	id      uint64
	decided chan struct{}
	err     error
}

// NewGate returns a gate around q. The caller must not use q directly any more.
func NewGate(q *Queue) *Gate { return &Gate{queue: q, tickets: make(map[uint64]*Ticket)} }

// Submit adds a request. Its ticket is decided on return or later.
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

// SetCapacity changes the capacity; see Queue.SetCapacity.
func (g *Gate) SetCapacity(c Capacity) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.queue.SetCapacity(c)
}

// Counts returns the numbers of waiting and of started requests.
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

// Decided returns a channel that is closed once the request may start or is refused.
func (t *Ticket) Decided() <-chan struct{} { return t.decided }

// Err returns nil if the request may start, else a *failure.Error. It must not be called before Decided is closed.
func (t *Ticket) Err() error { return t.err }

// Done ends the request in any state (waiting, started or refused) and frees its capacity. used is the work that it
// took, in tokens. Further calls do nothing.
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
