package report

import (
	"fmt"
	"io"
)

// Bound tells which side of its limit a figure must be on.
type Bound string

// The bounds of a claim.
const (
	AtMost  Bound = "at most"
	AtLeast Bound = "at least"
)

// Claim is a figure with the limit that it has to meet.
type Claim struct {
	// Text says what is measured, with its unit.
	Text    string
	Reached float64
	Bound   Bound
	Limit   float64
}

// OK reports whether the figure meets its limit; NaN never does.
func (c Claim) OK() bool {
	if c.Bound == AtLeast {
		return c.Reached >= c.Limit
	}
	return c.Reached <= c.Limit
}

// String formats the claim on one line that begins with its verdict, ok or short.
func (c Claim) String() string {
	verdict := "short"
	if c.OK() {
		verdict = "ok"
	}
	return fmt.Sprintf("%-5s %s: %.4g, %s %.4g", verdict, c.Text, c.Reached, c.Bound, c.Limit)
}

// WriteClaims writes one line for each claim and reports whether all are met.
func WriteClaims(w io.Writer, claims []Claim) (bool, error) {
	all := true
	for _, c := range claims {
		all = all && c.OK()
		if _, err := fmt.Fprintln(w, c); err != nil {
			return all, fmt.Errorf("write claims: %w", err)
		}
	}
	return all, nil
}
