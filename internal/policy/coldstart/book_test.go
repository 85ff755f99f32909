package coldstart_test

import (
	"testing"
	"time"

	"github.com/cardamomyoke/cardamomyoke/internal/policy/coldstart"
	"github.com/cardamomyoke/cardamomyoke/internal/state/platform"
)

const coldStart = 10 * time.Second

func at(d time.Duration) time.Time { return begin.Add(d) }

func entry(version uint64, remaining time.Duration) coldstart.Entry {
	return coldstart.Entry{Position: platform.Position{Version: version}, Remaining: remaining, Stated: true}
}

func coldFor(b *coldstart.Book, now time.Duration) time.Duration {
	s, _ := b.Get(1)
	return max(0, s.Until.Sub(at(now)))
}

// Guards against a cold period that never ends because the same entry is read again, or one that a late entry prolongs.
func TestEntryThatWasReadBeforeIsNoStatement(t *testing.T) {
	b := coldstart.NewBook(at(0))
	b.Entry(1, entry(5, 4*time.Second), coldStart, at(0))
	b.Entry(1, entry(5, 4*time.Second), coldStart, at(3*time.Second))
	b.Entry(1, entry(4, 9*time.Second), coldStart, at(3*time.Second))
	if got := coldFor(b, 3*time.Second); got != time.Second {
		t.Fatalf("cold for another %s", got)
	}
}

// Guards against an upstream that turns cold again and is taken for warm, and against one that states to be warm and is not.
func TestNewerEntryCounts(t *testing.T) {
	b := coldstart.NewBook(at(0))
	b.Entry(1, entry(5, 0), coldStart, at(0))
	if got := coldFor(b, 0); got != 0 {
		t.Fatalf("cold for %s, stated 0", got)
	}
	b.Entry(1, entry(6, 6*time.Second), coldStart, at(time.Second))
	if got := coldFor(b, time.Second); got != 6*time.Second {
		t.Fatalf("cold for %s, stated 6 s", got)
	}
}

// Guards against an upstream that states nothing and counts as warm, or as cold for ever.
func TestSilentEntryCountsAsColdOnce(t *testing.T) {
	b := coldstart.NewBook(at(0))
	for i := range 20 {
		e := coldstart.Entry{}
		e.Position.Version = uint64(i + 1)
		now := time.Duration(i) * time.Second
		b.Entry(1, e, coldStart, at(now))
		if got := coldFor(b, now); got != max(0, coldStart-now) {
			t.Errorf("cold for %s at %s", got, now)
		}
	}
}

// Guards against statements in an unknown order of which the one counts that permits more.
func TestLongerStatementCountsIfOrderIsUnknown(t *testing.T) {
	b := coldstart.NewBook(at(0))
	b.Response(1, 5*time.Second, at(0), at(time.Second))
	b.Entry(1, entry(7, 0), coldStart, at(2*time.Second))
	if got := coldFor(b, 2*time.Second); got != 4*time.Second {
		t.Fatalf("cold for %s; the entry may be older than the response", got)
	}
	b.Response(1, 0, at(1500*time.Millisecond), at(2*time.Second))
	if got := coldFor(b, 2*time.Second); got != 0 {
		t.Fatalf("cold for %s; the request of the second response was sent after the first", got)
	}
}

// Guards against a statement of a peer that arrives late or twice and changes what a newer response said, or makes a period
// longer with each gateway that passes it on.
func TestLateOrDuplicatePeerStatementChangesNothing(t *testing.T) {
	b := coldstart.NewBook(at(0))
	b.Peer(1, 5*time.Second, 0, at(0))
	b.Peer(1, 5*time.Second, 0, at(200*time.Millisecond))
	if got := coldFor(b, 0); got != 5*time.Second {
		t.Fatalf("cold for %s after a duplicate", got)
	}
	b.Response(1, 0, at(time.Second), at(time.Second))
	b.Peer(1, 5*time.Second, 2*time.Second, at(2*time.Second))
	if got := coldFor(b, 2*time.Second); got != 0 {
		t.Fatalf("cold for %s; the peer's statement is older", got)
	}
}

// Guards against a statement about a cold upstream that only the gateway that read it knows, or that costs unbounded bytes.
func TestStatementIsSpreadWithinBytes(t *testing.T) {
	b := coldstart.NewBook(at(0))
	for u := range uint32(780) {
		b.Response(u, time.Minute, at(0), at(0))
	}
	rows := 0
	for now := time.Duration(0); now < 10*time.Second; now += 200 * time.Millisecond {
		rows += 5 * len(b.TakeNews(5, at(now)))
	}
	bytes := rows * coldstart.RowBytes
	t.Logf("%d bytes in 10 s", bytes)
	if bytes < 5*1024 || bytes > 11*1024 {
		t.Fatalf("%d bytes in 10 s", bytes)
	}
}

// Guards against an upstream that restarts under its id while no row is read, and counts as warm although it refused connections.
func TestUnreachedUpstreamIsColdAfterItsNextResponse(t *testing.T) {
	b := coldstart.NewBook(at(0))
	b.Entry(1, entry(5, 0), coldStart, at(0))
	b.Unreached(1, coldStart, at(time.Second), at(time.Second))
	if got := coldFor(b, time.Second); got != coldStart+4*time.Second {
		t.Fatalf("cold for %s without a response", got)
	}
	b.Entry(1, entry(6, 0), coldStart, at(2*time.Second)) // may have been written before
	b.Reached(1, coldStart, at(900*time.Millisecond), at(2*time.Second))
	if got := coldFor(b, 2*time.Second); got != coldStart+3*time.Second {
		t.Fatalf("cold for %s; the request was sent before the refused connection", got)
	}
	for _, now := range []time.Duration{3 * time.Second, 5 * time.Second} {
		b.Reached(1, coldStart, at(now), at(now))
		if got := coldFor(b, now); got != 3*time.Second+coldStart-now {
			t.Fatalf("cold for %s at %s, first response at 3 s", got, now)
		}
	}
	if got := b.TakeNews(1, at(5*time.Second)); len(got) != 1 || got[0].Remaining != 8*time.Second {
		t.Fatalf("peers are told %+v", got)
	}
	b.Response(1, 0, at(6*time.Second), at(6*time.Second))
	if got := coldFor(b, 6*time.Second); got != 0 || b.Unresponsive() != 0 {
		t.Fatalf("cold for %s after the upstream said that it is warm", got)
	}
}
