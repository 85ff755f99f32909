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
	// requestTime is how long the weight store takes to answer a request for a piece before bytes come.
	requestTime = 2 * time.Millisecond
	// loadingRanks is the number of ranks that share the store while weights are loaded.
	loadingRanks = 4
	// pieceCount is the number of pieces of each partition, so that only their sizes differ.
	pieceCount = 16
	// pieceGrowth is the ratio of neighbouring pieces of a geometric partition.
	pieceGrowth = 1.3
	// switchTime is what each further switch of the map costs before it is in force: the steps it has to lead by.
	switchTime = 50 * time.Millisecond
	// slackTries is the number of ranks and windows whose slack one seed draws.
	slackTries = 200
)

// geometric cuts total into n parts, each growth times the one before; 1 makes them equal.
func geometric(total float64, n int, growth float64) []float64 {
	sum := 0.0
	for i := range n {
		sum += math.Pow(growth, float64(i))
	}
	parts := make([]float64, n)
	for i := range parts {
		parts[i] = total / sum * math.Pow(growth, float64(i))
	}
	return parts
}

// pieceRun is what became of one expert's loading.
type pieceRun struct {
	// ready is when the expert is whole; waited counts steps that copying made longer, and lost is by how much.
	ready, waited, lost float64
}

// loadPieces fetches pieces one after another and copies each, once it is there, whole at the start of a step. While a
// piece is copied the next one is fetched.
func loadPieces(d Deployment, pieces []float64, slack func() time.Duration) pieceRun {
	rate := float64(d.StoreRate) / loadingRanks
	var run pieceRun
	fetched, copied := 0.0, 0.0
	for _, p := range pieces {
		fetched += requestTime.Seconds() + p/rate
		at := math.Ceil(max(fetched, copied)/d.StepTime.Seconds()) * d.StepTime.Seconds()
		copying := p / float64(d.CopyRate)
		copied = at + copying
		if over := copying - slack().Seconds(); over > 0 {
			run.waited++
			run.lost += over
		}
	}
	run.ready = copied
	return run
}

// loadBySlack copies in each step what half of its slack takes, as package staging does, from one stream of the store.
func loadBySlack(d Deployment, slack func() time.Duration) pieceRun {
	rate := float64(d.StoreRate) / loadingRanks
	var run pieceRun
	now, copied := requestTime.Seconds(), 0.0
	forecast := slack()
	for copied < float64(d.ExpertBytes) && now < placement.PlanTimeout.Seconds() {
		now += d.StepTime.Seconds()
		real := slack()
		there := min(float64(d.ExpertBytes), rate*(now-requestTime.Seconds()))
		n := min(there-copied, max(0, forecast.Seconds()/2*float64(d.CopyRate)))
		copied += n
		if over := n/float64(d.CopyRate) - real.Seconds(); over > 0 {
			run.waited++
			run.lost += over
		}
		forecast = real
	}
	run.ready = now
	return run
}

