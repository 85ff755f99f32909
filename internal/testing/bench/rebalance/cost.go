package rebalance

import (
	"fmt"
	"math/rand/v2"
	"time"

	"gonum.org/v1/gonum/floats"

	"github.com/cardamomyoke/cardamomyoke/internal/experts/placement"
	"github.com/cardamomyoke/cardamomyoke/internal/experts/placement/expert"
	"github.com/cardamomyoke/cardamomyoke/internal/testing/bench/report"
)

// decisionRuns is the number of timed runs per size; the table shows their median.
const decisionRuns = 7

// costSizes vary the number of ranks, experts or layers by factors of 2 around the target size.
var costSizes = []expert.Shape{
	{Ranks: 16, Experts: 128, Layers: 60}, {Ranks: 32, Experts: 128, Layers: 60}, {Ranks: 64, Experts: 128, Layers: 60},
	{Ranks: 64, Experts: 64, Layers: 60}, {Ranks: 64, Experts: 256, Layers: 60},
	{Ranks: 64, Experts: 128, Layers: 15}, {Ranks: 64, Experts: 128, Layers: 30}, {Ranks: 64, Experts: 128, Layers: 120},
}

// Decision is one decision to time: its group needs many moves because its popularity has shifted since the map was
// packed.
type Decision struct {
	group      placement.Group
	current    *expert.Map
	pop, speed []float64
	options    placement.Options
}

// NewDecision prepares the decision for a group of the given shape.
func NewDecision(shape expert.Shape, seed uint64) (*Decision, error) {
	perRank := (shape.Cells() + shape.Ranks - 1) / shape.Ranks
	slots := perRank + 2*shape.Layers
	d := Deployments()[0]
	d.Shape, d.SlotsPerRank = shape, slots
	rng := rand.New(rand.NewPCG(seed, 0))
	t := newTopics(d, ScenarioSteady, rng)
	speed := make([]float64, shape.Ranks)
	floats.AddConst(1, speed)
	current, err := placement.Pack(d.group(), perRank+shape.Layers, t.popularity(t.baselineMix(0)), speed, 1)
	if err != nil {
		return nil, fmt.Errorf("prepare a decision: %w", err)
	}
	return &Decision{d.group(), current, t.popularity(t.baselineMix(12)), speed, d.Options}, nil
}

// Run makes the decision once and returns the number of expert loads that it plans.
func (d *Decision) Run() (int, error) {
	plan, err := placement.Improve(d.group, d.options, d.current, d.pop, d.speed)
	if err != nil {
		return 0, fmt.Errorf("decide: %w", err)
	}
	return expert.Loads(plan.Moves), nil
}

// CostTable times one decision at each of several group sizes.
func CostTable(seed uint64) (report.Table, error) {
	t := report.Table{Title: "cost of one decision", Columns: []string{"ranks", "experts", "layers", "ms", "loads", "map bytes"}}
	for _, shape := range costSizes {
		d, err := NewDecision(shape, seed)
		if err != nil {
			return t, err
		}
		var times []float64
		loads := 0
		for range decisionRuns {
			began := time.Now()
			if loads, err = d.Run(); err != nil {
				return t, err
			}
			times = append(times, float64(time.Since(began).Microseconds())/1e3)
		}
		data, err := d.current.MarshalBinary()
		if err != nil {
			return t, fmt.Errorf("encode map: %w", err)
		}
		t.Add(shape.Ranks, shape.Experts, shape.Layers, report.Quantile(0.5, times), loads, len(data))
	}
	return t, nil
}
