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
	// decidePeriod is how often, in windows, every contender decides.
	decidePeriod = 5
	// speedNoise is the relative error of a rank's busy time in one window.
	speedNoise = 0.02
	// stepsPerWindow numbers the steps in reports.
	stepsPerWindow = 10000
)

// start is the time of a trace's first window; only differences matter.
var start = time.Unix(1_800_000_000, 0)

// Result is what one contender reached on one trace.
type Result struct {
	// Skew holds the slowest rank's time over the mean in each sampled step.
	Skew []float64
	// Bytes counts weights loaded, Loads the experts loaded and Switches the new maps.
	Bytes           uint64
	Loads, Switches int
	// GivenUp counts plans whose weights could not be loaded in time.
	GivenUp int
	// Waited counts steps that loading made longer.
	Waited int
}

// simulation is one contender on one trace.
type simulation struct {
	d       Deployment
	trace   *Trace
	c       contender
	rng     *rand.Rand
	current *expert.Map
	pending *change
	// due is the window from which the pending map, if its weights could be loaded, is in force.
	due     int
	mail    map[int][]placement.Report
	staging *stage
	result  Result
}

// newSimulation starts a contender on the map of the day before.
func newSimulation(d Deployment, t *Trace, c contender) (*simulation, error) {
	even := make([]float64, d.Shape.Ranks)
	floats.AddConst(1, even)
	first, err := placement.Pack(d.group(), d.MapSlotsPerRank, t.Before, even, 1)
	if err != nil {
		return nil, fmt.Errorf("pack the first map: %w", err)
	}
	return &simulation{
		d: d, trace: t, c: c, current: first,
		rng:     rand.New(rand.NewPCG(t.Seed, scenarioStream(t.Scenario)+100)),
		mail:    map[int][]placement.Report{},
		staging: newStage(d),
	}, nil
}

// Run drives a contender through a trace from the map of the day before.
func Run(d Deployment, t *Trace, name string) (Result, error) {
	s, err := newSimulation(d, t, newContender(name, d))
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
	for _, r := range s.mail[w] {
		if err := s.c.observe(now, r); err != nil {
			return fmt.Errorf("window %d: %w", w, err)
		}
	}
	delete(s.mail, w)
	if s.pending != nil && w >= s.due {
		s.current, s.pending = s.pending.next, nil
	}
	if w >= s.due && w%decidePeriod == 0 {
		if err := s.decide(now, w); err != nil {
			return err
		}
	}
	s.measure(w)
	return nil
}

func (s *simulation) decide(now time.Time, w int) error {
	ch, err := s.c.decide(now, s.current)
	if err != nil || ch == nil {
		return err
	}
	st := s.staging.run(now, ch, s.slacks(w))
	s.result.Bytes += st.bytes
	s.result.Waited += st.waited
	s.due = w + 1 + int(st.took/Window)
	if !st.done {
		s.result.GivenUp++
		return nil
	}
	s.result.Switches++
	s.result.Loads += expert.Loads(ch.moves)
	s.pending = ch
	return nil
}

// measure takes the skew of the window's sampled steps and sends the ranks' reports of the window.
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
	s.mail[w+1+delay] = append(s.mail[w+1+delay], r)
}

// delay returns by how many windows the rank's report is late; ranks whose turn it is not are in time.
func (t *Trace) delay(w, rank int) int {
	for _, r := range t.Windows[w].Reports {
		if r.Rank == rank {
			return r.Delay
		}
	}
	return 0
}

// tokens returns the rank's token counts, or nil if it was not its turn.
func (tw *TraceWindow) tokens(rank int) []uint32 {
	for _, r := range tw.Reports {
		if r.Rank == rank {
			return r.Counts
		}
	}
	return nil
}

// rankLoads returns the tokens that each rank takes in each layer.
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

// stepSkew returns the slowest rank's time over the mean, where ranks meet in each layer.
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

// Bound returns the skew of steps whose expected load is perfectly balanced: what remains is the chance by which each
// rank's tokens differ in one step, and no map that is fixed before the step removes it.
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

// figures are what the tables show of one result.
type figures struct {
	p50, p99, mean, gigabytes, loads, switches, waited float64
}

func (r Result) figures() figures {
	return figures{
		p50: report.Quantile(0.5, r.Skew), p99: report.Quantile(0.99, r.Skew),
		mean:      floats.Sum(r.Skew) / float64(len(r.Skew)),
		gigabytes: float64(r.Bytes) / 1e9, loads: float64(r.Loads),
		switches: float64(r.Switches), waited: float64(r.Waited),
	}
}
