package report

import (
	"fmt"
	"io"
)

// Bound is the kind of a limit: upper or lower.
type Bound string

// Bounds of a criterion.
const (
	AtMost  Bound = "at most"
	AtLeast Bound = "at least"
)

// Criterion is a measured figure with the limit that it has to meet.
type Criterion struct {
	// Text describes the figure and its unit.
	Text string
	// Reached is the measured value.
	Reached float64
	Bound   Bound
	Limit   float64
}

// OK reports whether the figure meets its limit; NaN never does.
func (c Criterion) OK() bool {
	if c.Bound == AtLeast {
		return c.Reached >= c.Limit
	}
	return c.Reached <= c.Limit
}

// String formats the criterion on one line that begins with ok, or with short if the limit is missed.
func (c Criterion) String() string {
	verdict := "short"
	if c.OK() {
		verdict = "ok"
	}
	return fmt.Sprintf("%-5s %s: %.4g, %s %.4g", verdict, c.Text, c.Reached, c.Bound, c.Limit)
}

// WriteCriteria writes one line for each criterion and reports whether all are met.
func WriteCriteria(w io.Writer, criteria []Criterion) (bool, error) {
	all := true
	for _, c := range criteria {
		all = all && c.OK()
		if _, err := fmt.Fprintln(w, c); err != nil {
			return all, fmt.Errorf("write criteria: %w", err)
		}
	}
	return all, nil
}
