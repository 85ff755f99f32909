package faulttest

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
)

// Each scenario sleeps most of its time, so that a few run side by side without much load.
const sideBySide = 6

var seeds = flag.Int("faults.seeds", 12, "seeds of random pairs of faults")

// named are the pairs that are worth a name.
var named = [][2]string{
	{"entry-killed", "engine-killed"},
	{"entry-killed", "plain-slot-killed"},
	{"plain-slot-killed", "table-loses-answers"},
	{"plain-killed", "table-late"},
	{"host-paused", "table-slow"},
	{"host-paused", "entry-paused"},
	{"peer-cut-off", "entry-leaves"},
	{"slot-leaves", "table-down"},
	{"model-slot-killed", "engine-cut"},
	{"answers-crossed", "answers-late"},
	{"answers-doubled", "answers-truncated"},
	{"engine-stalled", "engine-crossed"},
	{"entry-cut-off", "table-down"},
	{"all-answers-truncated", "table-down"},
	{"all-engines-killed", "all-plain-killed"},
}

func scenarios() []Scenario {
	list := []Scenario{{}}
	for _, f := range Faults() {
		list = append(list, Scenario{Faults: []Fault{f}})
	}
	for _, n := range named {
		list = append(list, Scenario{Faults: []Fault{FaultByName(n[0]), FaultByName(n[1])}})
	}
	// Not among Faults, so that the pairs of each seed stay as they were.
	list = append(list, Scenario{Faults: []Fault{{"engine-cut-before-end", engineCutBeforeEnd}}})
	// These seeds find an entry that takes every question about a lost attempt for answered with "never started".
	for _, seed := range []uint64{2, 3} {
		list = append(list, Scenario{Seed: seed, Faults: []Fault{FaultByName("entry-cut-off")}})
	}
	for seed := range *seeds {
		rng := rand.New(rand.NewPCG(uint64(seed), 12))
		pair := []Fault{pick(Faults(), rng), pick(Faults(), rng)}
		list = append(list, Scenario{Seed: uint64(seed + 1), Faults: pair})
	}
	return list
}

// What callers see while one or two things fail at once: each request is answered once, whole and with its own answer,
// or fails; what was refused as "not run" did not run; a slip is printed at most once, however often it is sent.
func TestPromisesHoldUnderFaults(t *testing.T) {
	list := scenarios()
	lines := make([]Line, len(list))
	places := make(chan struct{}, sideBySide)
	var wg sync.WaitGroup
	for i, sc := range list {
		wg.Go(func() {
			places <- struct{}{}
			defer func() { <-places }()
			line, err := Run(sc)
			if err != nil {
				t.Errorf("%s seed %d: %v", sc.Name(), sc.Seed, err)
			}
			lines[i] = line
		})
	}
	wg.Wait()
	total := 0
	for _, l := range lines {
		fmt.Println(l)
		for _, v := range l.Violations {
			t.Errorf("%s seed %d: %s", l.Name, l.Seed, v)
		}
		total += len(l.Violations)
	}
	fmt.Println("violations:", total)
}

// The check above can fail: with a table for each slot the claims bind nobody else, and a slip that is sent through two
// entries at once is printed twice.
func TestWithoutSharedClaimsSlipsRunTwice(t *testing.T) {
	line, err := Run(Scenario{Seed: 1, Sabotage: Sabotage{OwnTables: true}})
	if err != nil {
		t.Fatal(err)
	}
	if len(line.Violations) == 0 {
		t.Fatal("no violation without shared claims")
	}
}
