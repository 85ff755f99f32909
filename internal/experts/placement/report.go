package placement

import (
	"fmt"
	"time"
)

// Report is what one rank tells of one window. A missing report and a doubled one do no harm; one that is late counts
// as long as its window is open.
type Report struct {
	Rank   int
	Window uint64
	// Tokens counts what the rank sent to each cell (see expert.Shape.Cell) in the window; nil if it was not its turn.
	Tokens []uint32
	// Processed is the number of tokens that the rank's own experts took in the window, and Busy the time they took.
	Processed uint64
	Busy      time.Duration
	// Step is the last step that the rank completed.
	Step uint64
	// Waiting says that the rank stands at the barrier of the next step and waits for others. While it does, a report is
	// due at least every third of StallAfter, also between windows; the window's tokens may be left out of it.
	Waiting bool
}

// ReportError says that a report does not fit the group.
type ReportError struct {
	Rank   int
	Reason string
}

// Error implements error.
func (e *ReportError) Error() string { return fmt.Sprintf("report of rank %d: %s", e.Rank, e.Reason) }

func (g Group) checkReport(r Report) error {
	if r.Rank < 0 || r.Rank >= g.Shape.Ranks {
		return &ReportError{r.Rank, "no such rank"}
	}
	if r.Tokens != nil && len(r.Tokens) != g.Shape.Cells() {
		return &ReportError{r.Rank, fmt.Sprintf("%d token counts, want %d", len(r.Tokens), g.Shape.Cells())}
	}
	return nil
}
