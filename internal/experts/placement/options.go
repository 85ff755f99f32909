package placement

import (
	"time"

	"github.com/cardamomyoke/cardamomyoke/internal/experts/placement/expert"
	cardamomyokev1 "github.com/cardamomyoke/cardamomyoke/internal/gen/cardamomyoke/v1"
)

// gigabyte is the unit of movement that Options.MoveWeight prices.
const gigabyte = 1e9

// Group describes the hardware and the model of a group.
type Group struct {
	Shape expert.Shape
	// Slots is the number of experts, over all layers, that fit in one rank's memory, with those being loaded.
	Slots int
	// ExpertBytes is the size of one expert's weights.
	ExpertBytes uint64
	// StoreRate is what the weight store grants to the group, in bytes a second.
	StoreRate uint64
}

// Options are the operator's settings of one group.
type Options struct {
	// Paused keeps the present map whatever happens.
	Paused bool
	// MoveWeight is the skew, summed over the seconds of Horizon, that loading one gigabyte must save.
	MoveWeight float64
	// Horizon is the time in which a move must pay back.
	Horizon time.Duration
	// Hysteresis is the skew that a new map must save before anything moves.
	Hysteresis float64
	// MaxBytesPerMinute limits what is loaded in any minute; 0 allows no load.
	MaxBytesPerMinute uint64
}

// FromConfig returns the options that the configuration asks for.
func FromConfig(r *cardamomyokev1.Rebalancing) Options {
	return Options{
		Paused:            r.GetPaused(),
		MoveWeight:        r.GetMoveWeight(),
		Horizon:           time.Duration(r.GetHorizonS()) * time.Second,
		Hysteresis:        r.GetHysteresis(),
		MaxBytesPerMinute: r.GetMaxBytesPerMinute(),
	}
}
