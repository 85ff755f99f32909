package rebalance

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/cardamomyoke/cardamomyoke/internal/experts/placement"
	"github.com/cardamomyoke/cardamomyoke/internal/experts/placement/expert"
	"github.com/cardamomyoke/cardamomyoke/internal/testing/bench/report"
)

const (
	// requestLatency is the time between a request for a piece and the first byte from the weight store.
	requestLatency = 2 * time.Millisecond
	// loadingRanks is the number of ranks that share the store's rate while weights are loaded.
	loadingRanks = 4
	// pieceCount is the number of pieces of each load method that splits the weights, so that only their sizes differ.
	pieceCount = 16
	// pieceGrowth is the size ratio of consecutive pieces in a geometric split.
	pieceGrowth = 1.3
	// switchTime is the delay that each switch of the map adds until it is in force, since it is announced some steps
	// ahead.
	switchTime = 50 * time.Millisecond
	// slackSamples is the number of simulated loads per seed, each of a random rank with the slack of random windows.
	slackSamples = 200
)

// geometric splits total into n pieces, each growth times as large as the previous one; growth 1 makes them equal.
func geometric(total float64, n int, growth float64) []float64 {
	sum := 0.0
	for i := range n {
		sum += math.Pow(growth, float64(i))
	}
	pieces := make([]float64, n)
	for i := range pieces {
		pieces[i] = total / sum * math.Pow(growth, float64(i))
	}
	return pieces
}

// pieceResult is the outcome of loading one expert.
type pieceResult struct {
	// ready is the time in seconds until the weights are complete. delayedSteps counts the steps that copying made longer,
	// and delay is their total extra time in seconds.
	ready, delayedSteps, delay float64
}

// loadPieces fetches the pieces one after another. Each fetched piece is copied in full at the start of a step, while
// the next one is being fetched.
func loadPieces(d Deployment, pieces []float64, slack func() time.Duration) pieceResult {
	rate := float64(d.StoreRate) / loadingRanks
	var result pieceResult
	fetched, copied := 0.0, 0.0
	for _, p := range pieces {
		fetched += requestLatency.Seconds() + p/rate
		start := math.Ceil(max(fetched, copied)/d.StepTime.Seconds()) * d.StepTime.Seconds()
		copying := p / float64(d.CopyRate)
		copied = start + copying
		if excess := copying - slack().Seconds(); excess > 0 {
			result.delayedSteps++
			result.delay += excess
		}
	}
	result.ready = copied
	return result
}

// loadBySlack reads one continuous stream from the store and copies, in each step, as many bytes as fit in half of the
// previous step's slack, as package staging does.
func loadBySlack(d Deployment, slack func() time.Duration) pieceResult {
	rate := float64(d.StoreRate) / loadingRanks
	var result pieceResult
	now, copied := requestLatency.Seconds(), 0.0
	forecast := slack()
	for copied < float64(d.ExpertBytes) && now < placement.PlanTimeout.Seconds() {
		now += d.StepTime.Seconds()
		actual := slack()
		available := min(float64(d.ExpertBytes), rate*(now-requestLatency.Seconds()))
		n := min(available-copied, max(0, forecast.Seconds()/2*float64(d.CopyRate)))
		copied += n
		if excess := n/float64(d.CopyRate) - actual.Seconds(); excess > 0 {
			result.delayedSteps++
			result.delay += excess
		}
		forecast = actual
	}
	result.ready = now
	return result
}

// slackSampler returns a function that picks a random rank and returns a source of its slack in random steps of the
// steady scenario on the first map.
func slackSampler(d Deployment, seed uint64) (func(rng *rand.Rand) func() time.Duration, error) {
	t := NewTrace(d, ScenarioSteady, seed, time.Hour)
	s, err := newSimulation(d, t, static{})
	if err != nil {
		return nil, err
	}
	return func(rng *rand.Rand) func() time.Duration {
		rank := rng.IntN(d.Shape.Ranks)
		return func() time.Duration {
			all := s.slacks(rng.IntN(len(t.Windows)))
			return all[rng.IntN(sampledSteps)][rank]
		}
	}, nil
}

// loadMethod is a method of loading one expert's weights.
type loadMethod struct {
	name string
	load func(d Deployment, slack func() time.Duration) pieceResult
}

func loadMethods() []loadMethod {
	inPieces := func(n int, growth float64) func(Deployment, func() time.Duration) pieceResult {
		return func(d Deployment, slack func() time.Duration) pieceResult {
			return loadPieces(d, geometric(float64(d.ExpertBytes), n, growth), slack)
		}
	}
	return []loadMethod{
		{"whole", inPieces(1, 1)},
		{"equal", inPieces(pieceCount, 1)},
		{"geometric, growing", inPieces(pieceCount, pieceGrowth)},
		{"geometric, shrinking", inPieces(pieceCount, 1/pieceGrowth)},
		{"by slack", loadBySlack},
	}
}

