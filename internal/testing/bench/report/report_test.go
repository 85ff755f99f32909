package report_test

import (
	"math"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/cardamomyoke/cardamomyoke/internal/testing/bench/report"
)

func TestTable(t *testing.T) {
	table := report.Table{Title: "T", Columns: []string{"policy", "skew"}}
	table.Add("static", 1.23456)
	table.Add("ours", report.Summarize([]float64{1, 2, 3}))
	var text, md strings.Builder
	if err := table.Text(&text); err != nil {
		t.Fatal(err)
	}
	if err := table.Markdown(&md); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff("T\npolicy  skew\nstatic  1.235\nours    2 ± 1\n", text.String()); diff != "" {
		t.Error(diff)
	}
	want := "T\n\n| policy | skew |\n|---|---|\n| static | 1.235 |\n| ours | 2 ± 1 |\n"
	if diff := cmp.Diff(want, md.String()); diff != "" {
		t.Error(diff)
	}
}

func TestSummaryAndQuantile(t *testing.T) {
	want := report.Summary{N: 2, Mean: 2, Spread: math.Sqrt2, Min: 1, Max: 3}
	if diff := cmp.Diff(want, report.Summarize([]float64{3, 1})); diff != "" {
		t.Error(diff)
	}
	if diff := cmp.Diff(report.Summary{N: 1, Mean: 4, Min: 4, Max: 4}, report.Summarize([]float64{4})); diff != "" {
		t.Error(diff)
	}
	if got := report.Quantile(0.99, []float64{5, 1, 2, 3}); got != 5 {
		t.Errorf("p99 = %v", got)
	}
	if got := report.Quantile(0.5, nil); got != 0 {
		t.Errorf("p50 of no values = %v", got)
	}
}

func TestCriteria(t *testing.T) {
	tests := []struct {
		criterion report.Criterion
		ok        bool
	}{
		{report.Criterion{Text: "a", Reached: 1.1, Bound: report.AtMost, Limit: 1.1}, true},
		{report.Criterion{Text: "b", Reached: 1.2, Bound: report.AtMost, Limit: 1.1}, false},
		{report.Criterion{Text: "c", Reached: 1.2, Bound: report.AtLeast, Limit: 1.1}, true},
		{report.Criterion{Text: "d", Reached: math.NaN(), Bound: report.AtMost, Limit: 1}, false},
	}
	for _, tc := range tests {
		var out strings.Builder
		all, err := report.WriteCriteria(&out, []report.Criterion{tc.criterion})
		if err != nil || all != tc.ok || strings.HasPrefix(out.String(), "ok") != tc.ok {
			t.Errorf("%v: all %v, err %v", tc.criterion, all, err)
		}
	}
}

func TestPlotsAreSVGWithLegend(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "new")
	labels := report.Labels{Title: "skew over time", X: "hour", Y: "skew"}
	line := filepath.Join(dir, "line.svg")
	if err := report.LinePlot(line, labels, report.Series{Name: "ours", X: []float64{0, 1}, Y: []float64{1, 2}}); err != nil {
		t.Fatal(err)
	}
	bar := filepath.Join(dir, "bar.svg")
	if err := report.BarPlot(bar, labels, []string{"dawn", "steady"}, report.Bars{Name: "ours", Values: []float64{1, 2}}); err != nil {
		t.Fatal(err)
	}
	for _, file := range []string{line, bar} {
		text, err := os.ReadFile(file)
		if err != nil || !strings.Contains(string(text), "<svg") || !strings.Contains(string(text), "ours") {
			t.Errorf("%s is not an SVG plot with a legend (%v)", file, err)
		}
	}
}
