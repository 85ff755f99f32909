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

const (
	// decisionInterval is the interval between a strategy's decisions, in windows.
	decisionInterval = 5
	// speedNoise is the relative error of a rank's busy time in one window.
	speedNoise = 0.02
	// stepsPerWindow is the number of steps that a report covers.
	stepsPerWindow = 10000
)

// start is the time of a trace's first window; only times relative to it matter.
var start = time.Unix(1_800_000_000, 0)

// Result is the result of one strategy on one trace.
type Result struct {
	// Skew holds, for each sampled step, the ratio of the slowest rank's time to the mean.
	Skew []float64
	// Bytes counts the bytes of weights loaded, Loads the experts loaded and Switches the new maps.
	Bytes           uint64
	Loads, Switches int
	// AbortedPlans counts plans whose weights were not loaded within placement.PlanTimeout.
	AbortedPlans int
	// DelayedSteps counts steps that loading made longer.
	DelayedSteps int
}

// simulation runs one strategy on one trace.
type simulation struct {
	d        Deployment
	trace    *Trace
	strategy strategy
	rng      *rand.Rand
	current  *expert.Map
	pending  *change
	// dueWindow is the window in which the loads of the last plan end. The pending map, if any, is in force from then on,
	// and the strategy decides again.
	dueWindow int
	// inbox holds the reports by the window in which they arrive.
	inbox  map[int][]placement.Report
	loader *weightLoader
	result Result
}

// newSimulation starts a strategy on a map packed for the popularity of the previous day.
func newSimulation(d Deployment, t *Trace, c strategy) (*simulation, error) {
	equalSpeeds := make([]float64, d.Shape.Ranks)
	floats.AddConst(1, equalSpeeds)
	first, err := placement.Pack(d.group(), d.MapSlotsPerRank, t.PriorPopularity, equalSpeeds, 1)
	if err != nil {
		return nil, fmt.Errorf("pack the first map: %w", err)
	}
	return &simulation{
		d: d, trace: t, strategy: c, current: first,
		rng:    rand.New(rand.NewPCG(t.Seed, scenarioStream(t.Scenario)+100)),
		inbox:  map[int][]placement.Report{},
		loader: newWeightLoader(d),
	}, nil
}

// Run simulates the named strategy on a trace, starting from the map of the previous day.
func Run(d Deployment, t *Trace, name string) (Result, error) {
	s, err := newSimulation(d, t, newStrategy(name, d))
	if err != nil {
		return Result{}, err
	}
	for w := range t.Windows {
		if err := s.window(w); err != nil {
			return Result{}, err
		}
	}
	return s.result, nil
}

func (s *simulation) window(w int) error {
	now := start.Add(time.Duration(w) * Window)
	for _, r := range s.inbox[w] {
		if err := s.strategy.observe(now, r); err != nil {
			return fmt.Errorf("observe reports in window %d: %w", w, err)
		}
	}
	delete(s.inbox, w)
	if s.pending != nil && w >= s.dueWindow {
		s.current, s.pending = s.pending.next, nil
	}
	if w >= s.dueWindow && w%decisionInterval == 0 {
		if err := s.decide(now, w); err != nil {
			return err
		}
	}
	s.measure(w)
	return nil
}

func (s *simulation) decide(now time.Time, w int) error {
	next, err := s.strategy.decide(now, s.current)
	if err != nil || next == nil {
		return err
	}
	loaded := s.loader.run(now, next, s.slacks(w))
	s.result.Bytes += loaded.bytes
	s.result.DelayedSteps += loaded.delayedSteps
	s.dueWindow = w + 1 + int(loaded.duration/Window)
	if !loaded.complete {
		s.result.AbortedPlans++
		return nil
	}
	s.result.Switches++
	s.result.Loads += expert.Loads(next.moves)
	s.pending = next
	return nil
}

// measure records the skew of the window's sampled steps and sends the ranks' reports.
func (s *simulation) measure(w int) {
	tw := &s.trace.Windows[w]
	var loads []float64
	for _, step := range tw.Steps {
		loads = rankLoads(s.d.Shape, s.current, step)
		s.result.Skew = append(s.result.Skew, stepSkew(s.d.Shape, loads, tw.Speed))
	}
	for rank := range s.d.Shape.Ranks {
		s.send(w, s.timeReport(w, rank, loads), s.trace.delay(w, rank))
	}
}

