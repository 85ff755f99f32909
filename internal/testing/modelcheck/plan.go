package main

import (
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"

	"github.com/goccy/go-yaml"
)

// Search is the kind of property that a run checks.
type Search string

// The kinds of search.
const (
	// SearchSafety searches for violated assertions and invalid end states.
	SearchSafety Search = "safety"
	// SearchProgress searches for cycles without a progress label, under weak fairness.
	SearchProgress Search = "progress"
	// SearchLTL searches for acceptance cycles of the specification's LTL formula, under weak fairness.
	SearchLTL Search = "ltl"
)

// Verdict is the result of a search.
type Verdict string

// The verdicts.
const (
	VerdictHolds     Verdict = "holds"
	VerdictAssertion Verdict = "assertion"
	VerdictEndState  Verdict = "end-state"
	VerdictCycle     Verdict = "cycle"
	// VerdictTruncated means that the search reached its depth, memory or time limit before it found an error.
	VerdictTruncated Verdict = "truncated"
	// VerdictBroken means that spin, gcc or the search itself failed to run.
	VerdictBroken Verdict = "broken"
)

var expectable = []Verdict{VerdictHolds, VerdictAssertion, VerdictEndState, VerdictCycle}

// Run is one search: a configuration of the specification, or a mutant of it.
type Run struct {
	// Name identifies the run in the report; it is unique in its file.
	Name string `yaml:"name"`
	// Search is safety (the default), progress or ltl.
	Search Search `yaml:"search"`
	// Mutant is the macro MUTANT_x that removes one safeguard; empty for the specification itself.
	Mutant string `yaml:"mutant"`
	// Define lists further macros, as NAME or NAME=VALUE.
	Define []string `yaml:"define"`
	// Expect is the expected verdict: holds for the specification, a violation for a mutant.
	Expect Verdict `yaml:"expect"`
	// Depth is the maximum length of a path; 0 means defaultDepth.
	Depth int `yaml:"depth"`
	// Why describes in one sentence the safeguard that the mutant removes.
	Why string `yaml:"why"`
}

// Plan lists the runs of one specification. It is read from the YAML file next to the Promela file.
type Plan struct {
	// Name is the file name without its extension.
	Name string `yaml:"-"`
	// Source is the path of the Promela file.
	Source string `yaml:"-"`
	Doc    string `yaml:"doc"`
	Runs   []Run  `yaml:"runs"`
}

// PlanError reports an invalid or missing plan of a specification.
type PlanError struct {
	Plan   string
	Reason string
	Cause  error
}

// Error implements error.
func (e *PlanError) Error() string { return fmt.Sprintf("spec %s: %s", e.Plan, e.Reason) }

// Unwrap returns the cause, if there is one.
func (e *PlanError) Unwrap() error { return e.Cause }

// LoadPlans reads the plan NAME.yaml of each NAME.pml in dir and checks it against the specification. It returns
// *PlanError if a plan is missing or invalid, or if dir contains no specification.
func LoadPlans(dir string) ([]Plan, error) {
	sources, err := filepath.Glob(filepath.Join(dir, "*.pml"))
	if err != nil {
		return nil, fmt.Errorf("list %s: %w", dir, err)
	}
	if len(sources) == 0 {
		return nil, &PlanError{Plan: dir, Reason: "contains no .pml file"}
	}
	var plans []Plan
	for _, source := range sources {
		p, err := loadPlan(source)
		if err != nil {
			return nil, err
		}
		plans = append(plans, p)
	}
	return plans, nil
}

func loadPlan(source string) (Plan, error) {
	name := strings.TrimSuffix(filepath.Base(source), ".pml")
	p := Plan{}
	content, err := os.ReadFile(strings.TrimSuffix(source, ".pml") + ".yaml")
	if err != nil {
		return p, &PlanError{name, "has no plan " + name + ".yaml", err}
	}
	if err := yaml.UnmarshalWithOptions(content, &p, yaml.Strict()); err != nil {
		return p, &PlanError{name, err.Error(), err}
	}
	p.Name, p.Source = name, source
	text, err := os.ReadFile(source)
	if err != nil {
		return p, fmt.Errorf("read %s: %w", source, err)
	}
	return p, p.check(string(text))
}

var mutantMacro = regexp.MustCompile(`\bMUTANT_\w+`)

// check compares the plan with the specification's text. A mutant whose macro is not in the text would be the unchanged
// specification, and a macro without a run would be a safeguard whose removal is never checked.
func (p *Plan) check(text string) error {
	inText := mutantMacro.FindAllString(text, -1)
	declared := map[string]bool{}
	names := map[string]bool{}
	hasBase := false
	for i := range p.Runs {
		r := &p.Runs[i]
		if r.Search == "" {
			r.Search = SearchSafety
		}
		if err := p.checkRun(*r, inText); err != nil {
			return err
		}
		if names[r.Name] {
			return &PlanError{Plan: p.Name, Reason: "two runs are named " + r.Name}
		}
		names[r.Name] = true
		declared[r.Mutant] = true
		hasBase = hasBase || r.Mutant == ""
	}
	delete(declared, "")
	if !hasBase || len(declared) == 0 {
		return &PlanError{Plan: p.Name, Reason: "needs at least one run without a mutant and one mutant"}
	}
	for _, m := range inText {
		if !declared[m] {
			return &PlanError{Plan: p.Name, Reason: m + " has no run"}
		}
	}
	return nil
}

func (p *Plan) checkRun(r Run, inText []string) error {
	switch r.Search {
	case SearchSafety, SearchProgress, SearchLTL:
	default:
		return &PlanError{Plan: p.Name, Reason: fmt.Sprintf("run %s: unknown search %q", r.Name, r.Search)}
	}
	if !slices.Contains(expectable, r.Expect) {
		return &PlanError{Plan: p.Name, Reason: fmt.Sprintf("run %s cannot expect %q", r.Name, r.Expect)}
	}
	if r.Mutant != "" && !slices.Contains(inText, r.Mutant) {
		return &PlanError{Plan: p.Name, Reason: fmt.Sprintf("run %s: %s is not in the text", r.Name, r.Mutant)}
	}
	if (r.Mutant == "") != (r.Expect == VerdictHolds) {
		return &PlanError{Plan: p.Name, Reason: fmt.Sprintf("run %s: a mutant must be refuted, the specification must hold", r.Name)}
	}
	return nil
}
