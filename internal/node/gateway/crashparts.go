package gateway

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/cardamomyoke/cardamomyoke/internal/base/failure"
	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
	cardamomyokev1 "github.com/cardamomyoke/cardamomyoke/internal/gen/cardamomyoke/v1"
	"github.com/cardamomyoke/cardamomyoke/internal/policy/blame"
	"github.com/cardamomyoke/cardamomyoke/internal/policy/fairshare"
	"github.com/cardamomyoke/cardamomyoke/internal/policy/quarantine"
	"github.com/cardamomyoke/cardamomyoke/internal/state/catalog"
)

const (
	// maxDigestParts is the maximum number of lately changed parts in a digest.
	maxDigestParts = 12
	// minAnsweredEvents is the number of writes of events from which on an answer goes on. An upstream that crashes under a
	// request may have sent the first one.
	minAnsweredEvents = 2
	// suspicionWait is how long a retry waits for gateways that know of answers under a suspected part.
	suspicionWait = 400 * time.Millisecond
	// suspicionPoll is the interval at which it checks for them.
	suspicionPoll = 20 * time.Millisecond
	// noTrialRetryAfter is when a caller should retry if only an operator ends the refusal.
	noTrialRetryAfter = time.Hour
)

// crashParts refuses requests with a part in their prompts under which upstreams crash, whatever else the requests hold.
type crashParts struct {
	logger  log.Logger
	metrics *gatewayMetrics
	// announce sends a digest to all peers.
	announce func()

	snapshot atomic.Pointer[blame.Snapshot]
	// known is set once the stored parts are known, from the store or a peer, serving once requests with shared parts are let
	// through.
	known, serving atomic.Bool

	mu     sync.Mutex
	memory *blame.Memory
	ledger *blame.Ledger
	// running holds the attempts whose answers have not begun, and how to cancel them.
	running map[*run]context.CancelCauseFunc
	// unusedTrials holds the parts of which a trial was claimed whose request was never sent.
	unusedTrials map[blame.Part]bool
	// claiming holds the parts of which a trial is being claimed.
	claiming map[blame.Part]bool
	// saveAt is the earliest time at which changes are written to the store.
	saveAt time.Time
}

func newCrashParts(name string, logger log.Logger, m *gatewayMetrics) *crashParts {
	memory := blame.NewMemory()
	return &crashParts{
		logger:       logger,
		metrics:      m,
		announce:     func() {},
		memory:       memory,
		ledger:       blame.NewLedger(blame.DefaultRules(), name, memory),
		running:      map[*run]context.CancelCauseFunc{},
		unusedTrials: map[blame.Part]bool{},
		claiming:     map[blame.Part]bool{},
	}
}

// PartRefusedError reports that a request is refused because upstreams crashed under a part of its prompt.
type PartRefusedError struct {
	Refusal blame.Refusal
}

// Error implements error.
func (e *PartRefusedError) Error() string {
	v := e.Refusal.Verdict
	return fmt.Sprintf("part %s of the prompt is %s by %s since %s: %d upstreams crashed under it, %d trials",
		e.Refusal.Part, v.State, v.By, v.At.UTC().Format(time.RFC3339), v.Crashes, v.Trials)
}

// asFailure returns the response to a refused request that was not sent.
func (e *PartRefusedError) asFailure(now time.Time) error {
	after := noTrialRetryAfter
	if !e.Refusal.TrialAt.IsZero() {
		after = max(time.Second, e.Refusal.TrialAt.Sub(now))
	}
	return failure.New(failure.CodeNoUpstream, e).WithRetryAfter(after)
}

func accountOf(c ids.Client) blame.Account {
	if c == "" {
		return 0
	}
	return blame.Account(fairshare.AccountOf(c))
}

// refusal returns an error if a part of the request's prompt is refused, other than that of which it is a trial.
func (n *run) refusal() *PartRefusedError { return n.refusalExcept(n.trial) }

func (n *run) refusalExcept(trial *blame.Part) *PartRefusedError {
	refused, found := n.g.suspects.parts.snapshot.Load().Refused(n.r.call.SharedParts, accountOf(n.r.client), trial)
	if !found {
		return nil
	}
	return &PartRefusedError{refused}
}

