package dispatch_test

import (
	"testing"
	"time"
)

// result sums up the streams of some seeds by their end.
type result struct{ onTime, late, refused, queued int }

func (r result) all() int { return r.onTime + r.late + r.refused }

// gatewaysAndRanks is a deployment, and how old what its gateways know of each other is.
type gatewaysAndRanks struct {
	gateways, ranks, slots int
	interval               time.Duration
}

// capacity is about how many streams a second the ranks can serve.
func (d gatewaysAndRanks) capacity() float64 { return float64(d.ranks*d.slots) / 1.95 }

func (d gatewaysAndRanks) play(load float64, down outage, told bool) result {
	var r result
	for seed := range uint64(3) {
		g := newGroupReplay(seed, d.gateways, d.ranks, d.slots, d.interval, told)
		g.play(load*d.capacity(), 12*time.Second, down)
		r.onTime += g.onTime
		r.late += g.late
		r.refused += g.refused
		r.queued += g.queued
	}
	return r
}

// Many gateways place requests by what they heard of each other a tenth of a second ago. Callers wait for their first token
// although ranks stand idle: all gateways have found the same ranks the least loaded, and what they sent waits there for
// slots. Below is what gateways that do not reckon with each other do, in the same run.
func TestGatewaysDoNotAllChooseTheSameRank(t *testing.T) {
	for _, c := range []struct {
		name string
		d    gatewaysAndRanks
		load float64
		// least is the share of all streams that must be in time, most the share that may wait in ranks' queues.
		least, most float64
	}{
		{"few gateways", gatewaysAndRanks{7, 16, 12, 100 * time.Millisecond}, 0.8, 0.98, 0.05},
		{"many gateways at half load", gatewaysAndRanks{41, 72, 10, 200 * time.Millisecond}, 0.5, 0.99, 0.01},
		{"many gateways", gatewaysAndRanks{41, 72, 10, 200 * time.Millisecond}, 0.65, 0.98, 0.03},
	} {
		t.Run(c.name, func(t *testing.T) {
			ours := c.d.play(c.load, outage{}, true)
			baseline := c.d.play(c.load, outage{}, false)
			t.Logf("ours %+v, least loaded of all %+v", ours, baseline)
			if share := float64(ours.onTime) / float64(ours.all()); share < c.least {
				t.Errorf("%.3f of the streams in time, want %.3f", share, c.least)
			}
			if share := float64(ours.queued) / float64(ours.all()); share > c.most {
				t.Errorf("%.3f of the streams waited at their rank, want %.3f at most", share, c.most)
			}
		})
	}
}

// The ranks are nearly full, or have just formed a group again and all gateways send what has waited. What seems to be a
// free slot is free for all gateways, and callers of those that come late wait in the rank's queue behind streams of two
// seconds. Gateways with their part of the slots in use leave the last ones to others.
func TestTheLastSlotsAreLeftToGatewaysWithFewer(t *testing.T) {
	many := gatewaysAndRanks{41, 72, 10, 200 * time.Millisecond}
	for _, c := range []struct {
		name  string
		d     gatewaysAndRanks
		load  float64
		down  outage
		gains float64
	}{
		{"few gateways, overload", gatewaysAndRanks{7, 16, 12, 100 * time.Millisecond}, 1.2, outage{}, 1.1},
		{"many gateways, nearly full", many, 0.9, outage{}, 1.3},
		{"many gateways, overload", many, 1.2, outage{}, 1.5},
		{"many gateways, the group forms again", many, 0.8, outage{4 * time.Second, 1600 * time.Millisecond}, 1.2},
	} {
		t.Run(c.name, func(t *testing.T) {
			ours := c.d.play(c.load, c.down, true)
			baseline := c.d.play(c.load, c.down, false)
			t.Logf("ours %+v, without shares %+v", ours, baseline)
			if float64(ours.onTime) < c.gains*float64(baseline.onTime) {
				t.Errorf("%d in time, want %.2f times the %d of the baseline", ours.onTime, c.gains, baseline.onTime)
			}
			if ours.queued > baseline.queued {
				t.Errorf("%d waited at their rank, %d of the baseline's", ours.queued, baseline.queued)
			}
		})
	}
}
