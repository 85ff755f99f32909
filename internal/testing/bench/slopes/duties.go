package slopes

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"gonum.org/v1/gonum/floats"
	"google.golang.org/protobuf/proto"

	"github.com/cardamomyoke/cardamomyoke/internal/experts/placement"
	"github.com/cardamomyoke/cardamomyoke/internal/experts/placement/expert"
	cardamomyokev1 "github.com/cardamomyoke/cardamomyoke/internal/gen/cardamomyoke/v1"
	ledger "github.com/cardamomyoke/cardamomyoke/internal/state/claims"
	"github.com/cardamomyoke/cardamomyoke/internal/state/lease"
	"github.com/cardamomyoke/cardamomyoke/internal/state/lease/manager"
	"github.com/cardamomyoke/cardamomyoke/internal/testing/bench/claims"
	"github.com/cardamomyoke/cardamomyoke/internal/testing/bench/mapswitch"
	"github.com/cardamomyoke/cardamomyoke/internal/testing/bench/rebalance"
)

const (
	layers = 60
	// leaseContenders is the number of entries that contend for a group's lease (see internal/experts/rebalance).
	leaseContenders = 3
)

// leaseFigures runs the contenders for the leases of the given number of duties, three for each, on a virtual clock. It
// returns the reads and writes of the table per second.
func leaseFigures(duties int) ([]float64, error) {
	const span = 10 * time.Minute
	var reads, writes float64
	for d := range duties {
		duty := lease.Duty(fmt.Sprintf("group-%d", d))
		var row lease.Row
		var contenders []*lease.Contender
		for i := range leaseContenders {
			rng := rand.New(rand.NewPCG(uint64(d), uint64(i)))
			contenders = append(contenders, lease.NewContender(duty, fmt.Sprint(i), incarnation, manager.DefaultLength, rng))
		}
		for now := virtualStart; now.Sub(virtualStart) < span; now = now.Add(50 * time.Millisecond) {
			for _, h := range contenders {
				effects := append(h.SetWanted(now, true), h.Tick(now)...)
				for len(effects) > 0 {
					e := effects[0]
					effects = effects[1:]
					switch e := e.(type) {
					case *lease.Read:
						reads++
						effects = append(effects, h.OnRead(now, h.CallID(), row, true)...)
					case *lease.Write:
						writes++
						effects = append(effects, h.OnWrite(now, h.CallID(), applyLease(&row, e))...)
					}
				}
			}
		}
	}
	return []float64{reads / span.Seconds(), writes / span.Seconds()}, nil
}

// applyLease performs the conditional write of the lease's two rows, as the table does.
func applyLease(row *lease.Row, w *lease.Write) lease.WriteResult {
	if w.Version != row.Version || w.Fence != row.Fence {
		return lease.WriteResult{Conflict: true}
	}
	row.Lease = w.Lease
	row.Version.Version++
	if w.NewFence {
		row.Fence.Version++
	}
	return lease.WriteResult{OK: true, Version: row.Version, Fence: row.Fence}
}

// claimFigures runs the claim ledgers of 100 slots in virtual time. It returns the writes and the rows written per
// second for all slots.
func claimFigures(perSecond int) ([]float64, error) {
	const writesPerSecond, slots, seed = 300.0, 100, 1
	f := claims.Run(claims.Scenario{
		Slots: slots, Rate: float64(perSecond), LostShare: 0.01, Duration: 20 * time.Second,
		Interval: ledger.IntervalFor(slots, writesPerSecond, 10*time.Millisecond), MaxBatch: 128, MaxInFlight: 4,
	}, seed)
	return []float64{float64(f.Writes) / 20, float64(f.Rows) / 20}, nil
}

// mapFigures returns the size of an encoded map in bytes, the heap of a placement policy in bytes and the time in ms of
// one decision after a shift of popularity.
func mapFigures(shape expert.Shape) ([]float64, error) {
	group := placement.Group{Shape: shape, Slots: shape.Cells()/shape.Ranks + 2*layers, ExpertBytes: 40 << 20, StoreRate: 1e9}
	pop := make([]float64, shape.Cells())
	for i := range pop {
		pop[i] = 1 + float64(i%7)
	}
	speed := make([]float64, shape.Ranks)
	floats.AddConst(1, speed)
	packed, err := placement.Pack(group, shape.Cells()/shape.Ranks+layers, pop, speed, 1)
	if err != nil {
		return nil, fmt.Errorf("pack map: %w", err)
	}
	data, err := packed.MarshalBinary()
	if err != nil {
		return nil, fmt.Errorf("encode map: %w", err)
	}
	heap := heapBytesOf(func() any { return policyWithReports(group) })
	decision, err := rebalance.NewDecision(shape, 1)
	if err != nil {
		return nil, fmt.Errorf("decision: %w", err)
	}
	var runErr error
	micros := minCallMicros(func() {
		if _, err := decision.Run(); err != nil {
			runErr = err
		}
	})
	return []float64{float64(len(data)), heap, micros / 1e3}, runErr
}