// seen counts a request.
func (p *crashParts) seen(parts blame.Parts) {
	if len(parts) == 0 {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.memory.Seen(parts)
}

// update applies a change to the ledger, publishes the result, and acts on the parts with a new decision.
func (p *crashParts) update(change func(l *blame.Ledger) []blame.Suspect) {
	p.mu.Lock()
	decided := change(p.ledger)
	p.snapshot.Store(p.ledger.Snapshot())
	cancelled := p.cancelRefused()
	p.mu.Unlock()
	for _, s := range decided {
		p.logDecision(s)
	}
	if len(cancelled) > 0 {
		_ = level.Info(p.logger).Log("msg", "requests with refused parts cancelled", "requests", len(cancelled))
	}
	for _, cancel := range cancelled {
		cancel()
	}
	if len(decided) > 0 {
		p.announce()
	}
}

// cancelRefused removes the attempts with a part that is refused now and whose answers have not begun, and returns how to cancel
// them. The caller holds the lock.
func (p *crashParts) cancelRefused() []func() {
	var out []func()
	for n, cancel := range p.running {
		if refused := n.refusal(); refused != nil {
			delete(p.running, n)
			out = append(out, func() { cancel(refused) })
		}
	}
	return out
}

func (p *crashParts) logDecision(s blame.Suspect) {
	p.metrics.partDecided(s.Verdict.State.String())
	_ = level.Warn(p.logger).Log("msg", "part decision", "part", s.Part, "state", s.Verdict.State, "round", s.Verdict.Round, "crashes", s.Verdict.Crashes,
		"trials", s.Verdict.Trials, "account", s.Verdict.Account, "by", s.Verdict.By, "decided", s.Verdict.At.UTC().Format(time.RFC3339Nano),
		"answered", s.Answered, "seen", s.Seen, "evidence", len(s.Evidence))
}

// answering records that the answer of the current attempt goes on, which speaks for all parts of the prompt.
func (n *run) answering() {
	if len(n.r.call.SharedParts) == 0 || n.partsAnswered {
		return
	}
	n.partsAnswered = true
	p := n.g.suspects.parts
	p.mu.Lock()
	delete(p.running, n)
	p.mu.Unlock()
	p.answered(n.r.call.SharedParts)
}

func (p *crashParts) answered(parts blame.Parts) {
	p.mu.Lock()
	empty := p.ledger.Empty()
	if empty {
		p.memory.Answered(parts)
	}
	p.mu.Unlock()
	if !empty {
		p.update(func(l *blame.Ledger) []blame.Suspect { return l.Answered(time.Now(), parts) })
	}
}

// crashed holds the crash of an upstream against the parts of the requests that it had not begun to answer.
func (p *crashParts) crashed(i ids.UpstreamIncarnation, runs []brokenRun, now time.Time) {
	var broken []blame.Broken
	for _, r := range runs {
		if r.events < minAnsweredEvents && len(r.parts) > 0 && !r.leaving {
			broken = append(broken, blame.Broken{Carrier: blame.Carrier{Request: requestOf(r.Fingerprint), Account: accountOf(r.Client)}, Parts: r.parts})
		}
	}
	if len(broken) == 0 {
		return
	}
	p.update(func(l *blame.Ledger) []blame.Suspect {
		p.saveAt = now.Add(saveDelay)
		return l.Crashed(now, blame.Crash(hashOf(i)), broken)
	})
	p.announce()
}

// requestOf identifies a request by the first half of its fingerprint.
func requestOf(f quarantine.Fingerprint) blame.Request {
	var id blame.Request
	for _, b := range f[:8] {
		id = id<<8 | blame.Request(b)
	}
	return id
}

// merge adds what a peer knows.
func (p *crashParts) merge(list []blame.Suspect, now time.Time) {
	p.update(func(l *blame.Ledger) []blame.Suspect {
		saved := !l.Unsaved()
		decided := l.Merge(now, list)
		if saved && l.Unsaved() {
			p.saveAt = now.Add(learnedSaveDelay + time.Duration(rand.Int64N(int64(learnedSaveSpread))))
		}
		return decided
	})
}

// digest returns what a digest says about parts, and whether that is all that a gateway that starts must know.
func (p *crashParts) digest(now time.Time) ([]*cardamomyokev1.SuspectPart, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	list, complete := p.ledger.Digest(now, maxDigestParts)
	return blame.ToProto(list), complete && p.known.Load()
}

// all returns what a gateway that starts must know, and whether this gateway knows it.
func (p *crashParts) all() ([]*cardamomyokev1.SuspectPart, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return blame.ToProto(p.ledger.All()), p.known.Load()
}

// tick drops what has expired and decides on parts that have been suspected for long enough.
func (p *crashParts) tick(now time.Time) {
	p.mu.Lock()
	empty := p.ledger.Empty()
	p.mu.Unlock()
	if empty {
		return
	}
	p.update(func(l *blame.Ledger) []blame.Suspect {
		l.Expire(now)
		return l.Decide(now)
	})
}

// isLeaving reports whether an upstream's end is planned: it drains, has said that it leaves, or is no longer registered.
func (g *Gateway) isLeaving(u *catalog.Upstream) bool {
	known := g.view.Load().upstreams.Get(u.ID)
	return known == nil || known.State != catalog.StateReady
}

// cancellableAttempt runs an attempt that ends if a part of the request's prompt is refused before the answer begins. It returns
// *PartRefusedError then, and otherwise the errors of movableAttempt.
func (n *run) cancellableAttempt(ctx context.Context, attempt func(context.Context) error) error {
	if len(n.r.call.SharedParts) == 0 {
		return attempt(ctx)
	}
	p := n.g.suspects.parts
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	n.partsAnswered = false
	p.mu.Lock()
	p.running[n] = cancel
	p.mu.Unlock()
	err := attempt(ctx)
	p.mu.Lock()
	delete(p.running, n)
	p.mu.Unlock()
	if refused, ok := context.Cause(ctx).(*PartRefusedError); ok && err != nil {
		return refused
	}
	return err
}

// suspected reports whether a crash counts against a part of the request's prompt under which no answer is known, after it has
// waited for gateways that know of one. Such a request is not retried: its next attempt would be likely to crash another upstream,
// and, as the same request, would not tell which of its parts is at fault.
func (n *run) suspected(ctx context.Context) bool {
	p := n.g.suspects.parts
	for end := time.Now().Add(suspicionWait); ; {
		switch {
		case n.refusal() != nil:
			return true
		case !p.snapshot.Load().Suspected(n.r.call.SharedParts):
			return false
		case !time.Now().Before(end) || ctx.Err() != nil:
			return true
		}
		select {
		case <-time.After(suspicionPoll):
		case <-ctx.Done():
		}
	}
}
