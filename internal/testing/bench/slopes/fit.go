package slopes

import (
	"fmt"
	"math"

	"gonum.org/v1/gonum/stat"
)

// Kind is the reproducibility class of a figure. It sets the tolerance of Check.
type Kind string

// The kinds of figures.
const (
	// Exact figures are sizes and counts that do not depend on the machine.
	Exact Kind = "exact"
	// Counted figures are heap sizes, and counts that vary slightly between runs.
	Counted Kind = "counted"
	// Paced figures are counts over some seconds of real time. A busy machine skips heartbeats, and the busiest node
	// differs between runs.
	Paced Kind = "paced"
	// Timed figures are processor times.
	Timed Kind = "timed"
	// Waited figures are wall-clock times of many goroutines that wait for each other. A busy machine took seven times as
	// long as an idle one, so Check finds only changes of an order of magnitude.
	Waited Kind = "waited"
)

// tolerance returns the factor by which two runs may differ.
func (k Kind) tolerance() float64 {
	switch k {
	case Exact:
		return 1.02
	case Counted:
		return 1.25
	case Paced:
		return 2
	case Waited:
		return 20
	}
	return 4
}

// Fit is a straight line through measured values.
type Fit struct {
	Intercept float64 `json:"intercept"`
	Slope     float64 `json:"slope"`
	// Residual is the largest distance of a value from the line, relative to the largest value.
	Residual float64 `json:"residual"`
}

// fitLine fits a line through the points by least squares.
func fitLine(x, y []float64) Fit {
	f := Fit{}
	f.Intercept, f.Slope = stat.LinearRegression(x, y, nil, false)
	largest := 0.0
	for i := range x {
		largest = max(largest, math.Abs(y[i]))
		f.Residual = max(f.Residual, math.Abs(y[i]-f.at(x[i])))
	}
	if largest > 0 {
		f.Residual /= largest
	}
	return f
}

func (f Fit) at(x float64) float64 { return f.Intercept + f.Slope*x }

// Series is one figure at several sizes of its driver.
type Series struct {
	Name   string    `json:"name"`
	Role   string    `json:"role"`
	Unit   string    `json:"unit"`
	Driver string    `json:"driver"`
	Kind   Kind      `json:"kind"`
	Sizes  []float64 `json:"sizes"`
	Values []float64 `json:"values"`
	Fit    Fit       `json:"fit"`
	// Target is the driver's size that the product has to support. AtTarget is the value measured at that size, or the
	// value of the fitted line if that size was not measured.
	Target   float64 `json:"target"`
	AtTarget float64 `json:"at_target"`
	// Measured is set if AtTarget is a measured value and not one of the fitted line.
	Measured bool `json:"measured"`
}

func (s *Series) setFit() {
	s.Fit = fitLine(s.Sizes, s.Values)
	s.AtTarget = s.Fit.at(s.Target)
	for i, size := range s.Sizes {
		if size == s.Target {
			s.AtTarget = s.Values[i]
			s.Measured = true
		}
	}
}

// DifferenceError reports that a value differs from the committed one by more than the tolerance.
type DifferenceError struct {
	Series string
	Size   float64
	// Want is the committed value and Got that of the run; they may differ by Factor.
	Want, Got, Factor float64
}

// Error implements error.
func (e *DifferenceError) Error() string {
	return fmt.Sprintf("%s at %.6g: got %.4g, committed %.4g, allowed factor %.2f", e.Series, e.Size, e.Got, e.Want, e.Factor)
}

// MissingError reports that a series is missing from one of the two runs, or that its number of sizes differs.
type MissingError struct{ Series string }

// Error implements error.
func (e *MissingError) Error() string {
	return e.Series + ": missing in one run, or a different number of sizes"
}

// Check compares a run with the committed one. It returns a *DifferenceError for each value that is not reproduced and
// a *MissingError for each series that is not in both runs with the same number of sizes.
func Check(committed, run []Series) []error {
	var errs []error
	byName := map[string]Series{}
	for _, s := range run {
		byName[s.Name] = s
	}
	for _, want := range committed {
		got, ok := byName[want.Name]
		if !ok || len(got.Values) != len(want.Values) {
			errs = append(errs, &MissingError{want.Name})
			continue
		}
		errs = append(errs, compare(want, got)...)
		delete(byName, want.Name)
	}
	for name := range byName {
		errs = append(errs, &MissingError{name})
	}
	return errs
}

func compare(want, got Series) []error {
	var errs []error
	factor := want.Kind.tolerance()
	for i, size := range want.Sizes {
		if got.Sizes[i] != size || !within(want.Values[i], got.Values[i], factor) {
			errs = append(errs, &DifferenceError{want.Name, size, want.Values[i], got.Values[i], factor})
		}
	}
	return errs
}

func within(a, b, factor float64) bool {
	if a == b {
		return true
	}
	if a <= 0 || b <= 0 {
		return false
	}
	return max(a, b)/min(a, b) <= factor
}
