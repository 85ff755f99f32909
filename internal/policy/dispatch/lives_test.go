package dispatch_test

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
	"github.com/cardamomyoke/cardamomyoke/internal/policy/dispatch"
	"github.com/cardamomyoke/cardamomyoke/internal/state/catalog"
)

func lifeOf(born int64) []*catalog.Upstream {
	return []*catalog.Upstream{{ID: "u-00", StartedAtMS: born, State: catalog.StateReady, Slots: 2}}
}

// An upstream's connections break while it is full and known to refuse; it starts again under its id. Its new life holds
// nothing, so that callers must be sent there at once, and what the other gateways still tell of the old one is not counted.
func TestANewLifeStartsWithoutAPast(t *testing.T) {
	p := newPool(0, 0)
	p.SetUpstreams(lifeOf(1), at(0))
	for range 2 {
		p.Done(p.Submit(timed(at(0)), at(0)), dispatch.OutcomeBroken, at(0))
	}
	p.Submit(timed(at(0)), at(0))
	p.SetUpstreamClosed(ids.UpstreamIncarnation{Upstream: "u-00", StartedAtMS: 1}, true, at(0))

	p.SetUpstreams(lifeOf(2), at(1))
	p.SetOthers(map[ids.UpstreamIncarnation]dispatch.Work{{Upstream: "u-00", StartedAtMS: 1}: {Requests: 2}}, at(1), at(1))
	p.SetPaces(map[ids.UpstreamIncarnation]float64{{Upstream: "u-00", StartedAtMS: 1}: 12})
	for i := range 2 {
		if ticket := p.Submit(timed(at(1)), at(1)); ticket.Upstream() == nil {
			t.Fatalf("request %d was not placed at the new life: %v", i, ticket.Err())
		}
	}
}

// The entry of a busy upstream lapses while the store is away, and comes back. Its requests go on all the time: counted as
// idle it would get as many again as it has slots, which wait there for seconds.
func TestALapsedEntryDoesNotMakeAnUpstreamIdle(t *testing.T) {
	p := newPool(0, 0)
	p.SetUpstreams(lifeOf(1), at(0))
	running := p.Submit(timed(at(0)), at(0))
	p.SetUpstreams(nil, at(1))
	p.SetUpstreams(lifeOf(1), at(2))
	want := map[ids.UpstreamIncarnation]dispatch.Work{{Upstream: "u-00", StartedAtMS: 1}: {Requests: 1}}
	if diff := cmp.Diff(want, p.Own()); diff != "" {
		t.Fatal(diff)
	}
	p.Done(running, dispatch.OutcomeOK, at(2))
	if got := p.Own(); len(got) != 0 {
		t.Fatalf("%v in flight at the end", got)
	}
}
