package placement

import (
	"time"

	"github.com/cardamomyoke/cardamomyoke/internal/experts/placement/expert"
	cardamomyokev1 "github.com/cardamomyoke/cardamomyoke/internal/gen/cardamomyoke/v1"
)

// gigabyte is the number of bytes that Options.MoveWeight refers to.
const gigabyte = 1e9

// Group describes the hardware and the model of a group.
type Group struct {
	Shape expert.Shape
	// Slots is the number of experts, over all layers, that fit in one rank's memory, including those being loaded.
	Slots int
	// ExpertBytes is the size of one expert's weights.
	ExpertBytes uint64
	// StoreRate is the rate that the weight store grants to the group, in bytes per second.
	StoreRate uint64
}

// Options are the operator's settings for one group.
type Options struct {
	// Paused keeps the current map in all cases.
	Paused bool
	// MoveWeight is the skew, summed over the seconds of Horizon, that loading one gigabyte must save.
	MoveWeight float64
	// Horizon is the time within which a move must pay back.
	Horizon time.Duration
	// Hysteresis is the minimum skew that a new map must save.
	Hysteresis float64
	// MaxBytesPerMinute limits the bytes loaded in any minute; 0 allows no load.
	MaxBytesPerMinute uint64
}

// FromConfig returns the options set in the configuration.
func FromConfig(r *cardamomyokev1.Rebalancing) Options {
	return Options{
		Paused:            r.GetPaused(),
		MoveWeight:        r.GetMoveWeight(),
		Horizon:           time.Duration(r.GetHorizonS()) * time.Second,
		Hysteresis:        r.GetHysteresis(),
		MaxBytesPerMinute: r.GetMaxBytesPerMinute(),
	}
}
