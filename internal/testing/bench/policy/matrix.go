package policy

import (
	"fmt"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
)

// Settings configures the runs.
type Settings struct {
	// Seed is the first of Seeds consecutive seeds.
	Seed  uint64
	Seeds int
	// Workers is the number of seeds that run concurrently.
	Workers int
}

const (
	runTime      = 55 * time.Second
	warmupTime   = 15 * time.Second
	saturateTime = 30 * time.Second
	// saturateRate is far above the capacity of the runners, in requests per second.
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
	retryVariants   = []string{retriesBudget, retriesNoEjection, retriesAlways, retriesNone}
)

const retryLoad = 0.7

// cell identifies one combination of trace, policies and load in the tables. Results holds one result per seed for it.
type cell struct {
	trace   string
	policy  string
	admit   string
	retries string
	load    float64
	failing int
}

// cells returns all combinations that run with each seed.
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
					continue // One of the routing cells above.
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

// retryCell returns the cell that compares a retry variant.
func retryCell(variant string) cell {
	return cell{
		trace: traceShared, policy: policyExpectedWait, admit: admitFair, retries: variant,
		load: retryLoad, failing: failingThird,
	}
}

// Results holds the results of all cells, one for each seed.
type Results struct {
	settings Settings
	mu       sync.Mutex
	// results holds the results by cell, in the order of the seeds.
	results map[cell][]*result
	// saturationRates holds, by trace, the request rate at load 1 for each seed, in requests per second.
	saturationRates map[string][]float64
}

// RunAll runs all cells with all seeds. The results do not depend on the number of workers.
func RunAll(s Settings) (*Results, error) {
	r := &Results{settings: s, results: make(map[cell][]*result), saturationRates: make(map[string][]float64)}
	for _, c := range cells() {
		r.results[c] = make([]*result, s.Seeds)
	}
	for _, trace := range traces {
		r.saturationRates[trace] = make([]float64, s.Seeds)
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

// runSeed measures the capacity of the runners with the arrivals of one seed, and then runs all cells on them.
func (r *Results) runSeed(i int) error {
	seed := r.settings.Seed + uint64(i)
	for _, trace := range traces {
		saturated := simulate(setup{
			seed: seed, rate: saturateRate, sharedPrefixes: trace == traceShared, policy: policyRandomTwo, admit: admitLimit,
			retries: retriesBudget, saturate: true, duration: saturateTime,
		})
		r.saturationRates[trace][i] = saturated.completionRate()
	}
	for _, c := range cells() {
		res := simulate(setup{
			seed: seed, rate: c.load * r.saturationRates[c.trace][i], sharedPrefixes: c.trace == traceShared, policy: c.policy,
			admit: c.admit, retries: c.retries, failingRunners: c.failing, duration: runTime, warmup: warmupTime,
		})
		r.mu.Lock()
		r.results[c][i] = res
		r.mu.Unlock()
	}
	return nil
}

// values returns a metric of a cell for each seed.
func (r *Results) values(c cell, get func(*result) float64) []float64 {
	values := make([]float64, 0, len(r.results[c]))
	for _, res := range r.results[c] {
		values = append(values, get(res))
	}
	return values
}

// ratios returns, for each seed, the ratio of a metric of cell a to that of cell b.
func (r *Results) ratios(a, b cell, get func(*result) float64) []float64 {
	numerators, denominators := r.values(a, get), r.values(b, get)
	for i := range numerators {
		numerators[i] = ratio(numerators[i], denominators[i])
	}
	return numerators
}
