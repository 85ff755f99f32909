package gateway

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-kit/log"

	"github.com/cardamomyoke/cardamomyoke/internal/base/logging"
	"github.com/cardamomyoke/cardamomyoke/internal/policy/blame"
	"github.com/cardamomyoke/cardamomyoke/internal/state/platform"
)

// oneRow is a table with one row.
type oneRow struct {
	platform.Table
	mu   sync.Mutex
	row  platform.Row
	away bool
}

// Get implements platform.Table.
func (t *oneRow) Get(_ context.Context, keys ...string) ([]platform.Row, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.away {
		return nil, &platform.UnavailableError{Op: "get"}
	}
	t.row.Key = keys[0]
	rows := []platform.Row{t.row}
	for _, key := range keys[1:] {
		rows = append(rows, platform.Row{Key: key})
	}
	return rows, nil
}

// Commit implements platform.Table.
func (t *oneRow) Commit(_ context.Context, txn platform.Txn) (platform.Result, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.away {
		return platform.Result{}, &platform.UnavailableError{Op: "commit"}
	}
	if txn.Checks[0].Version != t.row.Version {
		return platform.Result{}, &platform.ConflictError{Rows: []platform.Row{t.row}}
	}
	t.row.Version++
	t.row.Value = txn.Puts[0].Value
	return platform.Result{Versions: []uint64{t.row.Version}}, nil
}

// withRefusedPart returns a gateway that refuses a part of which a trial is due at once.
func withRefusedPart(t *testing.T, name string, table platform.Table, part blame.Part) *Gateway {
	g := &Gateway{table: table, ctx: t.Context(), suspects: newSuspects(name, log.NewNopLogger(), newMetrics())}
	g.storeCalls = logging.NewRateLimited(log.NewNopLogger(), 1, time.Now)
	g.crashStore = newCrashStore(g)
	g.suspects.parts.known.Store(true)
	g.suspects.parts.serving.Store(true)
	rules := blame.DefaultRules()
	rules.TrialPauses, rules.ConfirmedPause, rules.Settle, rules.Gather = []time.Duration{0}, 0, 0, 0
	p := g.suspects.parts
	p.ledger = blame.NewLedger(rules, name, p.memory)
	p.update(func(l *blame.Ledger) []blame.Suspect {
		for i := range 2 {
			at := time.Now().Add(time.Duration(i-2) * time.Second)
			l.Crashed(at, blame.Crash(i), []blame.Broken{{Carrier: blame.Carrier{Request: blame.Request(i)}, Parts: blame.Parts{part}}})
		}
		return nil
	})
	return g
}

// trialRun returns a request with a part.
func trialRun(g *Gateway, part blame.Part) *run {
	n := runOf("x")
	n.g = g
	n.r.call.SharedParts = blame.Parts{part}
	return n
}

// Guards against more trials of a refused part than are allowed, when several gateways find at the same time that one is due.
func TestGatewaysTogetherKeepNumberOfTrials(t *testing.T) {
	const part, gateways = blame.Part(7), 8
	table := &oneRow{}
	var all []*Gateway
	for i := range gateways {
		all = append(all, withRefusedPart(t, string(rune('a'+i)), table, part))
	}
	var claimed atomic.Int64
	for range 5 {
		var wait sync.WaitGroup
		for _, g := range all {
			wait.Go(func() {
				n := trialRun(g, part)
				if n.refusal() == nil {
					t.Error("not refused")
				}
				if n.claimTrial(t.Context(), part) {
					claimed.Add(1)
					n.sent++
					n.endTrial()
				}
			})
		}
		wait.Wait()
	}
	if got := claimed.Load(); got == 0 || got > int64(blame.DefaultRules().Trials) {
		t.Fatalf("%d trials, want at most %d", got, blame.DefaultRules().Trials)
	}
}

// Guards against a trial that is not counted because the store is away, and one that is lost because its request was never sent.
func TestTrialNeedsStoreAndIsKeptUntilSent(t *testing.T) {
	const part = blame.Part(7)
	table := &oneRow{away: true}
	g := withRefusedPart(t, "a", table, part)
	if trialRun(g, part).claimTrial(t.Context(), part) {
		t.Fatal("a trial was claimed without the store")
	}
	table.away = false
	n := trialRun(g, part)
	if !n.claimTrial(t.Context(), part) || n.refusal() != nil {
		t.Fatal("the trial is not let through")
	}
	n.endTrial()
	row := table.row.Version
	if !trialRun(g, part).claimTrial(t.Context(), part) || table.row.Version != row {
		t.Fatal("the trial that was never sent is counted again")
	}
}

// Guards against a trial of one part that lets a request through whose other part is refused as well, or that an operator has barred.
func TestTrialNeedsOnlyRefusedPart(t *testing.T) {
	const part, other = blame.Part(7), blame.Part(8)
	g := withRefusedPart(t, "a", &oneRow{}, part)
	bar := func(p blame.Part) {
		g.suspects.parts.update(func(l *blame.Ledger) []blame.Suspect {
			return []blame.Suspect{l.Override(time.Now(), p, blame.Barred, "someone")}
		})
	}
	n := trialRun(g, part)
	if !n.claimTrial(t.Context(), part) {
		t.Fatal("no trial of the only refused part")
	}
	n.endTrial()
	bar(other)
	both := trialRun(g, part)
	both.r.call.SharedParts = blame.Parts{part, other}
	if both.claimTrial(t.Context(), part) {
		t.Error("a trial with another refused part")
	}
	bar(part)
	if trialRun(g, part).claimTrial(t.Context(), part) {
		t.Error("a trial of a part that an operator has barred")
	}
}
