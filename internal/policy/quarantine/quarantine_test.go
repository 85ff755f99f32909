package quarantine

import (
	"context"
	"errors"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/cardamomyoke/cardamomyoke/internal/base/failure"
	cardamomyokev1 "github.com/cardamomyoke/cardamomyoke/internal/gen/cardamomyoke/v1"
	"github.com/cardamomyoke/cardamomyoke/internal/state/platform"
)

const quarantineLength = time.Hour

var (
	start  = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	poison = Running{Fingerprint{1}, "arriaga"}
	other  = Running{Fingerprint{2}, "arriaga"}
	third  = Running{Fingerprint{3}, "arriaga"}
)

func wantLevel(t *testing.T, tr *Tracker, now time.Time, f Fingerprint, want Level) {
	t.Helper()
	if got, _ := tr.Classify(now, f); got != want {
		t.Fatalf("level %v, want %v", got, want)
	}
}

// Guards against a request that crashes one upstream after another, and against the refusal of those that only ran
// together with it. It is refused for an hour after two crashes in a batch and one alone; the others are suspects until
// they complete elsewhere. After the hour it may run alone once, and one more crash refuses it again.
func TestSuspicionNarrowsToOneRequest(t *testing.T) {
	tr := NewTracker(Rules{Period: quarantineLength})
	tr.Merge(start, Crash{ID: 1, At: start, Ran: []Running{poison, other, third}}.Suspects()...)
	wantLevel(t, tr, start, other.Fingerprint, Suspected)
	tr.Completed(start, other.Fingerprint)
	wantLevel(t, tr, start, other.Fingerprint, Clear)
	tr.Merge(start, Crash{ID: 2, At: start, Ran: []Running{poison, other}}.Suspects()...)
	wantLevel(t, tr, start, poison.Fingerprint, Alone)
	wantLevel(t, tr, start, other.Fingerprint, Suspected)
	tr.Merge(start, Crash{ID: 3, At: start, Ran: []Running{poison}, RanAlone: true}.Suspects()...)
	wantLevel(t, tr, start, poison.Fingerprint, Refused)
	wantLevel(t, tr, start.Add(quarantineLength-1), poison.Fingerprint, Refused)
	later := start.Add(quarantineLength)
	wantLevel(t, tr, later, poison.Fingerprint, Alone)
	tr.Merge(later, Crash{ID: 4, At: later, Ran: []Running{poison}, RanAlone: true}.Suspects()...)
	wantLevel(t, tr, later, poison.Fingerprint, Refused)
}

// Guards against an operator's decision that does not apply, or applies differently on two nodes: a refused request is
// permitted or a clear one refused, and on every node the later decision must apply.
func TestOperatorOverrides(t *testing.T) {
	tr := NewTracker(Rules{Period: quarantineLength})
	tr.Merge(start, Crash{ID: 1, At: start, Ran: []Running{poison}, RanAlone: true}.Suspects()...)
	until := start.Add(time.Minute)
	trust := Override{Kind: cardamomyokev1.OverrideKind_OVERRIDE_KIND_TRUST, Until: until, Stamp: start}
	refuse := Override{Kind: cardamomyokev1.OverrideKind_OVERRIDE_KIND_REFUSE, Until: until, Stamp: start.Add(1)}
	tr.Override(start, poison.Fingerprint, trust)
	wantLevel(t, tr, start, poison.Fingerprint, Clear)
	wantLevel(t, tr, until, poison.Fingerprint, Refused)
	tr.Override(start, other.Fingerprint, refuse)
	tr.Override(start, other.Fingerprint, trust)
	wantLevel(t, tr, start, other.Fingerprint, Refused)
}

// Guards against entries that compute different levels for one request because their digests were reordered, duplicated
// or split.
func TestMergeDoesNotDependOnOrder(t *testing.T) {
	for seed := range uint64(100) {
		rng := rand.New(rand.NewPCG(seed, 3))
		var updates []Suspect
		for range 12 {
			crash := Crash{ID: CrashID(rng.IntN(5)), Ran: []Running{poison}}
			crash.At = start.Add(time.Duration(crash.ID) * time.Second)
			s := crash.Suspects()[0]
			s.Evidence[0].Cleared = rng.IntN(2) == 0
			s.Override.Stamp = start.Add(time.Duration(rng.IntN(4)))
			s.Override.Until = s.Override.Stamp.Add(time.Hour)
			updates = append(updates, s)
		}
		a, b := NewTracker(Rules{Period: quarantineLength}), NewTracker(Rules{Period: quarantineLength})
		for _, i := range rng.Perm(len(updates)) {
			a.Merge(start, updates[i])
		}
		b.Merge(start, updates...)
		b.Merge(start, a.Digest(start, 10)...)
		if diff := cmp.Diff(a.Digest(start, 10), b.Digest(start, 10)); diff != "" {
			t.Fatalf("seed %d: %s", seed, diff)
		}
	}
}

