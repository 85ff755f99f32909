package lockstep_test

import (
	"fmt"
	"math/rand/v2"
	"slices"

	"github.com/cardamomyoke/cardamomyoke/internal/experts/lockstep"
)

// rank is a model of an engine as the platform documentation describes it, reduced to the state that a switch
// affects.
type rank struct {
	inUse, prepared, newest uint64
	armed                   *lockstep.Armed
	held                    *uint64
	placement               map[uint64]string // content of each version, to detect two maps with the same version
}

// group is a group of ranks in lockstep. pass is the last pass that has begun.
type group struct {
	ranks []*rank
	pass  uint64
	epoch uint64
	mixed []string
}

func newGroup(n int) *group {
	g := &group{epoch: 1}
	for range n {
		g.ranks = append(g.ranks, newRank())
	}
	return g
}

func newRank() *rank { return &rank{placement: map[uint64]string{0: "first"}} }

// reform models the crash of a rank: the group has a new epoch and its first map, with nothing prepared, armed or
// held.
func (g *group) reform() {
	g.epoch++
	for i := range g.ranks {
		g.ranks[i] = newRank()
	}
}

// step begins the next pass unless a rank holds it, and records in mixed if the ranks run it under different maps.
func (g *group) step() {
	next := g.pass + 1
	for _, r := range g.ranks {
		if r.held != nil && *r.held == next {
			return
		}
	}
	g.pass = next
	for _, r := range g.ranks {
		if r.armed != nil && r.armed.Pass == next {
			r.inUse, r.armed = r.armed.Version, nil
		}
	}
	first := g.ranks[0]
	for i, r := range g.ranks {
		if r.inUse != first.inUse || r.placement[r.inUse] != first.placement[first.inUse] {
			g.mixed = append(g.mixed, fmt.Sprintf("pass %d: rank 0 has %d (%s), rank %d has %d (%s)",
				next, first.inUse, first.placement[first.inUse], i, r.inUse, r.placement[r.inUse]))
		}
	}
}

func (g *group) held() bool {
	return slices.ContainsFunc(g.ranks, func(r *rank) bool { return r.held != nil && *r.held == g.pass+1 })
}

// order executes an order as the platform documentation describes it.
func (g *group) order(o lockstep.Order) lockstep.Reply {
	if o.Epoch != g.epoch {
		return lockstep.ReplyRefused
	}
	r := g.ranks[o.Rank]
	begun := o.Pass <= g.pass
	switch o.Op {
	case lockstep.OpPrepare:
		return r.prepare(o)
	case lockstep.OpArm:
		if r.armed != nil && *r.armed == (lockstep.Armed{Version: o.Version, Pass: o.Pass}) {
			return lockstep.ReplyAlreadyApplied
		}
		if r.prepared != o.Version || begun || r.armed != nil {
			return lockstep.ReplyRefused
		}
		r.armed = &lockstep.Armed{Version: o.Version, Pass: o.Pass}
	case lockstep.OpDisarm:
		if r.armed == nil || r.armed.Version != o.Version {
			return lockstep.ReplyRefused
		}
		r.armed = nil
	case lockstep.OpHold:
		if r.held != nil && *r.held == o.Pass {
			return lockstep.ReplyAlreadyApplied
		}
		if begun || r.held != nil && *r.held > g.pass {
			return lockstep.ReplyRefused
		}
		pass := o.Pass
		r.held = &pass
	case lockstep.OpRelease:
		if r.held == nil || *r.held != o.Pass {
			return lockstep.ReplyRefused
		}
		r.held = nil
	}
	return lockstep.ReplyAccepted
}

func (r *rank) prepare(o lockstep.Order) lockstep.Reply {
	if r.prepared == o.Version && r.prepared != 0 {
		return lockstep.ReplyAlreadyApplied
	}
	if o.Version <= r.newest || r.armed != nil {
		return lockstep.ReplyRefused
	}
	r.newest, r.prepared = o.Version, o.Version
	r.placement[o.Version] = fmt.Sprint(o.Placement)
	return lockstep.ReplyAccepted
}

func (g *group) reports() []*lockstep.Report {
	var out []*lockstep.Report
	for i, r := range g.ranks {
		report := &lockstep.Report{
			Rank: i, Size: len(g.ranks), Epoch: g.epoch, Open: true, Pass: g.pass, Version: r.inUse, Prepared: r.prepared, Slowdown: 1, Fresh: true,
		}
		if r.armed != nil {
			armed := *r.armed
			report.Armed = &armed
		}
		if r.held != nil && *r.held > g.pass {
			held := *r.held
			report.HeldPass = &held
		}
		out = append(out, report)
	}
	return out
}

// placementOf returns a random placement, so that versions can be told apart by content.
func placementOf(n int, rng *rand.Rand) lockstep.Placement {
	p := lockstep.Placement{make([][]int, n)}
	for r := range n {
		p[0][r] = []int{r, n + rng.IntN(1000)}
	}
	return p
}
