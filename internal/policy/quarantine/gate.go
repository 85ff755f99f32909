package quarantine

import (
	"context"
	"sync"
	"time"

	"github.com/cardamomyoke/cardamomyoke/internal/base/failure"
	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
)

// Gate makes a Guard usable by the goroutines of a slot. It is safe for concurrent use.
type Gate struct {
	mu      sync.Mutex
	guard   *Guard
	waiting map[Ticket]chan Decision
}

// NewGate returns the gate of an idle upstream; period is policies.quarantine_s.
func NewGate(slot ids.Incarnation, period time.Duration) *Gate {
	return &Gate{guard: NewGuard(slot, period), waiting: map[Ticket]chan Decision{}}
}

// Permit is the permission to run one attempt on the upstream.
type Permit struct {
	gate   *Gate
	ticket Ticket
}

// SetPeriod changes the duration of a quarantine.
func (g *Gate) SetPeriod(d time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.guard.Tracker().SetPeriod(d)
}

// Merge merges the suspects that entries report.
func (g *Gate) Merge(updates ...Suspect) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.deliver(g.guard.Merge(time.Now(), updates...))
}

// Digest returns up to limit suspects for the slot's digest, the most recently changed first. It drops expired
// evidence.
func (g *Gate) Digest(now time.Time, limit int) []Suspect {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.guard.Tracker().Expire(now)
	return g.guard.Tracker().Digest(now, limit)
}

// Acquire waits until the request may run on the upstream. level is the level that the entry passes. The error is a
// *failure.Error: the request was refused before its start.
func (g *Gate) Acquire(ctx context.Context, r Running, level Level) (*Permit, error) {
	g.mu.Lock()
	decision := g.guard.Submit(time.Now(), r, level)
	var decided chan Decision
	if decision.Admission == Wait {
		decided = make(chan Decision, 1)
		g.waiting[decision.Ticket] = decided
	}
	g.mu.Unlock()
	if decided == nil {
		return g.permit(decision)
	}
	select {
	case decision = <-decided:
		return g.permit(decision)
	case <-ctx.Done():
		return nil, g.cancel(decision.Ticket)
	}
}

func (g *Gate) permit(d Decision) (*Permit, error) {
	if d.Admission == Admit {
		return &Permit{gate: g, ticket: d.Ticket}, nil
	}
	refusal := failure.New(failure.CodeNoUpstream, nil)
	if d.Level == Refused {
		refusal = Refusal(time.Now(), d.Until)
	}
	return nil, refusal.WithProof(failure.ProofRefusedBeforeStart)
}

// cancel removes a request whose caller no longer waits. If the request was admitted at the same moment, cancel also
// releases its run.
func (g *Gate) cancel(t Ticket) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.waiting, t)
	g.deliver(g.guard.Cancel(t))
	g.deliver(g.guard.Release(time.Now(), t, Stopped))
	return failure.New(failure.CodeDeadlineUnmet, nil).WithProof(failure.ProofRefusedBeforeStart)
}

// Release ends the run with its outcome; only the first call has an effect.
func (p *Permit) Release(end RunOutcome) {
	p.gate.mu.Lock()
	defer p.gate.mu.Unlock()
	p.gate.deliver(p.gate.guard.Release(time.Now(), p.ticket, end))
}

// UpstreamCrashed records a crash of the upstream, detected by a refused connection or by a new process that replaced
// it. The requests that were running become suspects immediately and are in the next Digest. It reports whether any
// request was running.
func (g *Gate) UpstreamCrashed() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	decisions, ran := g.guard.UpstreamCrashed(time.Now())
	g.deliver(decisions)
	return ran
}

// deliver sends decisions to the goroutines that wait for them.
func (g *Gate) deliver(decisions []Decision) {
	for _, d := range decisions {
		if c := g.waiting[d.Ticket]; c != nil {
			delete(g.waiting, d.Ticket)
			c <- d
		}
	}
}
