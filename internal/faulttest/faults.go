package faulttest

import (
	"math/rand/v2"
	"time"

	"github.com/cardamomyoke/cardamomyoke/internal/faulttest/memtable"
)

// Heal ends a fault.
type Heal func() error

// Fault is something that goes wrong. Strike begins it somewhere and returns what ends it, or nil if it is over by
// itself. Both run while nothing else begins or ends.
type Fault struct {
	Name   string
	Strike func(c *Cluster, rng *rand.Rand) Heal
}

// Faults returns every fault that the harness knows.
func Faults() []Fault {
	return []Fault{
		{"entry-killed", entryKilled},
		{"entry-leaves", entryLeaves},
		{"entry-paused", entryPaused},
		{"model-slot-killed", func(c *Cluster, rng *rand.Rand) Heal { return slotKilled(pick(c.Models, rng)) }},
		{"plain-slot-killed", func(c *Cluster, rng *rand.Rand) Heal { return slotKilled(pick(c.Plains, rng)) }},
		{"slot-leaves", slotLeaves},
		{"engine-killed", func(c *Cluster, rng *rand.Rand) Heal { return upstreamKilled(c, pick(c.Models, rng)) }},
		{"plain-killed", func(c *Cluster, rng *rand.Rand) Heal { return upstreamKilled(c, pick(c.Plains, rng)) }},
		{"host-paused", hostPaused},
		{"peer-cut-off", peerCutOff},
		{"engine-stalled", engineStalled},
		{"engine-crossed", engineCrossed},
		{"engine-cut", engineCut},
		{"answers-doubled", answers(Double)},
		{"answers-crossed", answers(Cross)},
		{"answers-truncated", answers(Truncate)},
		{"answers-late", answers(Slow)},
		{"table-down", tableDown},
		{"table-slow", tableSlow},
		{"table-loses-answers", tableLoses},
		{"table-late", tableLate},
	}
}

// FaultByName returns one of Faults; it panics for a name that is none.
func FaultByName(name string) Fault {
	for _, f := range Faults() {
		if f.Name == name {
			return f
		}
	}
	panic("faulttest: no fault " + name)
}

func pick[T any](list []T, rng *rand.Rand) T { return list[rng.IntN(len(list))] }

func entryKilled(c *Cluster, rng *rand.Rand) Heal {
	e := pick(c.Entries, rng)
	if !e.kill() {
		return nil
	}
	return e.start
}

func entryLeaves(c *Cluster, rng *rand.Rand) Heal {
	e := pick(c.Entries, rng)
	if !e.leave() {
		return nil
	}
	return e.start
}

func entryPaused(c *Cluster, rng *rand.Rand) Heal {
	e := pick(c.Entries, rng)
	e.setLinks(Freeze)
	return func() error {
		e.setLinks(Pass)
		return nil
	}
}

func slotKilled(h *Host) Heal {
	if !h.killSlot() {
		return nil
	}
	return h.restartSlot
}

func slotLeaves(c *Cluster, rng *rand.Rand) Heal {
	h := pick(c.hosts(), rng)
	if !h.leave() {
		return nil
	}
	return h.restartSlot
}

func upstreamKilled(c *Cluster, h *Host) Heal {
	if !c.killUpstream(h) {
		return nil
	}
	return h.restartUpstream
}

func hostPaused(c *Cluster, rng *rand.Rand) Heal {
	h := pick(c.hosts(), rng)
	h.setHost(Freeze)
	return func() error {
		h.setHost(Pass)
		return nil
	}
}

func peerCutOff(c *Cluster, rng *rand.Rand) Heal {
	l := pick(pick(c.hosts(), rng).links, rng)
	l.Set(Cut)
	return func() error {
		l.Set(Pass)
		return nil
	}
}

func engineStalled(c *Cluster, rng *rand.Rand) Heal {
	e := pick(c.Models, rng).engine
	if e == nil {
		return nil
	}
	e.SetStalled(true)
	return func() error {
		e.SetStalled(false)
		return nil
	}
}

func engineCrossed(c *Cluster, rng *rand.Rand) Heal {
	e := pick(c.Models, rng).engine
	if e == nil {
		return nil
	}
	e.SetCrossed(true)
	return func() error {
		e.SetCrossed(false)
		return nil
	}
}

func engineCut(c *Cluster, rng *rand.Rand) Heal {
	const tokens = 5
	e := pick(c.Models, rng).engine
	if e == nil {
		return nil
	}
	e.SetCutAfter(tokens)
	return func() error {
		e.SetCutAfter(0)
		return nil
	}
}

// answers is a fault of the connections between a slot and its upstream.
func answers(m Mode) func(c *Cluster, rng *rand.Rand) Heal {
	return func(c *Cluster, rng *rand.Rand) Heal {
		h := pick(c.hosts(), rng)
		h.upstream.Set(m)
		return func() error {
			h.upstream.Set(Pass)
			return nil
		}
	}
}

// table is a fault of the platform's table.
func table(c *Cluster, plan memtable.Plan) Heal {
	c.Table.SetPlan(plan)
	return func() error {
		c.Table.SetPlan(nil)
		c.Table.ReleaseLate()
		return nil
	}
}

func tableDown(c *Cluster, _ *rand.Rand) Heal {
	return table(c, func() (memtable.Fault, time.Duration) { return memtable.Unavailable, 0 })
}

func tableSlow(c *Cluster, rng *rand.Rand) Heal {
	const longest = 900
	r := rand.New(rand.NewPCG(rng.Uint64(), 1))
	return table(c, func() (memtable.Fault, time.Duration) {
		return memtable.None, time.Duration(r.IntN(longest)) * time.Millisecond
	})
}

func tableLoses(c *Cluster, rng *rand.Rand) Heal {
	r := rand.New(rand.NewPCG(rng.Uint64(), 2))
	return table(c, func() (memtable.Fault, time.Duration) {
		return pick([]memtable.Fault{memtable.None, memtable.AnswerLost, memtable.AnswerLost, memtable.RequestLost}, r), 0
	})
}

func tableLate(c *Cluster, rng *rand.Rand) Heal {
	r := rand.New(rand.NewPCG(rng.Uint64(), 3))
	return table(c, func() (memtable.Fault, time.Duration) {
		return pick([]memtable.Fault{memtable.None, memtable.Late, memtable.AnswerLost}, r), 0
	})
}
