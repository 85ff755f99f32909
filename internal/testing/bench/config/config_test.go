package config

import (
	"bytes"
	"strings"
	"testing"
	"time"
)

// A small run ends with a verdict for each figure.
func TestRunPrintsVerdicts(t *testing.T) {
	s := &settings{nodes: []int{6, 12}, seed: 1, changes: 2, idle: 100 * time.Millisecond}
	var out bytes.Buffer
	if err := s.run(&out); err != nil {
		t.Fatal(err)
	}
	if n := strings.Count(out.String(), "at most"); n != 12 {
		t.Fatalf("%d verdicts:\n%s", n, out.String())
	}
}

func TestDelaysFollowTheNames(t *testing.T) {
	d := delays{local: 1, centre: 2, region: 3}
	for to, want := range map[string]time.Duration{"0-1": 1, "2-1": 2, "3-1": 3, "5-1": 3} {
		if got := d.between("0-0", to); got != want {
			t.Errorf("to %s: %v, want %v", to, got, want)
		}
	}
}
