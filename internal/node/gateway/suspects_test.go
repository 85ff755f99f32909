package gateway

import (
	"context"
	"errors"
	"syscall"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/valyala/fasthttp"

	"github.com/cardamomyoke/cardamomyoke/internal/base/httpserver"
	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
	"github.com/cardamomyoke/cardamomyoke/internal/policy/quarantine"
	"github.com/cardamomyoke/cardamomyoke/internal/state/catalog"
)

func runOf(body string) *run {
	req := &fasthttp.Request{}
	req.SetBodyString(body)
	return &run{x: &httpserver.Exchange{Req: req}, r: &request{client: "c"}}
}

// breakConnection has a run break off at an upstream, and waits until that one was asked whether it lives.
func breakConnection(s *suspects, n *run, upstream ids.Upstream) {
	breakConnectionAt(s, n, ids.UpstreamIncarnation{Upstream: upstream})
}

func breakConnectionAt(s *suspects, n *run, incarnation ids.UpstreamIncarnation) {
	s.connectionBroken(context.Background(), n, &catalog.Upstream{ID: incarnation.Upstream, StartedAtMS: incarnation.StartedAtMS})
	for pending := true; pending; time.Sleep(time.Millisecond) {
		s.mu.Lock()
		_, pending = s.confirming[incarnation]
		s.mu.Unlock()
	}
}

func levelOf(s *suspects, n *run) quarantine.Level {
	lvl, _ := s.classify(n, time.Now())
	return lvl
}

func refuseDial(context.Context, string) error { return syscall.ECONNREFUSED }

// Connections break off under a request at one upstream after the other. Only those that have died speak against it; one
// that still listens has lost an answer, and one that does not answer at all may be cut off.
func TestOnlyCrashesCountAgainstRequest(t *testing.T) {
	for _, c := range []struct {
		name string
		dial error
		want quarantine.Level
	}{
		{"nothing listens any more", syscall.ECONNREFUSED, quarantine.Refused},
		{"it still listens", nil, quarantine.Clear},
		{"it does not answer", context.DeadlineExceeded, quarantine.Clear},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newSuspects(log.NewNopLogger())
			s.dial = func(context.Context, string) error { return c.dial }
			n := runOf("x")
			for _, upstream := range []ids.Upstream{"a", "b", "c"} {
				breakConnection(s, n, upstream)
			}
			if got := levelOf(s, n); got != c.want {
				t.Fatalf("level %s, want %s", got, c.want)
			}
		})
	}
}

// One death breaks off the same request twice, as it was sent again before the upstream was known to be dead, and is
// reported by two gateways. It counts as one death, or an innocent request would be refused.
func TestCrashIsCountedOnce(t *testing.T) {
	s, other := newSuspects(log.NewNopLogger()), newSuspects(log.NewNopLogger())
	s.dial, other.dial = refuseDial, refuseDial
	n := runOf("x")
	breakConnection(s, n, "a")
	breakConnection(s, n, "a")
	breakConnection(other, n, "a")
	s.tracker.Merge(time.Now(), other.tracker.Digest(time.Now(), maxDigestSuspects)...)
	if got := levelOf(s, n); got != quarantine.Suspected {
		t.Fatalf("level %s after one death", got)
	}
}

// Two upstreams die of other reasons while a request runs there. It is sent again and ends whole, which shows that it is
// harmless: at the next death it is as if it had met none before.
func TestCompletedRequestIsCleared(t *testing.T) {
	s := newSuspects(log.NewNopLogger())
	s.dial = refuseDial
	n := runOf("x")
	breakConnection(s, n, "a")
	breakConnection(s, n, "b")
	s.completed(n, time.Now())
	breakConnection(s, n, "c")
	if got := levelOf(s, n); got != quarantine.Suspected {
		t.Fatalf("level %s, want suspected", got)
	}
}

// A request is refused with the time from which on it may be tried once more, which lies after its last death.
func TestQuarantineExpires(t *testing.T) {
	s := newSuspects(log.NewNopLogger())
	s.dial = refuseDial
	n := runOf("x")
	for _, upstream := range []ids.Upstream{"a", "b", "c"} {
		breakConnection(s, n, upstream)
	}
	_, refused := s.classify(n, time.Now())
	var quarantined *QuarantinedError
	if refused == nil || !errors.As(refused.asFailure(time.Now()), &quarantined) {
		t.Fatalf("got %v", refused)
	}
	if lvl, after := s.classify(n, quarantined.Until); after != nil || lvl != quarantine.Alone {
		t.Fatalf("level %s at its end, %v", lvl, after)
	}
}

// A request crashes an upstream that is back under its id before anybody asks whether it listens, three times in a row. Each
// new life in the registry proves a death, and the third refuses the request. Asked only whether something listens, the
// gateways would count none.
func TestRestartWithSameIDCountsAsCrash(t *testing.T) {
	s := newSuspects(log.NewNopLogger())
	s.dial = func(context.Context, string) error { return nil }
	n := runOf("x")
	for crashes := range int64(3) {
		if got := levelOf(s, n); got == quarantine.Refused {
			t.Fatalf("refused after %d deaths", crashes)
		}
		incarnation := ids.UpstreamIncarnation{Upstream: "a", StartedAtMS: crashes + 1}
		breakConnectionAt(s, n, incarnation)
		s.upstreamRestarted(incarnation, time.Now())
	}
	if got := levelOf(s, n); got != quarantine.Refused {
		t.Fatalf("%v after three deaths of one id", got)
	}
}

// A connection breaks under a request, and long after that its upstream is restarted for another reason. That speaks against
// nobody.
func TestLateRestartIsNotACrash(t *testing.T) {
	s := newSuspects(log.NewNopLogger())
	s.dial = func(context.Context, string) error { return nil }
	n := runOf("x")
	incarnation := ids.UpstreamIncarnation{Upstream: "a", StartedAtMS: 1}
	breakConnectionAt(s, n, incarnation)
	s.upstreamRestarted(incarnation, time.Now().Add(restartWindow+time.Second))
	if got := levelOf(s, n); got != quarantine.Clear {
		t.Fatalf("%v, want clear", got)
	}
}
