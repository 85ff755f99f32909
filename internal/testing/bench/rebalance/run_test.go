package rebalance

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"gonum.org/v1/gonum/floats"

	"github.com/cardamomyoke/cardamomyoke/internal/testing/bench/report"
)

func runOn(t *testing.T, d Deployment, sc Scenario, name string) Result {
	t.Helper()
	res, err := Run(d, NewTrace(d, sc, 7, 2*time.Hour), name)
	if err != nil {
		t.Fatal(err)
	}
	return res
}

func TestStrategiesMoveWeightsAsExpected(t *testing.T) {
	d := Deployments()[0]
	static, repack := runOn(t, d, ScenarioShift, NameStatic), runOn(t, d, ScenarioShift, NameRepack)
	policy := runOn(t, d, ScenarioShift, NamePolicy)
	if static.Bytes != 0 || static.Switches != 0 {
		t.Errorf("static moved %d bytes in %d switches", static.Bytes, static.Switches)
	}
	if policy.Loads == 0 || 20*policy.Bytes > repack.Bytes {
		t.Errorf("policy moved %d bytes, full re-pack %d", policy.Bytes, repack.Bytes)
	}
	if policy.figures().mean >= static.figures().mean {
		t.Errorf("policy has mean skew %.3f, static %.3f", policy.figures().mean, static.figures().mean)
	}
	if diff := cmp.Diff(policy, runOn(t, d, ScenarioShift, NamePolicy)); diff != "" {
		t.Errorf("equal traces give different results: %s", diff)
	}
}

func TestPolicyKeepsMapOnNoise(t *testing.T) {
	for _, d := range Deployments() {
		if res := runOn(t, d, ScenarioNoise, NamePolicy); res.Switches != 0 {
			t.Errorf("%s: %d new maps", d.Name, res.Switches)
		}
		if res := runOn(t, d, ScenarioNoise, NameGreedy); res.Switches == 0 {
			t.Errorf("%s: greedy keeps its map too: the trace has too little noise", d.Name)
		}
	}
}

// Guards against a plan that blocks new ones for long: a rank that has to load weights slows down, has no slack left as
// the slowest rank, and can never finish. Steps stay slow until the plan is aborted and a new one accounts for the slow
// rank. With seed 1 this happened in window 395, and the old map stayed in force for an hour.
func TestPlanIsAbortedWhenLoadingRankSlowsDown(t *testing.T) {
	d := Deployments()[0]
	s, err := newSimulation(d, NewTrace(d, ScenarioStraggler, 1, 24*time.Hour), newStrategy(NamePolicy, d))
	if err != nil {
		t.Fatal(err)
	}
	const onset, recovered = 395, 415
	for w := range recovered {
		if err := s.window(w); err != nil {
			t.Fatal(err)
		}
	}
	if speeds := s.trace.Windows[onset].Speed; floats.Min(speeds) == 1 {
		t.Fatal("no rank is slow in the trace")
	}
	if got := s.result.Skew[len(s.result.Skew)-1]; got > 1.15 {
		t.Errorf("skew %.2f after %d windows with a slow rank", got, recovered-onset)
	}
}

// resultsWithPolicy returns results in which all strategies except the policy are the same.
func resultsWithPolicy(policy Result) Results {
	r := Results{}
	for _, sc := range Scenarios() {
		r[sc] = map[string][]Result{}
		for _, name := range strategies {
			r[sc][name] = []Result{{Skew: []float64{1.2, 1.2}, Bytes: 1e12}}
		}
		r[sc][NamePolicy] = []Result{policy}
	}
	return r
}

func TestCriteriaFailBeyondTheirLimits(t *testing.T) {
	tests := map[string]struct {
		deployment int
		policy     Result
		missed     int
	}{
		"arriaga meets all criteria":       {0, Result{Skew: []float64{1.3, 1.3}, Bytes: 2e11}, 0},
		"arriaga skew too high":            {0, Result{Skew: []float64{1.34, 1.34}, Bytes: 2e11}, 2},
		"arriaga moves too many bytes":     {0, Result{Skew: []float64{1.3, 1.3}, Bytes: 3e11}, 1},
		"arriaga makes a new map on noise": {0, Result{Skew: []float64{1.3, 1.3}, Switches: 1}, 1},
		"sjodastofa meets all criteria":    {1, Result{Skew: []float64{1.1, 1.0}, Bytes: 5e10}, 0},
		"sjodastofa skew too high":         {1, Result{Skew: []float64{1.2, 1.1}, Bytes: 5e10}, 1},
		"sjodastofa moves too many bytes":  {1, Result{Skew: []float64{1.1, 1.0}, Bytes: 6e10}, 1},
	}
	for name, tc := range tests {
		missed := 0
		for _, c := range resultsWithPolicy(tc.policy).Criteria(Deployments()[tc.deployment]) {
			if !c.OK() {
				missed++
			}
		}
		if missed != tc.missed {
			t.Errorf("%s: %d criteria missed, want %d", name, missed, tc.missed)
		}
	}
}

func TestGeometricPiecesAddUp(t *testing.T) {
	if diff := cmp.Diff([]float64{1, 2, 4}, geometric(7, 3, 2)); diff != "" {
		t.Error(diff)
	}
	if diff := cmp.Diff([]float64{2, 2, 2}, geometric(6, 3, 1)); diff != "" {
		t.Error(diff)
	}
}

func TestRunAllFillsTableAndPlots(t *testing.T) {
	s := Settings{Deployment: Deployments()[1], Seed: 1, Seeds: 1, Hours: 1, Workers: 2, Out: t.TempDir()}
	all, err := RunAll(s)
	if err != nil {
		t.Fatal(err)
	}
	table := all.Table(s.Deployment)
	if want := len(Scenarios()) * len(strategies); len(table.Rows) != want {
		t.Errorf("%d rows, want %d", len(table.Rows), want)
	}
	if err := all.Plots(s.Deployment, s.Out); err != nil {
		t.Fatal(err)
	}
	if bound := report.Summarize(all[ScenarioSteady][NameBound][0].Skew).Mean; bound < 1 || bound > 1.1 {
		t.Errorf("the bound is %.3f", bound)
	}
}
