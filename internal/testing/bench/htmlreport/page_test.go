package htmlreport

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/cardamomyoke/cardamomyoke/internal/testing/bench/report"
	"github.com/cardamomyoke/cardamomyoke/internal/testing/bench/slopes"
)

func TestPageHoldsTablesCriteriaAndPlots(t *testing.T) {
	plots, err := slopePlots([]slopes.Series{{Name: "a", Driver: "entries", Unit: "B/s", Sizes: []float64{1, 2}, Values: []float64{3, 4}}}, t.TempDir())
	if err != nil || len(plots) != 1 {
		t.Fatalf("%d plots, %v", len(plots), err)
	}
	table := report.Table{Title: "T", Columns: []string{"policy", "skew"}}
	table.Add("<ours>", 1.25)
	p := Page{Title: "R", Sections: []Section{
		{ID: "a", Title: "A", Command: "run a", Tables: []report.Table{table}, Plots: plots, Criteria: []report.Criterion{{Text: "skew", Reached: 2, Bound: report.AtMost, Limit: 1}}},
		{ID: "b", Title: "B", Error: "no engine"},
	}}
	file := filepath.Join(t.TempDir(), "r.html")
	if err := writeFile(file, p.WriteHTML); err != nil {
		t.Fatal(err)
	}
	html, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"&lt;ours&gt;", `<td class="n">1.25</td>`, "data:image/svg&#43;xml;base64,", `<span class="short">short</span>`, "No result: no engine", `href="#b"`} {
		if !strings.Contains(string(html), want) {
			t.Errorf("the page does not contain %q", want)
		}
	}
	var text strings.Builder
	if err := p.WriteText(&text); err != nil || !strings.Contains(text.String(), "short skew: 2, at most 1") || !strings.Contains(text.String(), "no result: no engine") {
		t.Errorf("summary %q, %v", text.String(), err)
	}
}
