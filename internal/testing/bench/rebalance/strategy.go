package rebalance

import (
	"fmt"
	"math"
	"time"

	"github.com/cardamomyoke/cardamomyoke/internal/experts/placement"
	"github.com/cardamomyoke/cardamomyoke/internal/experts/placement/expert"
)

// Names of the strategies in the tables.
const (
	NameStatic = "static"
	NameRepack = "full-repack"
	NameGreedy = "greedy"
	NamePolicy = "policy"
	NameBound  = "bound"
)

// strategy is one of the ways to place experts that the bench compares. It receives the reports of a group that runs on
// its maps.
type strategy interface {
	observe(now time.Time, r placement.Report) error
	// decide returns the next map and the moves that lead to it, or nil to keep the current map.
	decide(now time.Time, current *expert.Map) (*change, error)
}

// change is the transition to a new map.
type change struct {
	next  *expert.Map
	moves []expert.Move
	// paced is set if loads are limited to the slack of the steps; otherwise they run at the store's rate.
	paced bool
}

// group returns the deployment as the placement policy's input.
func (d Deployment) group() placement.Group {
	return placement.Group{Shape: d.Shape, Slots: d.SlotsPerRank, ExpertBytes: d.ExpertBytes, StoreRate: d.StoreRate}
}

// static keeps the first map.
type static struct{}

func (static) observe(time.Time, placement.Report) error      { return nil }
func (static) decide(time.Time, *expert.Map) (*change, error) { return nil, nil }

// policy is the placement policy of the product.
type policy struct {
	*placement.Policy
	options placement.Options
}

func (p policy) observe(now time.Time, r placement.Report) error { return p.Observe(now, r) }

func (p policy) decide(now time.Time, current *expert.Map) (*change, error) {
	plan := p.Decide(now, p.options, current).Plan
	if plan == nil {
		return nil, nil
	}
	return &change{plan.Map, plan.Moves, true}, nil
}

// repack packs a map from scratch at each decision, with the estimates of the product's policy.
type repack struct {
	*placement.Policy
	d Deployment
}

func (p repack) observe(now time.Time, r placement.Report) error { return p.Observe(now, r) }

func (p repack) decide(now time.Time, current *expert.Map) (*change, error) {
	pop := p.Popularity()
	if pop == nil {
		return nil, nil
	}
	next, err := placement.Pack(p.d.group(), p.d.MapSlotsPerRank, pop, p.Speeds(now), current.Version()+1)
	if err != nil {
		return nil, fmt.Errorf("full re-pack: %w", err)
	}
	return changeTo(current, next), nil
}

// greedy applies every improvement, however small and whatever its cost.
type greedy struct {
	*placement.Policy
	d Deployment
}

func (p greedy) observe(now time.Time, r placement.Report) error { return p.Observe(now, r) }

func (p greedy) decide(now time.Time, current *expert.Map) (*change, error) {
	pop := p.Popularity()
	if pop == nil {
		return nil, nil
	}
	unlimited := placement.Options{Horizon: time.Hour, MaxBytesPerMinute: math.MaxUint64}
	plan, err := placement.Improve(p.d.group(), unlimited, current, pop, p.Speeds(now))
	if err != nil {
		return nil, fmt.Errorf("greedy: %w", err)
	}
	if plan.After >= plan.Before {
		return nil, nil
	}
	return changeTo(current, plan.Map), nil
}

func changeTo(current, next *expert.Map) *change {
	moves := expert.Diff(current, next)
	if len(moves) == 0 {
		return nil
	}
	return &change{next, moves, false}
}

// newStrategy returns the strategy with the given name; static for any other name.
func newStrategy(name string, d Deployment) strategy {
	switch name {
	case NameRepack:
		return repack{placement.NewPolicy(d.group()), d}
	case NameGreedy:
		return greedy{placement.NewPolicy(d.group()), d}
	case NamePolicy:
		return policy{placement.NewPolicy(d.group()), d.Options}
	}
	return static{}
}