// policyWithReports returns a policy that has processed two windows of reports from all ranks.
func policyWithReports(group placement.Group) *placement.Policy {
	p := placement.NewPolicy(group)
	tokens := make([]uint32, group.Shape.Cells())
	for i := range tokens {
		tokens[i] = uint32(1 + i%7)
	}
	for w := range uint64(2) {
		for r := range group.Shape.Ranks {
			report := placement.Report{Rank: r, Window: w, Tokens: slices.Clone(tokens), Processed: 1, Busy: 1, Step: w}
			_ = p.Observe(virtualStart.Add(time.Duration(w)*time.Minute), report) // Observe accepts any report of the right shape.
		}
	}
	return p
}

func mapMetrics(by string) []Metric {
	return []Metric{
		{"map.bytes.by-" + by, "lease holder", "B encoded", Exact}, {"map.policy.heap.by-" + by, "lease holder", "B of heap", Counted},
		{"map.decision.by-" + by, "lease holder", "ms a decision", Timed},
	}
}

// switchFigures switches the map of a real group over loopback. It returns the messages and the time in ms of one
// switch.
func switchFigures(ranks int) ([]float64, error) {
	const switches = 3
	f, err := mapswitch.MeasureSwitches(ranks, switches, 6*time.Millisecond, 1)
	if err != nil {
		return nil, fmt.Errorf("switch maps: %w", err)
	}
	return []float64{f.Messages, f.Milliseconds}, nil
}

func dutyExperiments() []Experiment {
	return []Experiment{
		{
			Driver: "duties held, 3 candidates each", Sizes: []int{1, 8, 16, targetDuties}, Target: targetDuties,
			Metrics: []Metric{{"lease.reads", "lease holder", "reads/s", Exact}, {"lease.writes", "lease holder", "writes/s", Exact}},
			Run:     leaseFigures,
		},
		{
			Driver: "claims/s over 100 slots", Sizes: []int{10, 30, 100, 300, 1000, 3000}, Target: 1000,
			Metrics: []Metric{{"claims.writes", "slot", "writes/s, all slots", Exact}, {"claims.rows", "slot", "rows/s, all slots", Exact}},
			Run:     claimFigures,
		},
		{
			Driver: "ranks, 128 experts, 60 layers", Sizes: []int{8, 16, 32, 64}, Target: targetRanks, Metrics: mapMetrics("ranks"),
			Run: func(n int) ([]float64, error) {
				return mapFigures(expert.Shape{Ranks: n, Experts: targetExperts, Layers: layers})
			},
		},
		{
			Driver: "experts a layer, 64 ranks, 60 layers", Sizes: []int{32, 64, 128, 256}, Target: targetExperts, Metrics: mapMetrics("experts"),
			Run: func(n int) ([]float64, error) {
				return mapFigures(expert.Shape{Ranks: targetRanks, Experts: n, Layers: layers})
			},
		},
		{
			Driver: "experts a layer, 60 layers", Sizes: []int{32, 64, 128, 256}, Target: targetExperts,
			Metrics: []Metric{{"rank.report", "slot", "B encoded", Exact}},
			Run: func(n int) ([]float64, error) {
				r := &cardamomyokev1.GetRankReportResponse{Rank: 63, Window: 100_000, Processed: 1e9, BusyUs: 1e9, Step: 4e6, MapVersion: 1000, MapName: "group-07/1000"}
				for i := range n * layers {
					r.Tokens = append(r.Tokens, uint32(20+i%400))
				}
				return []float64{float64(proto.Size(r))}, nil
			},
		},
		{
			Driver: "ranks", Sizes: []int{4, 8, 16, 32, 64}, Target: targetRanks,
			Metrics: []Metric{{"switch.messages", "slot", "messages a switch", Paced}, {"switch.took", "lease holder", "ms a switch", Waited}},
			Run:     switchFigures,
		},
	}
}
