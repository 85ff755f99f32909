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

// breakOff has a run break off at an upstream, and waits until that one was asked whether it lives.
func breakOff(s *suspects, n *run, life ids.Upstream) {
	breakOffAt(s, n, ids.UpstreamIncarnation{Upstream: life})
}

func breakOffAt(s *suspects, n *run, incarnation ids.UpstreamIncarnation) {
	s.brokeOff(context.Background(), n, &catalog.Upstream{ID: incarnation.Upstream, StartedAtMS: incarnation.StartedAtMS})
	for asking := true; asking; time.Sleep(time.Millisecond) {
		s.mu.Lock()
		_, asking = s.broken[incarnation]
		s.mu.Unlock()
	}
}

func levelOf(s *suspects, n *run) quarantine.Level {
	judged, _ := s.judge(n, time.Now())
	return judged
}

func refusing(context.Context, string) error { return syscall.ECONNREFUSED }

// Connections break off under a request at one upstream after the other. Only those that have died speak against it; one
// that still listens has lost an answer, and one that does not answer at all may be cut off.
func TestOnlyDeathsSpeakAgainstARequest(t *testing.T) {
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
			for _, life := range []ids.Upstream{"a", "b", "c"} {
				breakOff(s, n, life)
			}
			if got := levelOf(s, n); got != c.want {
				t.Fatalf("level %s, want %s", got, c.want)
			}
		})
	}
}

// One death breaks off the same request twice, as it was sent again before the upstream was known to be dead, and is
// reported by two gateways. It counts as one death, or an innocent request would be refused.
func TestOneDeathCountsOnce(t *testing.T) {
	s, other := newSuspects(log.NewNopLogger()), newSuspects(log.NewNopLogger())
	s.dial, other.dial = refusing, refusing
	n := runOf("x")
	breakOff(s, n, "a")
	breakOff(s, n, "a")
	breakOff(other, n, "a")
	s.tracker.Merge(time.Now(), other.tracker.Digest(time.Now(), digestSuspects)...)
	if got := levelOf(s, n); got != quarantine.Suspected {
		t.Fatalf("level %s after one death", got)
	}
}

// Two upstreams die of other reasons while a request runs there. It is sent again and ends whole, which shows that it is
// harmless: at the next death it is as if it had met none before.
func TestARequestThatEndsWholeIsCleared(t *testing.T) {
	s := newSuspects(log.NewNopLogger())
	s.dial = refusing
	n := runOf("x")
	breakOff(s, n, "a")
	breakOff(s, n, "b")
	s.completed(n, time.Now())
	breakOff(s, n, "c")
	if got := levelOf(s, n); got != quarantine.Suspected {
		t.Fatalf("level %s, want suspected", got)
	}
}

// A request is refused with the time from which on it may be tried once more, which lies after its last death.
func TestAQuarantineEnds(t *testing.T) {
	s := newSuspects(log.NewNopLogger())
	s.dial = refusing
	n := runOf("x")
	for _, life := range []ids.Upstream{"a", "b", "c"} {
		breakOff(s, n, life)
	}
	_, refused := s.judge(n, time.Now())
	var quarantined *QuarantinedError
	if refused == nil || !errors.As(refused.refusal(time.Now()), &quarantined) {
		t.Fatalf("got %v", refused)
	}
	if judged, after := s.judge(n, quarantined.Until); after != nil || judged != quarantine.Alone {
		t.Fatalf("level %s at its end, %v", judged, after)
	}
}

// A request crashes an upstream that is back under its id before anybody asks whether it listens, three times in a row. Each
// new life in the registry proves a death, and the third refuses the request. Asked only whether something listens, the
// gateways would count none.
func TestARestartUnderItsIDIsADeath(t *testing.T) {
	s := newSuspects(log.NewNopLogger())
	s.dial = func(context.Context, string) error { return nil }
	n := runOf("x")
	for born := range int64(3) {
		if got := levelOf(s, n); got == quarantine.Refused {
			t.Fatalf("refused after %d deaths", born)
		}
		incarnation := ids.UpstreamIncarnation{Upstream: "a", StartedAtMS: born + 1}
		breakOffAt(s, n, incarnation)
		s.restarted(incarnation, time.Now())
	}
	if got := levelOf(s, n); got != quarantine.Refused {
		t.Fatalf("%v after three deaths of one id", got)
	}
}

// A connection breaks under a request, and long after that its upstream is restarted for another reason. That speaks against
// nobody.
func TestALaterRestartIsNoDeath(t *testing.T) {
	s := newSuspects(log.NewNopLogger())
	s.dial = func(context.Context, string) error { return nil }
	n := runOf("x")
	incarnation := ids.UpstreamIncarnation{Upstream: "a", StartedAtMS: 1}
	breakOffAt(s, n, incarnation)
	s.restarted(incarnation, time.Now().Add(restartHeard+time.Second))
	if got := levelOf(s, n); got != quarantine.Clear {
		t.Fatalf("%v, want clear", got)
	}
}
