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
	// SearchSafety looks for a violated assertion or an end state that is not a valid one.
	SearchSafety Search = "safety"
	// SearchProgress looks for a cycle that passes no progress label, with weak fairness.
	SearchProgress Search = "progress"
	// SearchLTL looks for an acceptance cycle of the specification's ltl formula, with weak fairness.
	SearchLTL Search = "ltl"
)

// Verdict is what a search found.
type Verdict string

// The verdicts.
const (
	VerdictHolds     Verdict = "holds"
	VerdictAssertion Verdict = "assertion"
	VerdictEndState  Verdict = "end-state"
	VerdictCycle     Verdict = "cycle"
	// VerdictTruncated means that depth, memory or time ran out before an error was found.
	VerdictTruncated Verdict = "truncated"
	// VerdictBroken means that spin, gcc or the search itself failed.
	VerdictBroken Verdict = "broken"
)

var expectable = []Verdict{VerdictHolds, VerdictAssertion, VerdictEndState, VerdictCycle}

// Run is one search: a configuration of the specification, or a mutant of it.
type Run struct {
	// Name is printed; it is unique in its file.
	Name string `yaml:"name"`
	// Search is safety (the default), progress or ltl.
	Search Search `yaml:"search"`
	// Mutant is the macro MUTANT_x that leaves out one safeguard; empty for the specification itself.
	Mutant string `yaml:"mutant"`
	// Define lists further macros, as NAME or NAME=VALUE.
	Define []string `yaml:"define"`
	// Expect is the verdict: holds for the specification, anything else for a mutant.
	Expect Verdict `yaml:"expect"`
	// Depth is the longest path searched; 0 means the default.
	Depth int `yaml:"depth"`
	// Why says in a sentence what the mutant leaves out.
	Why string `yaml:"why"`
}

// Plan is the side file of one specification.
type Plan struct {
	// Name is the file's name without its ending.
	Name string `yaml:"-"`
	// Source is the path of the Promela file.
	Source string `yaml:"-"`
	Doc    string `yaml:"doc"`
	Runs   []Run  `yaml:"runs"`
}

// PlanError says what is wrong with a specification's side file.
type PlanError struct {
	Plan   string
	Reason string
	Cause  error
}

// Error implements error.
func (e *PlanError) Error() string { return fmt.Sprintf("spec %s: %s", e.Plan, e.Reason) }

// Unwrap returns the cause, if there is one.
func (e *PlanError) Unwrap() error { return e.Cause }

// LoadPlans reads every NAME.pml of a folder with its NAME.yaml; it returns *PlanError if one is not sound.
func LoadPlans(dir string) ([]Plan, error) {
	sources, err := filepath.Glob(filepath.Join(dir, "*.pml"))
	if err != nil {
		return nil, fmt.Errorf("list %s: %w", dir, err)
	}
	if len(sources) == 0 {
		return nil, &PlanError{Plan: dir, Reason: "holds no .pml file"}
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
	side, err := os.ReadFile(strings.TrimSuffix(source, ".pml") + ".yaml")
	if err != nil {
		return p, &PlanError{name, "has no side file " + name + ".yaml", err}
	}
	if err := yaml.UnmarshalWithOptions(side, &p, yaml.Strict()); err != nil {
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

// check holds the side file against the specification's text: a mutant whose macro does not occur in the text would
// be the specification itself, and a macro without a run would be a safeguard that nobody tries without.
func (p *Plan) check(text string) error {
	inText := mutantMacro.FindAllString(text, -1)
	declared := map[string]bool{}
	names := map[string]bool{}
	holds := false
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
		holds = holds || r.Mutant == ""
	}
	delete(declared, "")
	if !holds || len(declared) == 0 {
		return &PlanError{Plan: p.Name, Reason: "wants at least one run without a mutant and one mutant"}
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
