package main

import (
	"errors"
	"strings"
	"testing"
)

// Guards against a wrong verdict from the output of a search, such as an incomplete search that counts as holding.
func TestClassifySearchOutput(t *testing.T) {
	tests := map[string]struct {
		out  string
		want Verdict
	}{
		"complete":            {"invalid end states\t+\nassertion violations\t+\nerrors: 0\n   12 states, stored\n", VerdictHolds},
		"assertion":           {"pan:1: assertion violated (a==b) (at depth 3)\nerrors: 1\n   12 states, stored\n", VerdictAssertion},
		"end state":           {"pan:1: invalid end state (at depth 3)\nerrors: 1\n   12 states, stored\n", VerdictEndState},
		"cycle":               {"pan:1: non-progress cycle (at depth 2)\nerrors: 1\n   12 states, stored\n", VerdictCycle},
		"depth":               {"error: max search depth too small\nerrors: 0\n   12 states, stored\n", VerdictTruncated},
		"memory":              {"pan: reached -DMEMLIM bound\nerrors: 0\n   12 states, stored\n", VerdictTruncated},
		"crashed":             {"Segmentation fault\n", VerdictBroken},
		"error before memory": {"pan:1: assertion violated x\npan: out of memory\n", VerdictAssertion},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			if got := classify(tc.out); got.Verdict != tc.want {
				t.Fatalf("verdict %s, want %s", got.Verdict, tc.want)
			}
		})
	}
	if got := classify("   1234 states, stored (9 visited)\n").States; got != 1234 {
		t.Fatalf("states %d", got)
	}
}

// Guards against plans that cannot show that a safeguard is needed: without mutants, with mutants that have no run or no
// macro in the text, or with a mutant that is expected to hold.
func TestPlanRejectsUncheckedMutants(t *testing.T) {
	base := Run{Name: "base", Expect: VerdictHolds}
	mutant := Run{Name: "m", Mutant: "MUTANT_A", Expect: VerdictAssertion}
	tests := map[string]struct {
		runs []Run
		text string
		want string
	}{
		"no mutant":            {[]Run{base}, "", "at least one"},
		"only mutants":         {[]Run{mutant}, "MUTANT_A", "at least one"},
		"macro not in text":    {[]Run{base, mutant}, "", "is not in the text"},
		"macro without run":    {[]Run{base, mutant}, "MUTANT_A MUTANT_B", "MUTANT_B has no run"},
		"mutant may hold":      {[]Run{base, {Name: "m", Mutant: "MUTANT_A", Expect: VerdictHolds}}, "MUTANT_A", "must be refuted"},
		"truncation expected":  {[]Run{base, {Name: "m", Mutant: "MUTANT_A", Expect: VerdictTruncated}}, "MUTANT_A", "cannot expect"},
		"two of the same name": {[]Run{base, base, mutant}, "MUTANT_A", "two runs"},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			p := Plan{Name: "x", Runs: tc.runs}
			err := p.check(tc.text)
			var typed *PlanError
			if !errors.As(err, &typed) || !strings.Contains(err.Error(), tc.want) {
				t.Fatalf("got %v, want *PlanError with %q", err, tc.want)
			}
		})
	}
	p := Plan{Name: "x", Runs: []Run{base, mutant}}
	if err := p.check("MUTANT_A"); err != nil {
		t.Fatal(err)
	}
}

func TestReportFailsOnUnexpectedVerdict(t *testing.T) {
	jobs := []job{{run: Run{Name: "m", Expect: VerdictAssertion}, res: Result{Verdict: VerdictHolds}}}
	var out strings.Builder
	var typed *FailedError
	if err := report(&out, jobs); !errors.As(err, &typed) || !strings.Contains(out.String(), "DIFFERS") {
		t.Fatalf("got %v and %q", err, out.String())
	}
}
