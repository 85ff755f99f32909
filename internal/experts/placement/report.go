package placement

import (
	"fmt"
	"time"
)

// Report is one rank's report of one window. Missing and duplicate reports are tolerated; a late one counts as long
// as its window is open.
type Report struct {
	Rank   int
	Window uint64
	// Tokens is the number of tokens that the rank sent to each cell (see expert.Shape.Cell) in the window; nil in a
	// report without counts, since ranks may take turns in reporting them.
	Tokens []uint32
	// Processed is the number of tokens that the rank's own experts processed in the window, and Busy the time they
	// took.
	Processed uint64
	Busy      time.Duration
	// Step is the last step that the rank completed.
	Step uint64
	// Waiting is set while the rank waits for others at the barrier of the next step. During that time a report is
	// due at least every third of StallAfter, also between windows; such a report may omit the window's tokens.
	Waiting bool
}

// ReportError reports that a rank's report does not fit the group.
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
