package slopes

import (
	"math"
	"os"
	"strings"
	"testing"
)

func TestResidualIsZeroOnlyForALine(t *testing.T) {
	f := fitLine([]float64{1, 2, 4, 8}, []float64{5, 7, 11, 19})
	if math.Abs(f.Slope-2) > 1e-9 || math.Abs(f.Intercept-3) > 1e-9 || f.Residual > 1e-9 {
		t.Errorf("got %+v, want slope 2, intercept 3, residual 0", f)
	}
	if f := fitLine([]float64{1, 2, 3, 4}, []float64{1, 4, 9, 16}); f.Residual < 0.05 {
		t.Errorf("a parabola fits a line with residual %v", f.Residual)
	}
}

func TestCheckReportsDifferences(t *testing.T) {
	series := func(name string, k Kind, values ...float64) Series {
		return Series{Name: name, Kind: k, Sizes: []float64{1, 2}, Values: values}
	}
	committed := []Series{series("bytes", Exact, 100, 200), series("time", Timed, 10, 20)}
	tests := map[string]struct {
		run  []Series
		want int
	}{
		"same run":                    {committed, 0},
		"count grew":                  {[]Series{series("bytes", Exact, 100, 210), series("time", Timed, 10, 20)}, 1},
		"machine is slower":           {[]Series{series("bytes", Exact, 100, 200), series("time", Timed, 25, 50)}, 0},
		"time grew beyond the factor": {[]Series{series("bytes", Exact, 100, 200), series("time", Timed, 10, 200)}, 1},
		"count became zero":           {[]Series{series("bytes", Exact, 0, 200), series("time", Timed, 10, 20)}, 1},
		"series is missing":           {[]Series{series("bytes", Exact, 100, 200)}, 1},
		"series is new":               {append([]Series{series("other", Exact, 1, 1)}, committed...), 1},
	}
	for name, tc := range tests {
		if got := Check(committed, tc.run); len(got) != tc.want {
			t.Errorf("%s: %v, want %d differences", name, got, tc.want)
		}
	}
}

func TestCapacityPageHasARowForEachTargetFigure(t *testing.T) {
	data, err := os.ReadFile("../../../../docs/capacity-entries.md")
	if err != nil {
		t.Fatal(err)
	}
	for _, number := range []string{
		"360 nodes", "780 runners", "3,100 accelerators", "8,200 requests a second", "1.7 million tokens a second",
		"first token within 1.1 s", "26 ms between tokens", "groups of 64 ranks", "128 experts a layer", "30,000 client accounts",
		"3 models", "2 regions", "6 data centres", "1,800 changes a day", "in force within 5 s", "2.1% of a core", "128 MB",
		"6 KB a second", "14 hosts fail a day", "140 restarted or replaced a day", "a rack or switch", "a data centre once or twice a year",
		"regions lose each other",
	} {
		if !strings.Contains(string(data), "\n| "+number) {
			t.Errorf("the page has no row for %q", number)
		}
	}
}

// Guards against fits with fewer than four sizes, whose residual does not show whether growth is linear, and against
// committed series that differ from the measured ones.
func TestCommittedSlopesHaveFourSizes(t *testing.T) {
	series, err := Read("../../../../docs/slopes.json")
	if err != nil {
		t.Fatal(err)
	}
	known := map[string]bool{}
	for _, e := range Experiments() {
		for _, m := range e.Metrics {
			known[m.Name] = true
		}
	}
	for _, s := range series {
		if len(s.Sizes) < 4 || len(s.Sizes) != len(s.Values) || !known[s.Name] {
			t.Errorf("%s: sizes %v, values %v, known %v", s.Name, s.Sizes, s.Values, known[s.Name])
		}
	}
	if len(series) != len(known) {
		t.Errorf("%d committed series, %d are measured", len(series), len(known))
	}
}
