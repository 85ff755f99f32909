package report

import (
	"fmt"
	"slices"

	"gonum.org/v1/gonum/stat"
)

// Summary holds the mean, spread and range of a figure, usually over seeds.
type Summary struct {
	N    int
	Mean float64
	// Spread is the sample standard deviation, or 0 for fewer than two values.
	Spread   float64
	Min, Max float64
}

// Summarize returns the summary of values, or the zero Summary if there are none.
func Summarize(values []float64) Summary {
	if len(values) == 0 {
		return Summary{}
	}
	s := Summary{N: len(values), Min: slices.Min(values), Max: slices.Max(values)}
	if len(values) == 1 {
		s.Mean = values[0]
		return s
	}
	s.Mean, s.Spread = stat.MeanStdDev(values, nil)
	return s
}

// String formats the summary as mean ± spread.
func (s Summary) String() string { return fmt.Sprintf("%.4g ± %.2g", s.Mean, s.Spread) }

// Quantile returns the smallest value v such that at least a share q (0 to 1) of values is at most v. It returns 0 if
// there are no values.
func Quantile(q float64, values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(values))
	return stat.Quantile(q, stat.Empirical, sorted, nil)
}
