package expertmap

import (
	"fmt"
	"math"

	"github.com/cardamomyoke/cardamomyoke/internal/base/charts"
)

// FailedError reports that a switch was not made, or that the proposer could not confirm it.
type FailedError struct {
	To     MapID
	Reason Reason
	// Rank is the rank that caused the failure, or NoRank.
	Rank Rank
	// Current is the map that the ranks run, as far as they have reported it.
	Current MapID
}

// NoRank stands for the absence of a rank.
const NoRank Rank = math.MaxUint32

// Error implements error.
func (e *FailedError) Error() string {
	if e.Rank == NoRank {
		return fmt.Sprintf("switch to map %s: %s (the group runs map %s)", e.To, e.Reason, e.Current)
	}
	return fmt.Sprintf("switch to map %s: %s (rank %d; the group runs map %s)", e.To, e.Reason, e.Rank, e.Current)
}

// StepPassedError reports that an engine has started a step that its group runs under another map. The protocol
// excludes this, so the engine has run past its limit.
type StepPassedError struct {
	Rank  Rank
	Next  Step
	Start Step
	Map   MapID
}

// Error implements error.
func (e *StepPassedError) Error() string {
	return fmt.Sprintf("rank %d has started all steps before %d, but the group runs map %s from step %d on", e.Rank, e.Next, e.Map, e.Start)
}

// BusyError reports that a switch is already in progress.
type BusyError struct{ To MapID }

// Error implements error.
func (e *BusyError) Error() string {
	return fmt.Sprintf("switch to map %s is already in progress", e.To)
}

// ActionError reports that a chart names an action that the code does not implement.
type ActionError struct{ Action charts.Action }

// Error implements error.
func (e *ActionError) Error() string { return fmt.Sprintf("unknown action %q", e.Action) }
