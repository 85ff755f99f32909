package expertmap

import (
	"fmt"

	"github.com/cardamomyoke/cardamomyoke/internal/base/charts"
)

// FailedError says that a switch was not made, or not seen to be made.
type FailedError struct {
	To     MapID
	Reason Reason
	Rank   Rank
	// Current is the map that the ranks run, as far as they said so.
	Current MapID
}

// Error implements error.
func (e *FailedError) Error() string {
	return fmt.Sprintf("switch to map %s: %s (rank %d; the group runs map %s)", e.To, e.Reason, e.Rank, e.Current)
}

// StepPassedError says that an engine has started a step that its group runs under another map. The protocol rules this
// out; it means that an engine did not keep to its limit.
type StepPassedError struct {
	Rank  Rank
	Next  Step
	Start Step
	Map   MapID
}

// Error implements error.
func (e *StepPassedError) Error() string {
	return fmt.Sprintf("rank %d has started steps up to %d, but the group runs map %s from step %d on", e.Rank, e.Next, e.Map, e.Start)
}

// BusyError says that a proposer is already at work.
type BusyError struct{ To MapID }

// Error implements error.
func (e *BusyError) Error() string { return fmt.Sprintf("the switch to map %s is under way", e.To) }

// ActionError says that a chart names an action that the code does not know.
type ActionError struct{ Action charts.Action }

// Error implements error.
func (e *ActionError) Error() string { return fmt.Sprintf("unknown action %q", e.Action) }
