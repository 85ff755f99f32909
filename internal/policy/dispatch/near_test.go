package dispatch_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
	"github.com/cardamomyoke/cardamomyoke/internal/policy/dispatch"
	"github.com/cardamomyoke/cardamomyoke/internal/state/catalog"
)

// nearEngine has the figures of the simulated passes.
func nearEngine() *catalog.Engine {
	return &catalog.Engine{
		Chunk: passChunk, Stride: passStride, StepBase: passBase / passStride, PromptTokensPerSecond: 1000 * prefillPerMS,
		MeanOutputTokens: streamEvents,
	}
}

// spread spreads gateways and ranks over data centres. The pools prefer their own only if near is set.
func (g *groupSimulation) spread(centres int, delay time.Duration, near bool) {
	name := func(i int) ids.DataCentre { return ids.DataCentre(fmt.Sprint("dc-", i%centres)) }
	g.centres, g.centreDelay = centres, delay
	for i, u := range g.list {
		u.DataCentre = name(i)
	}
	for i, gw := range g.gateways {
		gw.centre = name(i)
		o := dispatch.Options{Engine: nearEngine(), Fill: 1, LateFill: 0.6}
		if near {
			o.Near = &dispatch.Near{DataCentre: gw.centre, Delays: map[ids.DataCentre]time.Duration{}}
			for c := range centres {
				if name(c) != gw.centre {
					o.Near.Delays[name(c)] = delay
				}
			}
		}
		gw.pool.SetOptions(o)
		gw.pool.SetUpstreams(g.list, g.now)
	}
}

// pickGateway returns the gateway that a caller uses, by the demand of the data centres.
func (g *groupSimulation) pickGateway() int {
	for {
		i := g.rng.IntN(len(g.gateways))
		if g.centreSwing == 0 {
			return i
		}
		phase := float64(g.now.UnixNano())/float64(g.centrePeriod) + float64(i%g.centres)/float64(g.centres)
		if g.rng.Float64()*(1+g.centreSwing) < 1+g.centreSwing*math.Sin(2*math.Pi*phase) {
			return i
		}
	}
}

// roundTrip returns the delay of both ways between a stream's gateway and its rank.
func (g *groupSimulation) roundTrip(s *stream) time.Duration {
	if s.ticket.Upstream().DataCentre == s.gateway.centre {
		return 0
	}
	return 2 * g.centreDelay
}

// Guards against a preference that makes streams late, and against one that has no effect. Demand by data centre varies
// as in the two deployments of docs/hard-load.md, at their usual load and at bursts.
func TestNearUpstreamsArePreferred(t *testing.T) {
	for _, c := range []struct {
		name            string
		ranks, gateways int
		swing           float64
		period          time.Duration
		load            float64
		// minNear is the minimum share of streams in their own data centre.
		minNear float64
	}{
		{"first", 63, 44, 0.2, 11 * time.Second, 0.4, 0.8},
		{"first, burst", 63, 44, 0.2, 11 * time.Second, 0.7, 0.35},
		{"second, burst", 72, 50, 0.55, 15 * time.Second, 0.7, 0.35},
		{"second, overload", 72, 50, 0.55, 15 * time.Second, 1.1, 0.3},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			results := map[bool]*groupSimulation{}
			for _, near := range []bool{false, true} {
				total := &groupSimulation{}
				for seed := range uint64(1) {
					g := newGroupSimulation(seed, c.gateways, c.ranks, 10, 250*time.Millisecond, true)
					g.spread(3, 3*time.Millisecond, near)
					g.centreSwing, g.centrePeriod = c.swing, c.period
					g.run(c.load*float64(10*c.ranks)/1.95, 12*time.Second, outage{})
					total.onTime += g.onTime
					total.late += g.late
					total.refused += g.refused
					total.queued += g.queued
					total.near += g.near
					total.placed += g.placed
				}
				results[near] = total
				t.Logf("near %t: %d in time, %d late, %d refused, %d waited at their rank, %.2f in their own data centre",
					near, total.onTime, total.late, total.refused, total.queued, float64(total.near)/float64(total.placed))
			}
			without, with := results[false], results[true]
			if float64(with.onTime) < 0.995*float64(without.onTime) {
				t.Errorf("%d in time, %d without the preference", with.onTime, without.onTime)
			}
			if share := float64(with.near) / float64(with.placed); share < c.minNear {
				t.Errorf("%.2f of the streams were placed in their own data centre", share)
			}
		})
	}
}

// nearPool returns the pool of a gateway in dc-0 with one rank there and one in dc-1.
func nearPool(near *dispatch.Near, disabled ...dispatch.Mechanism) *dispatch.Pool {
	off := dispatch.DisabledMechanisms{}
	for _, m := range disabled {
		off[m] = true
	}
	p := dispatch.NewPool(dispatch.Options{Engine: nearEngine(), Fill: 1, LateFill: 0.6, Near: near, Disabled: off}, rand.New(rand.NewPCG(1, 2)))
	list := upstreams(2, 10)
	list[0].DataCentre, list[1].DataCentre = "dc-0", "dc-1"
	p.SetUpstreams(list, time.Unix(0, 0))
	return p
}

// Guards against a near upstream that is chosen although only a remote one is in time, or that differs by much, and
// against a preference without the option or with the mechanism disabled.
func TestRemoteUpstreamIsChosenWhereItIsNeeded(t *testing.T) {
	now := time.Unix(0, 0)
	home := &dispatch.Near{DataCentre: "dc-0", Delays: map[ids.DataCentre]time.Duration{"dc-1": 2 * time.Millisecond}}
	for _, c := range []struct {
		name     string
		near     *dispatch.Near
		off      []dispatch.Mechanism
		work     dispatch.Work
		slowdown float64
		target   time.Duration
		want     ids.Upstream
	}{
		{"differs by little", home, nil, dispatch.Work{Requests: 4}, 0, streamTarget, "u-00"},
		{"without the option", nil, nil, dispatch.Work{Requests: 4}, 0, streamTarget, "u-01"},
		{"disabled", home, []dispatch.Mechanism{dispatch.NearUpstreams}, dispatch.Work{Requests: 4}, 0, streamTarget, "u-01"},
		{"prompts wait there", home, nil, dispatch.Work{Requests: 1, PromptTokens: 3000}, 0, streamTarget, "u-01"},
		{"nearly full", home, nil, dispatch.Work{Requests: 9}, 0, streamTarget, "u-01"},
		{"slow", home, nil, dispatch.Work{}, 1.6, streamTarget, "u-01"},
		{"only the remote one is in time", home, nil, dispatch.Work{Requests: 1, PromptTokens: 400}, 0, 75 * time.Millisecond, "u-01"},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := nearPool(c.near, c.off...)
			first := upstreams(1, 10)[0].Incarnation()
			p.SetOthersWork(map[ids.UpstreamIncarnation]dispatch.Work{first: c.work}, now, now)
			p.SetSlowdowns(map[ids.UpstreamIncarnation]float64{first: c.slowdown})
			ticket := p.Submit(dispatch.Request{Arrived: now, Target: now.Add(c.target), Deadline: now.Add(streamCallerTimeout), PromptTokens: 600}, now)
			if ticket.Upstream() == nil || ticket.Upstream().ID != c.want {
				t.Errorf("placed at %v, want %s", ticket.Upstream(), c.want)
			}
		})
	}
}