// slackDraws returns the slack of one rank in steps of a steady day on the first map.
func slackDraws(d Deployment, seed uint64) (func(rng *rand.Rand) func() time.Duration, error) {
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

// partition is one way to load an expert.
type partition struct {
	name string
	load func(d Deployment, slack func() time.Duration) pieceRun
}

func partitions() []partition {
	inPieces := func(n int, growth float64) func(Deployment, func() time.Duration) pieceRun {
		return func(d Deployment, slack func() time.Duration) pieceRun {
			return loadPieces(d, geometric(float64(d.ExpertBytes), n, growth), slack)
		}
	}
	return []partition{
		{"whole", inPieces(1, 1)},
		{"equal", inPieces(pieceCount, 1)},
		{"geometric, growing", inPieces(pieceCount, pieceGrowth)},
		{"geometric, shrinking", inPieces(pieceCount, 1/pieceGrowth)},
		{"by slack", loadBySlack},
	}
}

// PiecesTable compares ways to cut one expert's weights into pieces; mean and spread over seeds.
func PiecesTable(s Settings) (report.Table, error) {
	t := report.Table{
		Title:   fmt.Sprintf("pieces of one expert's weights, %s, %d pieces, growth %.1f", s.Deployment.Name, pieceCount, pieceGrowth),
		Columns: []string{"pieces", "ready after ms", "steps that waited", "ms waited"},
	}
	for _, p := range partitions() {
		var ready, waited, lost []float64
		for i := range s.Seeds {
			draws, err := slackDraws(s.Deployment, s.Seed+uint64(i))
			if err != nil {
				return t, err
			}
			rng := rand.New(rand.NewPCG(s.Seed+uint64(i), 0))
			var sum pieceRun
			for range slackTries {
				run := p.load(s.Deployment, draws(rng))
				sum.ready += run.ready / slackTries
				sum.waited += run.waited / slackTries
				sum.lost += run.lost / slackTries
			}
			ready, waited, lost = append(ready, 1e3*sum.ready), append(waited, sum.waited), append(lost, 1e3*sum.lost)
		}
		t.Add(p.name, report.Summarize(ready), report.Summarize(waited), report.Summarize(lost))
	}
	return t, nil
}

// BatchTable compares ways to spread one plan's loads over several switches of the map. What counts is the skew that is
// still suffered until the last one, in thousandths of a second of a balanced step.
func BatchTable(s Settings) (report.Table, error) {
	t := report.Table{
		Title:   "switches of one plan after a shift of the mix, " + s.Deployment.Name,
		Columns: []string{"batches", "loads", "skew·ms until all in force", "ms until the first", "ms until all"},
	}
	ways := []struct {
		name   string
		n      int
		growth float64
	}{{"one", 1, 1}, {"2 equal", 2, 1}, {"2 growing", 2, 2}, {"4 equal", 4, 1}, {"4 growing", 4, 2}, {"4 shrinking", 4, 0.5}}
	for _, way := range ways {
		var loads, cost, first, last []float64
		for i := range s.Seeds {
			curve, err := gainCurve(s.Deployment, s.Seed+uint64(i))
			if err != nil {
				return t, err
			}
			c, f, l := batchCost(s.Deployment, curve, geometric(float64(len(curve)-1), way.n, way.growth))
			loads, cost = append(loads, float64(len(curve)-1)), append(cost, c)
			first, last = append(first, f), append(last, l)
		}
		t.Add(way.name, report.Summarize(loads), report.Summarize(cost), report.Summarize(first), report.Summarize(last))
	}
	return t, nil
}

// gainCurve returns the skew after the first k loads of the plan that answers the mix shift, for each k.
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
	even := t.Windows[0].Speed
	var curve []float64
	for k := 0; ; k++ {
		o := d.Options
		o.MaxBytesPerMinute = (uint64(k)*d.ExpertBytes + 2) / 3
		better, err := placement.Improve(d.group(), o, s.current, pop, even)
		if err != nil {
			return nil, fmt.Errorf("first %d loads: %w", k, err)
		}
		if expert.Loads(better.Moves) < k {
			return curve, nil
		}
		curve = append(curve, better.After)
	}
}

// batchCost returns the skew suffered until the last batch is in force, over the final skew, and when the first and the
// last one are, in ms. A batch is in force once its loads are there and its switch is done; shares of existing replicas
// go with the first.
func batchCost(d Deployment, curve, sizes []float64) (cost, first, last float64) {
	perLoad := 1e3 * float64(d.ExpertBytes) / float64(d.StoreRate)
	done, loaded := 0.0, 0.0
	final := curve[len(curve)-1]
	now := curve[0]
	for i, size := range sizes {
		loaded += size
		at := perLoad*loaded + float64(i+1)*float64(switchTime.Milliseconds())
		cost += (now - final) * (at - done)
		done = at
		now = curve[int(math.Round(loaded))]
		if i == 0 {
			first = at
		}
	}
	return cost, first, done
}
