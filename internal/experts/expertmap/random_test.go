package expertmap

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
)

// TestMain fixes the length of the random tests. checkSeeds fixes their seeds, so every run has the same result.
func TestMain(m *testing.M) {
	flag.Parse()
	setFlag("rapid.nofailfile", "true")
	setFlag("rapid.steps", "300")
	setFlag("rapid.shrinktime", "2s")
	os.Exit(m.Run())
}

func setFlag(name, value string) {
	if err := flag.Set(name, value); err != nil {
		panic(err)
	}
}

// seeds are the first seed and those that have revealed a fault.
var seeds = []string{"20261202", "23467980", "20513607"}

func checkSeeds(t *testing.T, ranks, crashes, losses int) {
	for _, seed := range seeds {
		t.Run(seed, func(t *testing.T) {
			setFlag("rapid.seed", seed)
			rapid.Check(t, func(t *rapid.T) { runRandomFaults(t, ranks, crashes, losses) })
		})
	}
}

// randomGroup drives a group at random. Messages are delayed, duplicated, lost and reordered; slots and engines
// restart without state; proposers are replaced in the middle of a switch or resume late with an old fencing token.
type randomGroup struct {
	*group
	version uint64
	// crashes and losses bound the faults of one run, so that switches complete between them.
	crashes, losses int
}

func (c *randomGroup) actions(t *rapid.T) map[string]func(*rapid.T) {
	pick := func(n int, what string) int { return rapid.IntRange(0, n-1).Draw(t, what) }
	deliver := func(*rapid.T) {
		if len(c.net) == 0 {
			t.Skip("nothing to deliver")
		}
		c.deliver(c.remove(pick(len(c.net), "message")))
	}
	executeOrder := func(*rapid.T) {
		r := pick(c.ranks, "rank")
		if len(c.orders[r]) == 0 {
			t.Skip("no order to execute")
		}
		c.executeOrder(r)
	}
	step := func(*rapid.T) { c.step(pick(c.ranks, "rank")) }
	return map[string]func(*rapid.T){
		"deliver 1": deliver, "deliver 2": deliver, "deliver 3": deliver, "deliver 4": deliver,
		"obey 1": executeOrder, "obey 2": executeOrder, "step 1": step, "step 2": step,
		"copy": func(*rapid.T) {
			if len(c.net) == 0 {
				t.Skip("nothing to copy")
			}
			c.deliver(c.net[pick(len(c.net), "message")])
		},
		"lose": func(*rapid.T) {
			if len(c.net) == 0 {
				t.Skip("nothing to lose")
			}
			c.remove(pick(len(c.net), "message"))
		},
		"report": func(*rapid.T) { c.report(pick(c.ranks, "rank")) },
		"tick": func(*rapid.T) {
			c.now = c.now.Add(time.Duration(rapid.IntRange(1, 120).Draw(t, "ms")) * time.Millisecond)
			r := pick(c.ranks, "rank")
			c.slotEffects(r, c.slots[r].Tick(c.now))
			name := c.proposerNames[pick(len(c.proposerNames), "proposer")]
			c.proposerEffects(name, c.proposers[name].Tick(c.now))
		},
		"crash": func(*rapid.T) {
			if c.crashes == 0 {
				t.Skip("enough crashes")
			}
			c.crashes--
			c.start(pick(c.ranks, "rank"))
		},
		"lose engine": func(*rapid.T) {
			if c.losses == 0 {
				t.Skip("enough engines lost")
			}
			c.losses--
			c.loseEngine(pick(c.ranks, "rank"), rapid.Bool().Draw(t, "slot too"))
		},
		"propose": func(*rapid.T) {
			name := c.proposerNames[pick(len(c.proposerNames), "proposer")]
			fence := ids.Fence(rapid.IntRange(1, 3).Draw(t, "fence"))
			for _, e := range c.engines {
				c.version = max(c.version, e.Map.Version)
			}
			c.propose(name, fence, MapID{c.version + 1, fmt.Sprintf("by-%s-%d", name, len(c.results))})
		},
		"replace proposer": func(*rapid.T) { c.addProposer(c.proposerNames[pick(len(c.proposerNames), "proposer")]) },
	}
}

// loseEngine replaces an engine by one without state. The group forms again at the step that the engine could not
// finish.
func (c *randomGroup) loseEngine(r int, slotToo bool) {
	next := c.engines[r].Next
	for _, e := range c.engines {
		next = min(next, e.Next)
	}
	c.engines[r] = newEngine(next)
	alone := true
	for i, e := range c.engines {
		alone = alone && (i == r || e.Next <= next)
	}
	if alone {
		delete(c.mapOfStep, next)
	}
	if slotToo {
		c.start(r)
		return
	}
	c.orders[r] = nil
	c.engines[r].Order = c.slots[r].orders
	c.report(r)
}

func runRandomFaults(t *rapid.T, ranks, crashes, losses int) {
	g := newGroup(t, ranks)
	g.switchToFirstMap()
	g.addProposer("a")
	g.addProposer("b")
	c := &randomGroup{group: g, crashes: crashes, losses: losses}
	t.Repeat(c.actions(t))
	c.runSteps(5)
	c.waitForProposers()
}

// waitForProposers fails the test if a proposer does not receive the outcome of its proposal.
func (c *randomGroup) waitForProposers() {
	const rounds = 200
	for range rounds {
		c.round()
	}
	for _, name := range c.proposerNames {
		p := c.proposers[name]
		if p.State() == StateCapping || p.State() == StateCertifying {
			c.fail("proposer %s is still %s: proposal %+v acked %v switched %v", name, p.State(), p.proposal, p.acked, p.switched)
		}
	}
}

// Guards against a step that runs under two maps, a rank that switches first without a certificate, and a group that
// does not continue once the faults end, whichever messages are lost, duplicated or late and whichever slots restart.
func TestRandomFaultsOfThreeRanks(t *testing.T) {
	checkSeeds(t, 3, 4, 0)
}

func TestRandomFaultsOfFiveRanks(t *testing.T) {
	checkSeeds(t, 5, 6, 0)
}

// Guards against the failures of TestRandomFaultsOfThreeRanks when engines lose their state too, alone or together with
// their slots.
func TestRandomFaultsWithEngineRestarts(t *testing.T) {
	checkSeeds(t, 3, 3, 2)
}
