package quarantine

import (
	"context"
	"sync"
	"time"

	"github.com/cardamomyoke/cardamomyoke/internal/base/failure"
	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
)

// Gate is a Guard for the goroutines of a slot. It is safe for concurrent use.
type Gate struct {
	mu      sync.Mutex
	guard   *Guard
	waiting map[Ticket]chan Decision
}

// NewGate returns the gate of an idle upstream; period is policies.quarantine_s.
func NewGate(slot ids.Incarnation, period time.Duration) *Gate {
	return &Gate{guard: NewGuard(slot, period), waiting: map[Ticket]chan Decision{}}
}

// Permit is leave to run one attempt on the upstream.
type Permit struct {
	gate   *Gate
	ticket Ticket
}

// SetPeriod changes the length of a quarantine.
func (g *Gate) SetPeriod(d time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.guard.Tracker().SetPeriod(d)
}

// Merge takes in what entries say of suspects.
func (g *Gate) Merge(news ...Suspect) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.tell(g.guard.Merge(time.Now(), news...))
}

// Digest returns what the slot has to say of suspects, the latest crash first.
func (g *Gate) Digest(now time.Time, limit int) []Suspect {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.guard.Tracker().Expire(now)
	return g.guard.Tracker().Digest(now, limit)
}

// Acquire waits until the request may run on the upstream; level is the entry's. A *failure.Error is a refusal before
// the start.
func (g *Gate) Acquire(ctx context.Context, r Running, level Level) (*Permit, error) {
	g.mu.Lock()
	decision := g.guard.Submit(time.Now(), r, level)
	var later chan Decision
	if decision.Admission == Wait {
		later = make(chan Decision, 1)
		g.waiting[decision.Ticket] = later
	}
	g.mu.Unlock()
	if later == nil {
		return g.permit(decision)
	}
	select {
	case decision = <-later:
		return g.permit(decision)
	case <-ctx.Done():
		return nil, g.cancel(decision.Ticket)
	}
}

func (g *Gate) permit(d Decision) (*Permit, error) {
	if d.Admission == Enter {
		return &Permit{gate: g, ticket: d.Ticket}, nil
	}
	refusal := failure.New(failure.CodeNoUpstream, nil)
	if d.Level == Refused {
		refusal = Refusal(time.Now(), d.Until)
	}
	return nil, refusal.WithProof(failure.ProofRefusedBeforeStart)
}

// cancel withdraws a request whose caller does not wait any longer, also if its turn came at the same moment.
func (g *Gate) cancel(t Ticket) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.waiting, t)
	g.tell(g.guard.Cancel(t))
	g.tell(g.guard.Release(time.Now(), t, Stopped))
	return failure.New(failure.CodeDeadlineUnmet, nil).WithProof(failure.ProofRefusedBeforeStart)
}

// Release ends the run; only the first call counts.
func (p *Permit) Release(end End) {
	p.gate.mu.Lock()
	defer p.gate.mu.Unlock()
	p.gate.tell(p.gate.guard.Release(time.Now(), p.ticket, end))
}

// Died says that the upstream is dead, by a refused connection or a new process in its place. What ran is suspect here
// at once and stands in the next Digest; it returns whether anything ran.
func (g *Gate) Died() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	decisions, any := g.guard.Died(time.Now())
	g.tell(decisions)
	return any
}

// tell hands turns to those who wait for them.
func (g *Gate) tell(decisions []Decision) {
	for _, d := range decisions {
		if c := g.waiting[d.Ticket]; c != nil {
			delete(g.waiting, d.Ticket)
			c <- d
		}
	}
}
