package config

import (
	"bytes"
	"strings"
	"testing"
	"time"
)

// Guards against a run that omits the verdict of a criterion: there are two for each of six limits.
func TestRunPrintsAllVerdicts(t *testing.T) {
	s := &settings{nodes: []int{6, 12}, seed: 1, changes: 2, idle: 100 * time.Millisecond}
	var out bytes.Buffer
	if err := s.run(&out); err != nil {
		t.Fatal(err)
	}
	if n := strings.Count(out.String(), "at most"); n != 12 {
		t.Fatalf("%d verdicts:\n%s", n, out.String())
	}
}

// Guards against delays that do not match the data centres and regions in the names of the nodes.
func TestDelaysBetweenNodes(t *testing.T) {
	d := delays{local: 1, dataCentre: 2, region: 3}
	for to, want := range map[string]time.Duration{"0-1": 1, "2-1": 2, "3-1": 3, "5-1": 3} {
		if got := d.between("0-0", to); got != want {
			t.Errorf("to %s: %v, want %v", to, got, want)
		}
	}
}