// Guards against a refusal that is lost when every entry is replaced: it must be in the table. A conflict there is
// resolved by reading the row and writing it again.
func TestRefusalSurvivesReplacementOfEntries(t *testing.T) {
	tr := NewTracker(Rules{Period: quarantineLength})
	tr.Merge(start, Crash{ID: 1, At: start, Ran: []Running{other, third}}.Suspects()...)
	if saves := tr.Unsaved(start); len(saves) != 0 {
		t.Fatalf("a request that is only suspected is written: %v", saves)
	}
	tr.Merge(start, Crash{ID: 2, At: start, Ran: []Running{poison}, RanAlone: true}.Suspects()...)
	saves := tr.Unsaved(start)
	if len(saves) != 1 || len(tr.Unsaved(start)) != 0 {
		t.Fatalf("saves: %v", saves)
	}
	peer := NewTracker(Rules{Period: quarantineLength})
	peer.Merge(start, Crash{ID: 9, At: start, Ran: []Running{poison}, RanAlone: true}.Suspects()...)
	row := platform.Row{Key: saves[0].Put.Key, Version: 7, Value: peer.Unsaved(start)[0].Put.Value}
	if err := tr.Load(start, row); err != nil {
		t.Fatal(err)
	}
	tr.SaveFailed(poison.Fingerprint)
	again := tr.Unsaved(start)
	if len(again) != 1 || again[0].Check.Version != 7 {
		t.Fatalf("after the conflict: %v", again)
	}
	merged := platform.Row{Key: row.Key, Version: 8, Value: again[0].Put.Value}
	if err := peer.Load(start, merged); err != nil {
		t.Fatal(err)
	}
	if needless := peer.Unsaved(start); len(needless) != 0 {
		t.Fatalf("the row is written again without a change: %v", needless)
	}
	fresh := NewTracker(Rules{Period: quarantineLength})
	if err := fresh.Load(start, row); err != nil {
		t.Fatal(err)
	}
	wantLevel(t, fresh, start, poison.Fingerprint, Refused)
	var typed *RowError
	if err := fresh.Load(start, platform.Row{Key: "x", Value: []byte{1}}); !errors.As(err, &typed) {
		t.Fatalf("bad row: %v", err)
	}
}

// Guards against expired evidence that comes back from a node that still gossips it.
func TestOldEvidenceIsForgotten(t *testing.T) {
	tr := NewTracker(Rules{Period: quarantineLength})
	suspects := Crash{ID: 1, At: start, Ran: []Running{poison}}.Suspects()
	tr.Merge(start, suspects...)
	later := start.Add(quarantineLength + evidenceRetention + 1)
	tr.Expire(later)
	tr.Merge(later, suspects...)
	if n := len(tr.Digest(later, 10)); n != 0 {
		t.Fatalf("%d suspects remain", n)
	}
}

// Guards against requests that are blamed twice for one crash: handlers that detect it at different times, and a second
// detection of it, must make one report.
func TestCrashIsReportedOnce(t *testing.T) {
	g := NewGuard("s", quarantineLength)
	a := g.Submit(start, poison, Clear)
	b := g.Submit(start, other, Clear)
	g.Submit(start, third, Clear)
	g.Release(start, a.Ticket, Broken)
	g.Release(start, b.Ticket, Complete)
	if _, ran := g.UpstreamCrashed(start); !ran {
		t.Fatal("nothing reported")
	}
	if _, ran := g.UpstreamCrashed(start); ran {
		t.Fatal("reported twice")
	}
	wantLevel(t, g.Tracker(), start, poison.Fingerprint, Suspected)
	wantLevel(t, g.Tracker(), start, third.Fingerprint, Suspected)
	wantLevel(t, g.Tracker(), start, other.Fingerprint, Clear)
}

// Guards against copies of a suspect that crash the same upstream one after another. They arrive through every entry;
// one runs alone while the others wait, and when it crashes the upstream, the others must be refused. Another request
// that arrives while the suspect waits or runs is refused here, so that the entry sends it to another upstream.
func TestWaitingCopiesAreRefusedAfterCrash(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewGate("s", quarantineLength)
		neighbour, err := g.Acquire(t.Context(), other, Clear)
		if err != nil {
			t.Fatal(err)
		}
		codes := make(chan failure.Code, 3)
		var first *Permit
		for range 3 {
			go func() {
				p, err := g.Acquire(t.Context(), poison, Alone)
				if err != nil {
					codes <- failure.CodeOf(err)
					return
				}
				first = p
			}()
			synctest.Wait()
		}
		if first != nil {
			t.Fatal("the suspect runs together with another request")
		}
		if _, err := g.Acquire(t.Context(), third, Clear); failure.CodeOf(err) != failure.CodeNoUpstream {
			t.Fatalf("admitted while a suspect waits: %v", err)
		}
		neighbour.Release(Complete)
		synctest.Wait()
		if first == nil {
			t.Fatal("the suspect never ran")
		}
		g.UpstreamCrashed()
		synctest.Wait()
		for range 2 {
			if code := <-codes; code != failure.CodeQuarantined {
				t.Fatalf("a waiting copy got %s", code)
			}
		}
		if _, err := g.Acquire(t.Context(), third, Clear); err != nil {
			t.Fatalf("the upstream does not admit requests after the crash: %v", err)
		}
	})
}

// Guards against an upstream that stays closed after the caller of a waiting suspect disconnected or timed out: the
// request must be refused as not run, and the upstream must admit requests again.
func TestCancelReopensUpstream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewGate("s", quarantineLength)
		if _, err := g.Acquire(t.Context(), other, Clear); err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err := g.Acquire(ctx, poison, Alone)
		if f := failure.From(err); f.Code != failure.CodeDeadlineUnmet || f.Proof != failure.ProofRefusedBeforeStart {
			t.Fatalf("got %v", err)
		}
		if _, err := g.Acquire(t.Context(), third, Clear); err != nil {
			t.Fatal(err)
		}
	})
}

func FuzzParseFingerprint(f *testing.F) {
	f.Add(Fingerprint{9}.String())
	f.Add("zz")
	f.Fuzz(func(t *testing.T, text string) {
		got, err := ParseFingerprint(text)
		var typed *FingerprintError
		if err != nil && !errors.As(err, &typed) {
			t.Fatalf("untyped error %v", err)
		}
		if again, err2 := ParseFingerprint(got.String()); err2 != nil || again != got {
			t.Fatalf("%q: %v", text, err2)
		}
	})
}
