// Package charts interprets the state charts in the YAML files of its directory.
//
// A chart names its events and states. For each event, a state defines the next state and the actions that the owner must
// carry out, or that the event is ignored. Load rejects a chart with an unreachable state or with an event that a
// non-final state neither handles nor ignores, so that a forgotten case is found when the program starts and not when a
// rare message arrives.
package charts

import (
	"embed"
	"fmt"
	"slices"

	"github.com/goccy/go-yaml"
)

//go:embed *.yaml
var files embed.FS

// State names a state of a chart.
type State string

// Event names an event of a chart.
type Event string

// Action names an action that the owner of a machine carries out.
type Action string

// Transition is the effect of an event: the next state and the actions to carry out.
type Transition struct {
	To State    `yaml:"to"`
	Do []Action `yaml:"do"`
}

type stateDef struct {
	On     map[Event]Transition `yaml:"on"`
	Ignore []Event              `yaml:"ignore"`
	Final  bool                 `yaml:"final"`
	Doc    string               `yaml:"doc"`
}

// Chart is a valid state chart. It is immutable and safe for concurrent use.
type Chart struct {
	Name    string              `yaml:"name"`
	Doc     string              `yaml:"doc"`
	Initial State               `yaml:"initial"`
	Events  []Event             `yaml:"events"`
	States  map[State]*stateDef `yaml:"states"`
}

// InvalidError describes why a chart's file is invalid.
type InvalidError struct {
	Chart  string
	Reason string
	Cause  error
}

// Error implements error.
func (e *InvalidError) Error() string { return fmt.Sprintf("chart %s: %s", e.Chart, e.Reason) }

// Unwrap returns the cause, if there is one.
func (e *InvalidError) Unwrap() error { return e.Cause }

// UndeclaredEventError reports that the chart does not declare an event.
type UndeclaredEventError struct {
	Chart string
	State State
	Event Event
}

// Error implements error.
func (e *UndeclaredEventError) Error() string {
	return fmt.Sprintf("chart %s: state %s: event %s is not declared", e.Chart, e.State, e.Event)
}

// Load reads and validates the chart in the embedded file NAME.yaml. Errors: *InvalidError.
func Load(name string) (*Chart, error) {
	text, err := files.ReadFile(name + ".yaml")
	if err != nil {
		return nil, &InvalidError{name, "no such file", err}
	}
	return Parse(name, text)
}

// MustLoad is like Load but panics on an error, since the charts are part of the program.
func MustLoad(name string) *Chart {
	c, err := Load(name)
	if err != nil {
		panic(err)
	}
	return c
}

// Parse parses and validates the text of the named chart. Errors: *InvalidError.
func Parse(name string, text []byte) (*Chart, error) {
	c := &Chart{}
	if err := yaml.UnmarshalWithOptions(text, c, yaml.Strict()); err != nil {
		return nil, &InvalidError{name, err.Error(), err}
	}
	if c.Name != name {
		return nil, &InvalidError{name, fmt.Sprintf("is named %q in its file", c.Name), nil}
	}
	if err := c.check(); err != nil {
		return nil, err
	}
	return c, nil
}

func (c *Chart) invalid(format string, args ...any) error {
	return &InvalidError{Chart: c.Name, Reason: fmt.Sprintf(format, args...)}
}

func (c *Chart) check() error {
	if _, ok := c.States[c.Initial]; !ok {
		return c.invalid("initial state %q is not a state", c.Initial)
	}
	for name, n := range c.States {
		if n == nil {
			return c.invalid("state %s is empty", name)
		}
		if err := c.checkState(name, n); err != nil {
			return err
		}
	}
	return c.checkReachable()
}

func (c *Chart) checkState(name State, n *stateDef) error {
	for ev, tr := range n.On {
		if !slices.Contains(c.Events, ev) {
			return c.invalid("state %s handles undeclared event %s", name, ev)
		}
		if _, ok := c.States[tr.To]; !ok {
			return c.invalid("state %s: event %s leads to unknown state %q", name, ev, tr.To)
		}
	}
	for _, ev := range n.Ignore {
		if _, both := n.On[ev]; both || !slices.Contains(c.Events, ev) {
			return c.invalid("state %s ignores event %s, which is handled or undeclared", name, ev)
		}
	}
	if n.Final {
		return nil
	}
	for _, ev := range c.Events {
		_, on := n.On[ev]
		if !on && !slices.Contains(n.Ignore, ev) {
			return c.invalid("state %s neither handles nor ignores event %s", name, ev)
		}
	}
	return nil
}

func (c *Chart) checkReachable() error {
	seen := map[State]bool{c.Initial: true}
	queue := []State{c.Initial}
	for len(queue) > 0 {
		s := queue[0]
		queue = queue[1:]
		for _, tr := range c.States[s].On {
			if !seen[tr.To] {
				seen[tr.To] = true
				queue = append(queue, tr.To)
			}
		}
	}
	for name := range c.States {
		if !seen[name] {
			return c.invalid("state %s cannot be reached", name)
		}
	}
	return nil
}

// Machine is one instance of a chart. It is not safe for concurrent use.
type Machine struct {
	chart *Chart
	state State
}

// Start returns a machine in the chart's initial state.
func (c *Chart) Start() Machine { return Machine{chart: c, state: c.Initial} }

// State returns the current state.
func (m *Machine) State() State { return m.state }

// Final reports whether the current state is final.
func (m *Machine) Final() bool { return m.chart.States[m.state].Final }

// Fire applies an event and returns the actions to carry out, or nil if the event is ignored. For an event that the chart
// does not declare it returns *UndeclaredEventError and leaves the state unchanged.
func (m *Machine) Fire(ev Event) ([]Action, error) {
	if !slices.Contains(m.chart.Events, ev) {
		return nil, &UndeclaredEventError{m.chart.Name, m.state, ev}
	}
	tr, ok := m.chart.States[m.state].On[ev]
	if !ok {
		return nil, nil
	}
	m.state = tr.To
	return tr.Do, nil
}