func (s *simulation) timeReport(w, rank int, loads []float64) placement.Report {
	tw := &s.trace.Windows[w]
	work := 0.0
	for l := range s.d.Shape.Layers {
		work += loads[l*s.d.Shape.Ranks+rank]
	}
	work *= stepsPerWindow
	busy := work / tw.Speed[rank] * (1 + speedNoise*s.rng.NormFloat64())
	return placement.Report{
		Rank: rank, Window: uint64(w), Tokens: tw.tokens(rank),
		Processed: uint64(work), Busy: time.Duration(busy * float64(time.Microsecond)),
		Step: uint64(w+1) * stepsPerWindow,
	}
}

func (s *simulation) send(w int, r placement.Report, delay int) {
	if delay == Lost {
		return
	}
	s.inbox[w+1+delay] = append(s.inbox[w+1+delay], r)
}

// delay returns the number of windows by which the rank's report is late, or Lost. Ranks that send no token counts in
// this window report on time.
func (t *Trace) delay(w, rank int) int {
	for _, r := range t.Windows[w].Reports {
		if r.Rank == rank {
			return r.Delay
		}
	}
	return 0
}

// tokens returns the rank's token counts, or nil if the rank sends none in this window.
func (tw *TraceWindow) tokens(rank int) []uint32 {
	for _, r := range tw.Reports {
		if r.Rank == rank {
			return r.Counts
		}
	}
	return nil
}

// rankLoads returns the number of tokens that each rank processes in each layer.
func rankLoads(shape expert.Shape, m *expert.Map, cells []float64) []float64 {
	loads := make([]float64, shape.Layers*shape.Ranks)
	for c, n := range cells {
		l := c / shape.Experts
		for _, r := range m.At(l, c%shape.Experts) {
			loads[l*shape.Ranks+r.Rank] += n * float64(r.Share) / expert.ShareUnit
		}
	}
	return loads
}

// stepSkew returns the ratio of the slowest rank's time to the mean, where ranks synchronize after each layer.
func stepSkew(shape expert.Shape, loads, speed []float64) float64 {
	slowest, mean := 0.0, 0.0
	for l := range shape.Layers {
		t := layerTimes(shape, loads, speed, l)
		slowest += floats.Max(t)
		mean += floats.Sum(t) / float64(len(t))
	}
	return slowest / mean
}

func layerTimes(shape expert.Shape, loads, speed []float64, l int) []float64 {
	t := make([]float64, shape.Ranks)
	for r := range t {
		t[r] = loads[l*shape.Ranks+r] / speed[r]
	}
	return t
}

// Bound returns the skew of steps whose expected load is perfectly balanced. The remaining skew is the random
// difference between the ranks' tokens in one step, which no map chosen before the step can remove.
func Bound(d Deployment, t *Trace) Result {
	rng := rand.New(rand.NewPCG(t.Seed, scenarioStream(t.Scenario)+200))
	g := &generator{d: d, rng: rng}
	var res Result
	for w := range t.Windows {
		tw := &t.Windows[w]
		tokens := d.BatchPerRank * tw.Load * float64(d.Shape.Ranks) / floats.Sum(tw.Speed)
		for range sampledSteps {
			loads := make([]float64, d.Shape.Layers*d.Shape.Ranks)
			for i := range loads {
				loads[i] = g.poisson(tokens * tw.Speed[i%d.Shape.Ranks])
			}
			res.Skew = append(res.Skew, stepSkew(d.Shape, loads, tw.Speed))
		}
	}
	return res
}

// figures are the columns of the tables for one result.
type figures struct {
	p50, p99, mean, gigabytes, loads, switches, delayedSteps float64
}

func (r Result) figures() figures {
	return figures{
		p50: report.Quantile(0.5, r.Skew), p99: report.Quantile(0.99, r.Skew),
		mean:      floats.Sum(r.Skew) / float64(len(r.Skew)),
		gigabytes: float64(r.Bytes) / 1e9, loads: float64(r.Loads),
		switches: float64(r.Switches), delayedSteps: float64(r.DelayedSteps),
	}
}
