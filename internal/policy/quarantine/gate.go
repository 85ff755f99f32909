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
	waiting map[Ticket]chan Turn
}

// NewGate returns the gate of an idle upstream; period is policies.quarantine_s.
func NewGate(slot ids.Incarnation, period time.Duration) *Gate {
	return &Gate{guard: NewGuard(slot, period), waiting: map[Ticket]chan Turn{}}
}

// Pass is leave to run one attempt on the upstream.
type Pass struct {
	gate   *Gate
	ticket Ticket
}

// SetPeriod changes the length of a quarantine.
func (g *Gate) SetPeriod(d time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.guard.Tracker().SetPeriod(d)
}

// Learn takes in what entries say of suspects.
func (g *Gate) Learn(news ...Suspect) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.tell(g.guard.Learn(time.Now(), news...))
}

// Digest returns what the slot has to say of suspects, the latest crash first.
func (g *Gate) Digest(now time.Time, limit int) []Suspect {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.guard.Tracker().Expire(now)
	return g.guard.Tracker().Digest(now, limit)
}

// Enter waits until the request may run on the upstream; level is the entry's. A *failure.Error is a refusal before
// the start.
func (g *Gate) Enter(ctx context.Context, r Running, level Level) (*Pass, error) {
	g.mu.Lock()
	turn := g.guard.Ask(time.Now(), r, level)
	var later chan Turn
	if turn.Admission == Wait {
		later = make(chan Turn, 1)
		g.waiting[turn.Ticket] = later
	}
	g.mu.Unlock()
	if later == nil {
		return g.pass(turn)
	}
	select {
	case turn = <-later:
		return g.pass(turn)
	case <-ctx.Done():
		return nil, g.giveUp(turn.Ticket)
	}
}

func (g *Gate) pass(t Turn) (*Pass, error) {
	if t.Admission == Enter {
		return &Pass{gate: g, ticket: t.Ticket}, nil
	}
	refusal := failure.New(failure.CodeNoUpstream, nil)
	if t.Level == Refused {
		refusal = Refusal(time.Now(), t.Until)
	}
	return nil, refusal.WithProof(failure.ProofRefusedBeforeStart)
}

// giveUp withdraws a request whose caller does not wait any longer, also if its turn came at the same moment.
func (g *Gate) giveUp(t Ticket) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.waiting, t)
	g.tell(g.guard.GiveUp(t))
	g.tell(g.guard.Leave(time.Now(), t, Stopped))
	return failure.New(failure.CodeDeadlineUnmet, nil).WithProof(failure.ProofRefusedBeforeStart)
}

// Leave ends the run; only the first call counts.
func (p *Pass) Leave(end End) {
	p.gate.mu.Lock()
	defer p.gate.mu.Unlock()
	p.gate.tell(p.gate.guard.Leave(time.Now(), p.ticket, end))
}

// Died says that the upstream is dead, by a refused connection or a new process in its place. What ran is suspect here
// at once and stands in the next Digest; it returns whether anything ran.
func (g *Gate) Died() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	turns, any := g.guard.Died(time.Now())
	g.tell(turns)
	return any
}

// tell hands turns to those who wait for them.
func (g *Gate) tell(turns []Turn) {
	for _, t := range turns {
		if c := g.waiting[t.Ticket]; c != nil {
			delete(g.waiting, t.Ticket)
			c <- t
		}
	}
}