// PiecesTable compares methods of splitting one expert's weights into pieces, with mean and spread over seeds.
func PiecesTable(s Settings) (report.Table, error) {
	t := report.Table{
		Title:   fmt.Sprintf("pieces of one expert's weights, %s, %d pieces, growth %.1f", s.Deployment.Name, pieceCount, pieceGrowth),
		Columns: []string{"pieces", "ready after ms", "steps that waited", "ms waited"},
	}
	for _, method := range loadMethods() {
		var ready, delayedSteps, delay []float64
		for i := range s.Seeds {
			sampler, err := slackSampler(s.Deployment, s.Seed+uint64(i))
			if err != nil {
				return t, err
			}
			rng := rand.New(rand.NewPCG(s.Seed+uint64(i), 0))
			var sum pieceResult
			for range slackSamples {
				run := method.load(s.Deployment, sampler(rng))
				sum.ready += run.ready / slackSamples
				sum.delayedSteps += run.delayedSteps / slackSamples
				sum.delay += run.delay / slackSamples
			}
			ready, delayedSteps, delay = append(ready, 1e3*sum.ready), append(delayedSteps, sum.delayedSteps), append(delay, 1e3*sum.delay)
		}
		t.Add(method.name, report.Summarize(ready), report.Summarize(delayedSteps), report.Summarize(delay))
	}
	return t, nil
}

// BatchTable compares schemes that spread one plan's loads over several switches of the map. Its measure is the skew
// above the plan's final skew, integrated over the milliseconds until the last switch.
func BatchTable(s Settings) (report.Table, error) {
	t := report.Table{
		Title:   "switches of one plan after a shift of the mix, " + s.Deployment.Name,
		Columns: []string{"batches", "loads", "skew·ms until all in force", "ms until the first", "ms until all"},
	}
	schemes := []struct {
		name   string
		n      int
		growth float64
	}{{"one", 1, 1}, {"2 equal", 2, 1}, {"2 growing", 2, 2}, {"4 equal", 4, 1}, {"4 growing", 4, 2}, {"4 shrinking", 4, 0.5}}
	for _, scheme := range schemes {
		var loads, cost, first, last []float64
		for i := range s.Seeds {
			curve, err := gainCurve(s.Deployment, s.Seed+uint64(i))
			if err != nil {
				return t, err
			}
			c, f, l := batchCost(s.Deployment, curve, geometric(float64(len(curve)-1), scheme.n, scheme.growth))
			loads, cost = append(loads, float64(len(curve)-1)), append(cost, c)
			first, last = append(first, f), append(last, l)
		}
		t.Add(scheme.name, report.Summarize(loads), report.Summarize(cost), report.Summarize(first), report.Summarize(last))
	}
	return t, nil
}

// gainCurve returns, for each k, the skew after the first k loads of the plan for the popularity after a mix shift.
func gainCurve(d Deployment, seed uint64) ([]float64, error) {
	t := NewTrace(d, ScenarioShift, seed, 2*time.Hour)
	s, err := newSimulation(d, t, static{})
	if err != nil {
		return nil, err
	}
	pop := make([]float64, d.Shape.Cells())
	for _, w := range t.Windows[len(t.Windows)*3/4:] {
		for c, n := range w.Steps[0] {
			pop[c] += n
		}
	}
	normalizeLayers(d.Shape, pop)
	healthySpeeds := t.Windows[0].Speed
	var curve []float64
	for k := 0; ; k++ {
		options := d.Options
		options.MaxBytesPerMinute = (uint64(k)*d.ExpertBytes + 2) / 3
		plan, err := placement.Improve(d.group(), options, s.current, pop, healthySpeeds)
		if err != nil {
			return nil, fmt.Errorf("plan the first %d loads: %w", k, err)
		}
		if expert.Loads(plan.Moves) < k {
			return curve, nil
		}
		curve = append(curve, plan.After)
	}
}

// batchCost returns the skew above the final skew, integrated over the time in ms until the last batch is in force, and
// the times in ms at which the first and the last batch are in force. A batch is in force when its loads and its switch
// are complete. New shares of existing replicas take effect with the first batch.
func batchCost(d Deployment, curve, sizes []float64) (cost, first, last float64) {
	perLoad := 1e3 * float64(d.ExpertBytes) / float64(d.StoreRate)
	previous, loaded := 0.0, 0.0
	final := curve[len(curve)-1]
	skew := curve[0]
	for i, size := range sizes {
		loaded += size
		inForce := perLoad*loaded + float64(i+1)*float64(switchTime.Milliseconds())
		cost += (skew - final) * (inForce - previous)
		previous = inForce
		skew = curve[int(math.Round(loaded))]
		if i == 0 {
			first = inForce
		}
	}
	return cost, first, previous
}
