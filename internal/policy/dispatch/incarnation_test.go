package dispatch_test

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
	"github.com/cardamomyoke/cardamomyoke/internal/policy/dispatch"
	"github.com/cardamomyoke/cardamomyoke/internal/state/catalog"
)

func incarnationOf(startedAtMS int64) []*catalog.Upstream {
	return []*catalog.Upstream{{ID: "u-00", StartedAtMS: startedAtMS, State: catalog.StateReady, Slots: 2}}
}

// Guards against state of an old incarnation that is applied to the new one: an upstream's connections break while it
// is full and known to refuse requests, and it restarts under the same id. The new incarnation must get requests
// immediately, and reports of other gateways about the old one must not count.
func TestNewIncarnationStartsWithFreshState(t *testing.T) {
	p := newPool(0, 0)
	p.SetUpstreams(incarnationOf(1), at(0))
	for range 2 {
		p.Done(p.Submit(timedRequest(at(0)), at(0)), dispatch.OutcomeBroken, at(0))
	}
	p.Submit(timedRequest(at(0)), at(0))
	p.SetUpstreamClosed(ids.UpstreamIncarnation{Upstream: "u-00", StartedAtMS: 1}, true, at(0))

	p.SetUpstreams(incarnationOf(2), at(1))
	p.SetOthersWork(map[ids.UpstreamIncarnation]dispatch.Work{{Upstream: "u-00", StartedAtMS: 1}: {Requests: 2}}, at(1), at(1))
	p.SetSlowdowns(map[ids.UpstreamIncarnation]float64{{Upstream: "u-00", StartedAtMS: 1}: 12})
	for i := range 2 {
		if ticket := p.Submit(timedRequest(at(1)), at(1)); ticket.Upstream() == nil {
			t.Fatalf("request %d was not placed at the new incarnation: %v", i, ticket.Err())
		}
	}
}

// Guards against an upstream that gets twice its requests: its registration expires while the store is unavailable and
// then returns, and its requests continue all the time. If it counted as idle, a second full set of requests would wait
// there for seconds.
func TestExpiredRegistrationKeepsRequestsInFlight(t *testing.T) {
	p := newPool(0, 0)
	p.SetUpstreams(incarnationOf(1), at(0))
	running := p.Submit(timedRequest(at(0)), at(0))
	p.SetUpstreams(nil, at(1))
	p.SetUpstreams(incarnationOf(1), at(2))
	want := map[ids.UpstreamIncarnation]dispatch.Work{{Upstream: "u-00", StartedAtMS: 1}: {Requests: 1}}
	if diff := cmp.Diff(want, p.OwnWork()); diff != "" {
		t.Fatal(diff)
	}
	p.Done(running, dispatch.OutcomeOK, at(2))
	if got := p.OwnWork(); len(got) != 0 {
		t.Fatalf("%v in flight at the end", got)
	}
}
