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

// breakConnection breaks a run's connection to an upstream, and waits until it was checked whether the upstream still
// listens.
func breakConnection(s *suspects, n *run, upstream ids.Upstream) {
	breakConnectionAt(s, n, ids.UpstreamIncarnation{Upstream: upstream})
}

func breakConnectionAt(s *suspects, n *run, incarnation ids.UpstreamIncarnation) {
	s.connectionBroken(context.Background(), n, &catalog.Upstream{ID: incarnation.Upstream, StartedAtMS: incarnation.StartedAtMS}, n.stream.attemptEvents, false)
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

// Guards against refusing a harmless request because connections broke under it at several upstreams. Only upstreams
// that crashed count against it: one that still listens has only lost a response, and one that does not respond may be
// partitioned.
func TestOnlyCrashesCountAgainstRequest(t *testing.T) {
	for _, c := range []struct {
		name string
		dial error
		want quarantine.Level
	}{
		{"connection refused", syscall.ECONNREFUSED, quarantine.Refused},
		{"still listens", nil, quarantine.Clear},
		{"does not respond", context.DeadlineExceeded, quarantine.Clear},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newSuspects("g", log.NewNopLogger(), newMetrics())
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

// Guards against refusing a harmless request because one crash counts several times: it breaks the same request twice,
// which was sent again before the crash was detected, and two gateways report it.
func TestCrashIsCountedOnce(t *testing.T) {
	s, other := newSuspects("g", log.NewNopLogger(), newMetrics()), newSuspects("g", log.NewNopLogger(), newMetrics())
	s.dial, other.dial = refuseDial, refuseDial
	n := runOf("x")
	breakConnection(s, n, "a")
	breakConnection(s, n, "a")
	breakConnection(other, n, "a")
	s.tracker.Merge(time.Now(), other.tracker.Digest(time.Now(), maxDigestSuspects)...)
	if got := levelOf(s, n); got != quarantine.Suspected {
		t.Fatalf("level %s after one crash", got)
	}
}

// Guards against counting earlier crashes against a request that is harmless. Two upstreams crash for other reasons
// while it runs there; sent again, it completes, so at the next crash the earlier ones must not count.
func TestCompletedRequestIsCleared(t *testing.T) {
	s := newSuspects("g", log.NewNopLogger(), newMetrics())
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

// Guards against a refusal that does not end, or ends before it said. A request is refused with the time from which it
// may be tried once more, which is after its last crash.
func TestQuarantineExpires(t *testing.T) {
	s := newSuspects("g", log.NewNopLogger(), newMetrics())
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

// Guards against missing a crash because the upstream is back under its id before the check whether it listens, which
// alone would count none. A request crashes an upstream three consecutive times. Each new incarnation in the registry
// proves a crash, and the third must refuse the request.
func TestRestartWithSameIDCountsAsCrash(t *testing.T) {
	s := newSuspects("g", log.NewNopLogger(), newMetrics())
	s.dial = func(context.Context, string) error { return nil }
	n := runOf("x")
	for crashes := range int64(3) {
		if got := levelOf(s, n); got == quarantine.Refused {
			t.Fatalf("refused after %d crashes", crashes)
		}
		incarnation := ids.UpstreamIncarnation{Upstream: "a", StartedAtMS: crashes + 1}
		breakConnectionAt(s, n, incarnation)
		s.upstreamRestarted(incarnation, time.Now())
	}
	if got := levelOf(s, n); got != quarantine.Refused {
		t.Fatalf("%v after three crashes of one id", got)
	}
}

// Guards against counting a restart for another reason against a request whose connection to that upstream broke long
// before.
func TestLateRestartIsNotACrash(t *testing.T) {
	s := newSuspects("g", log.NewNopLogger(), newMetrics())
	s.dial = func(context.Context, string) error { return nil }
	n := runOf("x")
	incarnation := ids.UpstreamIncarnation{Upstream: "a", StartedAtMS: 1}
	breakConnectionAt(s, n, incarnation)
	s.upstreamRestarted(incarnation, time.Now().Add(restartWindow+time.Second))
	if got := levelOf(s, n); got != quarantine.Clear {
		t.Fatalf("%v, want clear", got)
	}
}

// Guards against missing a crash because the upstream's address is taken by another one, or its host is silent, when its connections
// break.
func TestTakenAddressProvesCrash(t *testing.T) {
	for name, dial := range map[string]error{"listens again": nil, "is silent": context.DeadlineExceeded} {
		t.Run(name, func(t *testing.T) {
			s := newSuspects("g", log.NewNopLogger(), newMetrics())
			s.dial = func(context.Context, string) error { return dial }
			n := runOf("x")
			breakConnection(s, n, "a")
			s.addressTaken(&catalog.Upstream{ID: "b", Address: "elsewhere"}, time.Now())
			if got := levelOf(s, n); got != quarantine.Clear {
				t.Fatalf("%v before the address is taken", got)
			}
			s.addressTaken(&catalog.Upstream{ID: "b"}, time.Now())
			if got := levelOf(s, n); got != quarantine.Suspected {
				t.Fatalf("%v after another upstream has the address, want suspected", got)
			}
		})
	}
}

// Guards against a crash that counts against no request because the response had no length, so that the close of its connection looked
// like its end.
func TestStreamThatEndsWithinEventIsBroken(t *testing.T) {
	s := newSuspects("g", log.NewNopLogger(), newMetrics())
	s.dial = refuseDial
	n := runOf("x")
	n.g = &Gateway{suspects: s, ctx: t.Context()}
	n.g.settings.Store(&Settings{})
	n.g.view.Store(&view{upstreams: catalog.NewUpstreams(nil)})
	n.checkCrash(&catalog.Upstream{ID: "a"}, &EventError{"ends within an event"}, n.stream.attemptEvents)
	for end := time.Now().Add(time.Second); levelOf(s, n) == quarantine.Clear; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the crash counts against no request")
		}
	}
}
