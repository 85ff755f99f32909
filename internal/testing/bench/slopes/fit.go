package slopes

import (
	"fmt"
	"math"

	"gonum.org/v1/gonum/stat"
)

// Kind tells how well a figure can be reproduced, and so how tightly Check compares it.
type Kind string

// The kinds of figures.
const (
	// Exact figures are sizes and counts that do not depend on the machine.
	Exact Kind = "exact"
	// Counted figures are counts that depend a little on how a run goes, or heap sizes.
	Counted Kind = "counted"
	// Paced figures are counts over some seconds of real time; a busy machine loses beats, and who is the busiest node
	// differs from run to run.
	Paced Kind = "paced"
	// Timed figures are processor times.
	Timed Kind = "timed"
	// Waited figures are times by the clock on the wall of many goroutines that wait for each other. On a busy machine one
	// took seven times as long as on a quiet one, so only a change of kind is found here.
	Waited Kind = "waited"
)

// tolerance returns by which factor two runs may differ.
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
	// Residual is the largest distance of a value from the line, as a part of the largest value.
	Residual float64 `json:"residual"`
}

// fitLine fits a line by least squares.
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

// Series is one figure over the sizes of its driver.
type Series struct {
	Name   string    `json:"name"`
	Role   string    `json:"role"`
	Unit   string    `json:"unit"`
	Driver string    `json:"driver"`
	Kind   Kind      `json:"kind"`
	Sizes  []float64 `json:"sizes"`
	Values []float64 `json:"values"`
	Fit    Fit       `json:"fit"`
	// Target is the driver at the size that the product is to carry; AtTarget is the value measured there, or that of
	// the line if no size reaches it.
	Target   float64 `json:"target"`
	AtTarget float64 `json:"at_target"`
	// Measured says that AtTarget is a measured value and not one of the line.
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

// DifferenceError says that a run does not reproduce the committed one.
type DifferenceError struct {
	Series string
	Size   float64
	// Want is the committed value, Got that of the run; Factor is by how much they may differ.
	Want, Got, Factor float64
}

// Error implements error.
func (e *DifferenceError) Error() string {
	return fmt.Sprintf("%s at %.6g: got %.4g, committed %.4g, allowed factor %.2f", e.Series, e.Size, e.Got, e.Want, e.Factor)
}

// MissingError says that a committed series or size was not measured, or the other way round.
type MissingError struct{ Series string }

// Error implements error.
func (e *MissingError) Error() string { return e.Series + ": not in both runs" }

// Check returns an error for each committed series that the run does not reproduce: *DifferenceError or *MissingError.
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
