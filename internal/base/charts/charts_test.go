package charts

import (
	"errors"
	"io/fs"
	"strings"
	"testing"
)

func TestEveryChartIsValid(t *testing.T) {
	entries, err := fs.ReadDir(files, ".")
	if err != nil {
		t.Fatal(err)
	}
	if len(entries) == 0 {
		t.Fatal("no charts are embedded")
	}
	for _, e := range entries {
		if _, err := Load(strings.TrimSuffix(e.Name(), ".yaml")); err != nil {
			t.Error(err)
		}
	}
}

func TestParseRejectsInvalidCharts(t *testing.T) {
	tests := map[string]struct{ text, want string }{
		"unreachable": {"name: x\ninitial: a\nevents: [e]\nstates:\n  a: {ignore: [e]}\n  b: {ignore: [e]}\n", "cannot be reached"},
		"forgotten":   {"name: x\ninitial: a\nevents: [e, f]\nstates:\n  a: {on: {e: {to: a}}}\n", "neither handles nor ignores"},
		"target":      {"name: x\ninitial: a\nevents: [e]\nstates:\n  a: {on: {e: {to: c}}}\n", "unknown state"},
		"undeclared":  {"name: x\ninitial: a\nevents: [e]\nstates:\n  a: {on: {e: {to: a}, g: {to: a}}}\n", "undeclared event"},
		"both":        {"name: x\ninitial: a\nevents: [e]\nstates:\n  a: {on: {e: {to: a}}, ignore: [e]}\n", "handled or undeclared"},
		"initial":     {"name: x\ninitial: z\nevents: [e]\nstates:\n  a: {ignore: [e]}\n", "is not a state"},
		"name":        {"name: y\ninitial: a\nevents: [e]\nstates:\n  a: {ignore: [e]}\n", "is named"},
		"unknown key": {"name: x\nfoo: 1\n", "foo"},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			_, err := Parse("x", []byte(tc.text))
			var typed *InvalidError
			if !errors.As(err, &typed) || !strings.Contains(err.Error(), tc.want) {
				t.Fatalf("got %v, want *InvalidError with %q", err, tc.want)
			}
		})
	}
}

func TestMachineFollowsItsChart(t *testing.T) {
	m := MustLoad("entry").Start()
	for _, ev := range []Event{"configured", "leave"} {
		if _, err := m.Fire(ev); err != nil {
			t.Fatal(err)
		}
	}
	if m.State() != "leaving" {
		t.Fatalf("state %s", m.State())
	}
	var typed *UndeclaredEventError
	if _, err := m.Fire("no-such"); !errors.As(err, &typed) || m.State() != "leaving" {
		t.Fatalf("got %v in %s", err, m.State())
	}
}
