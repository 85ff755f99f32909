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

// decisionRuns is how often each size is timed; the median is taken.
const decisionRuns = 7

// costSizes double one of ranks, experts and layers at a time up to the size that the product is to carry.
var costSizes = []expert.Shape{
	{Ranks: 16, Experts: 128, Layers: 60}, {Ranks: 32, Experts: 128, Layers: 60}, {Ranks: 64, Experts: 128, Layers: 60},
	{Ranks: 64, Experts: 64, Layers: 60}, {Ranks: 64, Experts: 256, Layers: 60},
	{Ranks: 64, Experts: 128, Layers: 15}, {Ranks: 64, Experts: 128, Layers: 30}, {Ranks: 64, Experts: 128, Layers: 120},
}

// Decision is a group in a state that calls for many moves: its popularity has shifted since the map was packed.
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
	top := newTopics(d, ScenarioSteady, rng)
	speed := make([]float64, shape.Ranks)
	floats.AddConst(1, speed)
	m, err := placement.Pack(d.group(), perRank+shape.Layers, top.popularity(top.usualMix(0)), speed, 1)
	if err != nil {
		return nil, fmt.Errorf("prepare a decision: %w", err)
	}
	return &Decision{d.group(), m, top.popularity(top.usualMix(12)), speed, d.Options}, nil
}

// Run takes the decision once and returns the number of loads that it asks for.
func (d *Decision) Run() (int, error) {
	better, err := placement.Improve(d.group, d.options, d.current, d.pop, d.speed)
	if err != nil {
		return 0, fmt.Errorf("decide: %w", err)
	}
	return expert.Loads(better.Moves), nil
}

// CostTable times one decision at several sizes.
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
			begin := time.Now()
			if loads, err = d.Run(); err != nil {
				return t, err
			}
			times = append(times, float64(time.Since(begin).Microseconds())/1e3)
		}
		data, err := d.current.MarshalBinary()
		if err != nil {
			return t, fmt.Errorf("encode: %w", err)
		}
		t.Add(shape.Ranks, shape.Experts, shape.Layers, report.Quantile(0.5, times), loads, len(data))
	}
	return t, nil
}
