package dispatch_test

import (
	"testing"
	"time"
)

// result counts the streams of all seeds by how they ended. queued counts those that waited at their rank for a slot.
type result struct{ onTime, late, refused, queued int }

func (r result) all() int { return r.onTime + r.late + r.refused }

// deployment is a set of gateways and ranks; interval is the time between two reports of a gateway to the others.
type deployment struct {
	gateways, ranks, slots int
	interval               time.Duration
}

// capacity is roughly the number of streams per second that the ranks can serve.
func (d deployment) capacity() float64 { return float64(d.ranks*d.slots) / 1.95 }

func (d deployment) simulate(load float64, down outage, sharing bool) result {
	var r result
	for seed := range uint64(3) {
		g := newGroupSimulation(seed, d.gateways, d.ranks, d.slots, d.interval, sharing)
		g.run(load*d.capacity(), 12*time.Second, down)
		r.onTime += g.onTime
		r.late += g.late
		r.refused += g.refused
		r.queued += g.queued
	}
	return r
}

// Guards against gateways that all choose the same rank: their reports of each other are a tenth of a second old or
// older, so all see the same ranks as the least loaded, and streams queue there while other ranks are idle. The
// baseline ignores that other gateways place requests too.
func TestGatewaysDoNotAllChooseTheSameRank(t *testing.T) {
	for _, c := range []struct {
		name string
		d    deployment
		load float64
		// minOnTime is the minimum share of streams that must be on time, maxQueued the maximum share that may wait in
		// the ranks' queues.
		minOnTime, maxQueued float64
	}{
		{"few gateways", deployment{7, 16, 12, 100 * time.Millisecond}, 0.8, 0.98, 0.05},
		{"many gateways at half load", deployment{41, 72, 10, 200 * time.Millisecond}, 0.5, 0.99, 0.01},
		{"many gateways", deployment{41, 72, 10, 200 * time.Millisecond}, 0.65, 0.98, 0.03},
	} {
		t.Run(c.name, func(t *testing.T) {
			ours := c.d.simulate(c.load, outage{}, true)
			baseline := c.d.simulate(c.load, outage{}, false)
			t.Logf("ours %+v, least loaded of all %+v", ours, baseline)
			if share := float64(ours.onTime) / float64(ours.all()); share < c.minOnTime {
				t.Errorf("%.3f of the streams in time, want %.3f", share, c.minOnTime)
			}
			if share := float64(ours.queued) / float64(ours.all()); share > c.maxQueued {
				t.Errorf("%.3f of the streams waited at their rank, want %.3f at most", share, c.maxQueued)
			}
		})
	}
}

// Guards against streams that queue at a rank because several gateways used the same free slot, when the ranks are
// nearly full or a group has just re-formed. Such a stream waits behind streams of two seconds. Gateways that use their
// share of the slots leave the last ones to others.
func TestLastSlotsAreLeftToGatewaysBelowTheirShare(t *testing.T) {
	many := deployment{41, 72, 10, 200 * time.Millisecond}
	for _, c := range []struct {
		name    string
		d       deployment
		load    float64
		down    outage
		minGain float64
	}{
		{"few gateways, overload", deployment{7, 16, 12, 100 * time.Millisecond}, 1.2, outage{}, 1.1},
		{"many gateways, nearly full", many, 0.9, outage{}, 1.3},
		{"many gateways, overload", many, 1.2, outage{}, 1.5},
		{"many gateways, the group re-forms", many, 0.8, outage{4 * time.Second, 1600 * time.Millisecond}, 1.2},
	} {
		t.Run(c.name, func(t *testing.T) {
			ours := c.d.simulate(c.load, c.down, true)
			baseline := c.d.simulate(c.load, c.down, false)
			t.Logf("ours %+v, without slot shares %+v", ours, baseline)
			if float64(ours.onTime) < c.minGain*float64(baseline.onTime) {
				t.Errorf("%d in time, want %.2f times the %d of the baseline", ours.onTime, c.minGain, baseline.onTime)
			}
			if ours.queued > baseline.queued {
				t.Errorf("%d waited at their rank, %d of the baseline's", ours.queued, baseline.queued)
			}
		})
	}
}
