package dispatch_test

import (
	"errors"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
	"github.com/cardamomyoke/cardamomyoke/internal/policy/dispatch"
	"github.com/cardamomyoke/cardamomyoke/internal/state/catalog"
)

// inDataCentres returns upstreams with the given slots in the data centres a, b, c, a, ...
func inDataCentres(n, slots int) []*catalog.Upstream {
	list := upstreams(n, slots)
	for i, u := range list {
		u.DataCentre = ids.DataCentre([]string{"a", "b", "c"}[i%3])
	}
	return list
}

func evacuated(names ...ids.DataCentre) *catalog.Evacuations {
	var list []catalog.Evacuation
	for _, d := range names {
		list = append(list, catalog.Evacuation{DataCentre: d})
	}
	return catalog.NewEvacuations(list)
}

// Guards against requests to an evacuated data centre: by upstreams there that register again, by requests that were waiting
// when the evacuation began, and against upstreams that stay unused after it.
func TestEvacuatedUpstreamsGetNoRequests(t *testing.T) {
	p := newPool(0, 1)
	p.SetUpstreams(inDataCentres(3, 1), at(0))
	var running []*dispatch.Ticket
	for range 3 {
		running = append(running, p.Submit(timedRequest(at(0)), at(0)))
	}
	waiting := p.Submit(timedRequest(at(0)), at(0))
	p.SetEvacuated(evacuated("a", "b"), at(0))
	p.SetUpstreams(inDataCentres(3, 1), at(0))
	for _, dc := range []ids.DataCentre{"a", "b", "c"} {
		for _, r := range running {
			if r.Upstream().DataCentre == dc {
				p.Done(r, dispatch.OutcomeOK, at(0))
			}
		}
		if placed := waiting.Upstream() != nil; placed != (dc == "c") {
			t.Fatalf("placed %t after the request in %s ended", placed, dc)
		}
	}
	p.Done(waiting, dispatch.OutcomeOK, at(0))
	p.SetEvacuated(evacuated(), at(0))
	used := map[ids.DataCentre]bool{}
	for range 3 {
		used[p.Submit(timedRequest(at(0)), at(0)).Upstream().DataCentre] = true
	}
	if len(used) != 3 {
		t.Fatalf("used after the evacuation: %v", used)
	}
}

// Guards against requests that are kept until their deadline although nothing but evacuated upstreams would take them, and against
// callers that are told to come back much later although another attempt would be served.
func TestRequestIsRefusedAtOnceIfAllElseIsEvacuated(t *testing.T) {
	list := inDataCentres(3, 1)
	list[2].State = catalog.StateDraining
	excluding := timedRequest(at(0))
	excluding.Exclude = []ids.Upstream{"u-01"}
	tests := map[string]struct {
		set     *catalog.Evacuations
		closed  bool
		request dispatch.Request
		refused bool
		soon    bool
	}{
		"all that are not draining":  {evacuated("a", "b"), false, timedRequest(at(0)), true, false},
		"while the group is closed":  {evacuated("a", "b", "c"), true, timedRequest(at(0)), true, false},
		"all that did not fail it":   {evacuated("a"), false, excluding, true, true},
		"one left, which is busy":    {evacuated("a"), false, timedRequest(at(0)), false, false},
		"only where none would take": {evacuated("c"), false, timedRequest(at(0)), false, false},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			p := newPool(0, 1)
			p.SetUpstreams(list, at(0))
			p.SetClosed(tc.closed, at(0))
			for range 2 {
				p.Submit(timedRequest(at(0)), at(0))
			}
			waiting := p.Submit(tc.request, at(0))
			p.SetEvacuated(tc.set, at(10*time.Millisecond))
			for what, ticket := range map[string]*dispatch.Ticket{"waiting": waiting, "new": p.Submit(tc.request, at(10*time.Millisecond))} {
				var err *dispatch.EvacuatedError
				if errors.As(ticket.Err(), &err) != tc.refused || tc.refused && (err.RetryAfter < time.Second) != tc.soon {
					t.Errorf("%s: %v", what, ticket.Err())
				}
			}
		})
	}
}

// Guards against a gateway that goes on counting slots of evacuated upstreams as its share, and takes more than that of what
// is left.
func TestSharedCapacityFallsWithEvacuation(t *testing.T) {
	p := newPool(0, 1)
	p.SetUpstreams(inDataCentres(3, 6), at(0))
	p.SetSharing(dispatch.Sharing{Gateways: 3, Interval: time.Second})
	place := func() (n int) {
		for p.Submit(timedRequest(at(0)), at(0)).Upstream() != nil {
			n++
		}
		return n
	}
	p.SetEvacuated(evacuated("a", "b"), at(0))
	if got := place(); got < 2 || got > 3 {
		t.Fatalf("%d placed, want a third of the 6 slots that are left", got)
	}
}

// Guards against streams that are moved from an evacuated data centre to where there is no room, and end before their time.
func TestStreamsAreMovedOnlyWhereThereIsRoom(t *testing.T) {
	p := newPool(0, 1)
	p.SetUpstreams(inDataCentres(3, 4), at(0))
	p.SetEvacuated(evacuated("a", "b"), at(0))
	p.SetSharing(dispatch.Sharing{Gateways: 2, Interval: time.Millisecond})
	got := []int{p.MoveRoom(at(0))}
	p.SetOthersWork(map[ids.UpstreamIncarnation]dispatch.Work{incarnation("u-02"): {Requests: 3}}, at(0), at(0))
	got = append(got, p.MoveRoom(at(0)))
	p.SetOthersWork(map[ids.UpstreamIncarnation]dispatch.Work{incarnation("u-02"): {Requests: 4}}, at(0), at(0))
	got = append(got, p.MoveRoom(at(0)))
	p.SetOthersWork(nil, at(0), at(0))
	p.SetClosed(true, at(0))
	got = append(got, p.MoveRoom(at(0)))
	if diff := cmp.Diff([]int{2, 1, 0, 0}, got); diff != "" {
		t.Fatal(diff)
	}
}

// Guards against a pool that places requests differently although no data centre is evacuated.
func TestPoolWithoutEvacuationsDecidesAsBefore(t *testing.T) {
	run := func(update func(p *dispatch.Pool, now time.Time)) (out []string) {
		p := newPool(0, 1)
		p.SetUpstreams(inDataCentres(9, 2), at(0))
		p.SetSharing(dispatch.Sharing{Gateways: 4, Interval: 100 * time.Millisecond})
		var tickets []*dispatch.Ticket
		for i := range 300 {
			now := at(time.Duration(i) * 10 * time.Millisecond)
			tickets = append(tickets, p.Submit(timedRequest(now), now))
			update(p, now)
			if i >= 12 {
				p.Done(tickets[i-12], dispatch.OutcomeOK, now)
			}
		}
		for _, ticket := range tickets {
			if u := ticket.Upstream(); u != nil {
				out = append(out, string(u.ID))
			}
		}
		return out
	}
	want := run(func(*dispatch.Pool, time.Time) {})
	got := run(func(p *dispatch.Pool, now time.Time) { p.SetEvacuated(evacuated(), now) })
	if diff := cmp.Diff(want, got); diff != "" || len(want) < 100 {
		t.Fatalf("%d placed: %s", len(want), diff)
	}
}
