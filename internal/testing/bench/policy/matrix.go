package policy

import (
	"fmt"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
)

// Settings choose what is run.
type Settings struct {
	// Seed is the first of Seeds seeds.
	Seed  uint64
	Seeds int
	// Workers is how many runs go on at once.
	Workers int
}

const (
	runTime      = 55 * time.Second
	warmupTime   = 15 * time.Second
	saturateTime = 30 * time.Second
	// saturateRate is far more than the runners can carry, in requests a second.
	saturateRate = 1000
	// failingThird is a third of the runners, rounded down.
	failingThird = runners / 3
)

// The traces.
const (
	traceShared   = "shared prefixes"
	traceDistinct = "distinct prompts"
)

var (
	traces          = []string{traceShared, traceDistinct}
	routingPolicies = []string{policyExpectedWait, policyRandomTwo, policyLeastRequests, policyRoundRobin}
	routingLoads    = []float64{0.7, 1.5, 3}
	admissions      = []string{admitFair, admitLimit, admitNone}
	admissionLoads  = []float64{0.7, 1, 1.5, 3}
	retryVariants   = []string{retriesBudget, retriesBlind, retriesAlways, retriesNone}
)

const retryLoad = 0.7

// cell names one place of the tables; the figures of all seeds are kept for it.
type cell struct {
	trace   string
	policy  string
	admit   string
	retries string
	load    float64
	failing int
}

// cells returns all that is run for each seed.
func cells() []cell {
	var list []cell
	for _, trace := range traces {
		for _, load := range routingLoads {
			for _, p := range routingPolicies {
				list = append(list, cell{trace: trace, policy: p, admit: admitFair, retries: retriesBudget, load: load})
			}
		}
		for _, load := range admissionLoads {
			for _, a := range admissions {
				if a == admitFair && load != 1 {
					continue // Part of the routing cells.
				}
				list = append(list, cell{trace: trace, policy: policyExpectedWait, admit: a, retries: retriesBudget, load: load})
			}
		}
	}
	for _, r := range retryVariants {
		list = append(list, retryCell(r))
	}
	return list
}

func retryCell(variant string) cell {
	return cell{
		trace: traceShared, policy: policyExpectedWait, admit: admitFair, retries: variant,
		load: retryLoad, failing: failingThird,
	}
}

// Results holds the figures of all cells, one result for each seed.
type Results struct {
	settings Settings
	mu       sync.Mutex
	figures  map[cell][]*result
	carried  map[string][]float64
}

// RunAll carries out all runs; results do not depend on the number of workers.
func RunAll(s Settings) (*Results, error) {
	r := &Results{settings: s, figures: make(map[cell][]*result), carried: make(map[string][]float64)}
	for _, c := range cells() {
		r.figures[c] = make([]*result, s.Seeds)
	}
	for _, trace := range traces {
		r.carried[trace] = make([]float64, s.Seeds)
	}
	var group errgroup.Group
	group.SetLimit(max(1, s.Workers))
	for i := range s.Seeds {
		group.Go(func() error { return r.runSeed(i) })
	}
	if err := group.Wait(); err != nil {
		return nil, fmt.Errorf("run policies: %w", err)
	}
	return r, nil
}

// runSeed measures what the runners can carry with the arrivals of one seed, and then runs all cells on them.
func (r *Results) runSeed(i int) error {
	seed := r.settings.Seed + uint64(i)
	for _, trace := range traces {
		saturated := simulate(setup{
			seed: seed, rate: saturateRate, shared: trace == traceShared, policy: policyRandomTwo, admit: admitLimit,
			retries: retriesBudget, saturate: true, run: saturateTime,
		})
		r.carried[trace][i] = saturated.carried()
	}
	for _, c := range cells() {
		figures := simulate(setup{
			seed: seed, rate: c.load * r.carried[c.trace][i], shared: c.trace == traceShared, policy: c.policy,
			admit: c.admit, retries: c.retries, failing: c.failing, run: runTime, warmup: warmupTime,
		})
		r.mu.Lock()
		r.figures[c][i] = figures
		r.mu.Unlock()
	}
	return nil
}

// values returns one figure of a cell for each seed.
func (r *Results) values(c cell, get func(*result) float64) []float64 {
	values := make([]float64, 0, len(r.figures[c]))
	for _, figures := range r.figures[c] {
		values = append(values, get(figures))
	}
	return values
}

// ratios returns, for each seed, a figure of one cell over that of another.
func (r *Results) ratios(a, b cell, get func(*result) float64) []float64 {
	over, under := r.values(a, get), r.values(b, get)
	for i := range over {
		over[i] = ratio(over[i], under[i])
	}
	return over
}
