package rebalance

import (
	"math"
	"time"

	"github.com/cardamomyoke/cardamomyoke/internal/experts/placement"
	"github.com/cardamomyoke/cardamomyoke/internal/experts/placement/expert"
)

// Scenario names a kind of trace.
type Scenario string

// The scenarios that every policy runs through.
const (
	// ScenarioDawn has a sharp early peak of load, with another mix of topics during the peak.
	ScenarioDawn Scenario = "dawn-peak"
	// ScenarioSteady has the usual slow drift only.
	ScenarioSteady Scenario = "steady-day"
	// ScenarioShift adds a topic that is rare at first and heavy within minutes, halfway through.
	ScenarioShift Scenario = "mix-shift"
	// ScenarioStraggler slows one rank for half of the time.
	ScenarioStraggler Scenario = "straggler"
	// ScenarioNoise has a constant mix: whatever changes from window to window is noise.
	ScenarioNoise Scenario = "noise-only"
)

// Scenarios returns all scenarios in the order of the tables.
func Scenarios() []Scenario {
	return []Scenario{ScenarioDawn, ScenarioSteady, ScenarioShift, ScenarioStraggler, ScenarioNoise}
}

// Deployment is what a trace and a policy need to know of one installation.
type Deployment struct {
	Name  string
	Shape expert.Shape
	// SlotsPerRank is the number of experts, over all layers, that fit in the memory of one rank.
	SlotsPerRank int
	// MapSlotsPerRank is what a map that is packed from scratch may use; the rest is for staging.
	MapSlotsPerRank int
	// ExpertBytes is the size of one expert's weights.
	ExpertBytes uint64
	// StoreRate is what the weight store grants to the group, in bytes a second.
	StoreRate uint64
	// CopyRate is how fast a rank takes weights in while it computes, in bytes a second.
	CopyRate uint64
	// StepTime is the time of a step at full load and perfect balance.
	StepTime time.Duration
	// BatchPerRank is the number of expert assignments of a layer that one rank adds to a step at full load.
	BatchPerRank float64
	// RequestsPerRank is the number of independent requests that one rank serves in a window at full load.
	RequestsPerRank float64
	// Options are the operator's settings of the policy.
	Options placement.Options
	// load is the share of full load, 0 to 1, at an hour of the day.
	load func(hour float64) float64
	// swing is the amplitude of the topics' daily rise and fall, in logarithms of their weight.
	swing float64
}

// Window is the length of one measurement window.
const Window = time.Minute

// Deployments returns the two installations. They have groups of one size; Arriaga's load peaks sharply before dawn,
// Sjóðastofa's is spread over the office hours.
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
		load:            func(h float64) float64 { return 0.25 + 0.2*bump(h, 13, 4) + 0.75*bump(h, 5, 1) },
		swing:           0.35,
		Options: placement.Options{
			MoveWeight: 10, Horizon: 30 * time.Minute, Hysteresis: 0.02, MaxBytesPerMinute: 8e9,
		},
	}
	sjodastofa := arriaga
	sjodastofa.Name = "sjodastofa"
	sjodastofa.load = func(h float64) float64 { return 0.3 + 0.4*bump(h, 12, 3.5) }
	sjodastofa.swing = 0.2
	sjodastofa.Options = placement.Options{
		MoveWeight: 200, Horizon: 4 * time.Hour, Hysteresis: 0.04, MaxBytesPerMinute: 2e9,
	}
	return []Deployment{arriaga, sjodastofa}
}

// bump is a bell of height 1 around the hour mid, on the clock's circle.
func bump(hour, mid, width float64) float64 {
	d := math.Abs(hour - mid)
	d = math.Min(d, 24-d)
	return math.Exp(-d * d / (2 * width * width))
}
