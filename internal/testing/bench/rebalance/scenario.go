package rebalance

import (
	"math"
	"time"

	"github.com/cardamomyoke/cardamomyoke/internal/experts/placement"
	"github.com/cardamomyoke/cardamomyoke/internal/experts/placement/expert"
)

// Scenario names a kind of trace.
type Scenario string

// Scenarios of the traces.
const (
	// ScenarioDawn has a sharp early-morning peak of load with a different mix of topics.
	ScenarioDawn Scenario = "dawn-peak"
	// ScenarioSteady has only the baseline drift and daily variation.
	ScenarioSteady Scenario = "steady-day"
	// ScenarioShift turns a rare topic into a heavy one within minutes, halfway through the trace.
	ScenarioShift Scenario = "mix-shift"
	// ScenarioStraggler slows one rank for half of the trace.
	ScenarioStraggler Scenario = "straggler"
	// ScenarioNoise has constant load and a constant mix: all changes between windows are sampling noise.
	ScenarioNoise Scenario = "noise-only"
)

// Scenarios returns all scenarios in the row order of the tables.
func Scenarios() []Scenario {
	return []Scenario{ScenarioDawn, ScenarioSteady, ScenarioShift, ScenarioStraggler, ScenarioNoise}
}

// Deployment describes one installation for the traces and the policies.
type Deployment struct {
	Name  string
	Shape expert.Shape
	// SlotsPerRank is the number of experts, over all layers, that fit in the memory of one rank.
	SlotsPerRank int
	// MapSlotsPerRank is the number of those slots that a map packed from scratch may use; the rest is for staging.
	MapSlotsPerRank int
	// ExpertBytes is the size of one expert's weights.
	ExpertBytes uint64
	// StoreRate is the rate at which the weight store serves the group, in bytes per second.
	StoreRate uint64
	// CopyRate is the rate at which a rank copies weights into its memory while it computes, in bytes per second.
	CopyRate uint64
	// StepTime is the time of a step at full load and perfect balance.
	StepTime time.Duration
	// BatchPerRank is the number of expert assignments of a layer that one rank adds to a step at full load.
	BatchPerRank float64
	// RequestsPerRank is the number of independent requests that one rank serves in a window at full load.
	RequestsPerRank float64
	// Options are the operator's settings of the policy.
	Options placement.Options
	// load returns the load at an hour of the day, as a share of full load from 0 to 1.
	load func(hour float64) float64
	// dailySwing is the amplitude of the daily variation of a topic's logarithmic weight.
	dailySwing float64
}

// Window is the length of one measurement window.
const Window = time.Minute

// Deployments returns the two installations. Their groups have the same size. Arriaga's load peaks sharply before dawn;
// Sjóðastofa's is spread over office hours.
func Deployments() []Deployment {
	arriaga := Deployment{
		Name:            "arriaga",
		Shape:           expert.Shape{Ranks: 16, Experts: 64, Layers: 12},
		SlotsPerRank:    64,
		MapSlotsPerRank: 60,
		ExpertBytes:     40 << 20,
		StoreRate:       500e6,
		CopyRate:        8e9,
		StepTime:        6 * time.Millisecond,
		BatchPerRank:    4096,
		RequestsPerRank: 60,
		load:            func(h float64) float64 { return 0.25 + 0.2*dailyPeak(h, 13, 4) + 0.75*dailyPeak(h, 5, 1) },
		dailySwing:      0.35,
		Options: placement.Options{
			MoveWeight: 10, Horizon: 30 * time.Minute, Hysteresis: 0.02, MaxBytesPerMinute: 8e9,
		},
	}
	sjodastofa := arriaga
	sjodastofa.Name = "sjodastofa"
	sjodastofa.load = func(h float64) float64 { return 0.3 + 0.4*dailyPeak(h, 12, 3.5) }
	sjodastofa.dailySwing = 0.2
	sjodastofa.Options = placement.Options{
		MoveWeight: 200, Horizon: 4 * time.Hour, Hysteresis: 0.04, MaxBytesPerMinute: 2e9,
	}
	return []Deployment{arriaga, sjodastofa}
}

// dailyPeak returns the value at hour of a bell curve with height 1 at mid; hours wrap around at 24.
func dailyPeak(hour, mid, width float64) float64 {
	d := math.Abs(hour - mid)
	d = math.Min(d, 24-d)
	return math.Exp(-d * d / (2 * width * width))
}
