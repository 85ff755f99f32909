package faulttest

import (
	"math/rand/v2"
	"time"

	"github.com/cardamomyoke/cardamomyoke/internal/testing/faulttest/memtable"
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
		{"all-engines-killed", func(c *Cluster, _ *rand.Rand) Heal { return allKilled(c, c.Models) }},
		{"all-plain-killed", func(c *Cluster, _ *rand.Rand) Heal { return allKilled(c, c.Plains) }},
		{"all-answers-truncated", allAnswers(Truncate)},
		{"all-answers-crossed", allAnswers(Cross)},
		{"entry-cut-off", entryCutOff},
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

// entryKilled: callers in mid-stream see their connection break and send elsewhere; a slip that the dead entry had sent
// on may have run, and its resend finds the claim.
func entryKilled(c *Cluster, rng *rand.Rand) Heal {
	e := pick(c.Entries, rng)
	if !e.kill() {
		return nil
	}
	return e.start
}

// entryLeaves: callers notice nothing, or are refused as not run and sent to the other address.
func entryLeaves(c *Cluster, rng *rand.Rand) Heal {
	e := pick(c.Entries, rng)
	if !e.leave() {
		return nil
	}
	return e.start
}

// entryPaused: callers wait until the entry's connections move again, or until their deadline; what it had sent arrives
// late at slots that have gone on.
func entryPaused(c *Cluster, rng *rand.Rand) Heal {
	e := pick(c.Entries, rng)
	e.setLinks(Freeze)
	return func() error {
		e.setLinks(Pass)
		return nil
	}
}

// slotKilled: streams go on from another slot after the last token; the outcome of a slip in mid-run is unknown. The new
// slot process has forgotten every attempt, and refuses those meant for the old one.
func slotKilled(h *Host) Heal {
	if !h.killSlot() {
		return nil
	}
	return h.restartSlot
}

// slotLeaves: callers notice nothing; what ran is finished, what comes is refused as not run and tried elsewhere.
func slotLeaves(c *Cluster, rng *rand.Rand) Heal {
	h := pick(c.hosts(), rng)
	if !h.leave() {
		return nil
	}
	return h.restartSlot
}

// upstreamKilled: streams go on from another upstream; the outcome of a slip in mid-run is unknown, and one that was not
// yet sent is given back and tried elsewhere, since the dial is refused.
func upstreamKilled(c *Cluster, h *Host) Heal {
	if !c.killUpstream(h) {
		return nil
	}
	return h.restartUpstream
}

// hostPaused: callers of that host wait or are served elsewhere; when it wakes up, everything held back arrives late, in
// both directions: requests past their deadline, and answers that nobody waits for.
func hostPaused(c *Cluster, rng *rand.Rand) Heal {
	h := pick(c.hosts(), rng)
	h.setHost(Freeze)
	return func() error {
		h.setHost(Pass)
		return nil
	}
}

// peerCutOff: callers of one entry are served by the other hosts; the entry asks in vain what became of its attempts.
func peerCutOff(c *Cluster, rng *rand.Rand) Heal {
	l := pick(pick(c.hosts(), rng).links, rng)
	l.Set(Cut)
	return func() error {
		l.Set(Pass)
		return nil
	}
}

// engineStalled: callers in mid-stream wait until the slot gives the engine up, and get the rest from another one.
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

// engineCrossed: the engine's answers carry another request's id; no caller may see a token of them.
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

// engineCutBeforeEnd: each answer breaks off between its last token and the event that says so. Callers notice nothing:
// as many tokens as they asked for are there, and another engine, asked to go on, would add one more.
func engineCutBeforeEnd(c *Cluster, rng *rand.Rand) Heal {
	e := pick(c.Models, rng).engine
	if e == nil {
		return nil
	}
	e.SetCutBeforeEnd(true)
	return func() error {
		e.SetCutBeforeEnd(false)
		return nil
	}
}

// engineCut: each answer breaks off after five tokens; callers get the rest from another engine, none lost or doubled.
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

// answers is a fault of the connections between a slot and its upstream: callers must never see what was doubled,
// crossed, cut off or late.
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

// allKilled: there is no other upstream to go on; callers are refused as not run only if no attempt of theirs had begun.
func allKilled(c *Cluster, hosts []*Host) Heal {
	var heals []Heal
	for _, h := range hosts {
		heals = append(heals, upstreamKilled(c, h))
	}
	return func() error {
		for _, heal := range heals {
			if heal == nil {
				continue
			}
			if err := heal(); err != nil {
				return err
			}
		}
		return nil
	}
}

// allAnswers: every attempt fails after it has begun; callers must not be told that their request did not run.
func allAnswers(m Mode) func(c *Cluster, rng *rand.Rand) Heal {
	set := func(c *Cluster, m Mode) {
		for _, h := range c.hosts() {
			h.upstream.Set(m)
		}
	}
	return func(c *Cluster, _ *rand.Rand) Heal {
		set(c, m)
		return func() error {
			set(c, Pass)
			return nil
		}
	}
}

// entryCutOff: callers of the entry get no answer to what it had sent; it cannot ask any slot what became of that.
func entryCutOff(c *Cluster, rng *rand.Rand) Heal {
	e := pick(c.Entries, rng)
	e.setLinks(Cut)
	return func() error {
		e.setLinks(Pass)
		return nil
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

// tableDown: slips are refused as not run; streams go on as if nothing were.
func tableDown(c *Cluster, _ *rand.Rand) Heal {
	return table(c, func() (memtable.Fault, time.Duration) { return memtable.Unavailable, 0 })
}

// tableSlow: slips wait, and those whose claim is not confirmed by the deadline are refused as not run; the write may
// take effect after that.
func tableSlow(c *Cluster, rng *rand.Rand) Heal {
	const longest = 900
	r := rand.New(rand.NewPCG(rng.Uint64(), 1))
	return table(c, func() (memtable.Fault, time.Duration) {
		return memtable.None, time.Duration(r.IntN(longest)) * time.Millisecond
	})
}

// tableLoses: claims take effect without an answer, or get lost; the slot settles them before a slip starts.
func tableLoses(c *Cluster, rng *rand.Rand) Heal {
	r := rand.New(rand.NewPCG(rng.Uint64(), 2))
	return table(c, func() (memtable.Fault, time.Duration) {
		return pick([]memtable.Fault{memtable.None, memtable.AnswerLost, memtable.AnswerLost, memtable.RequestLost}, r), 0
	})
}

// tableLate: claims and outcomes arrive at the table after the slot has sent them again, or has given them up.
func tableLate(c *Cluster, rng *rand.Rand) Heal {
	r := rand.New(rand.NewPCG(rng.Uint64(), 3))
	return table(c, func() (memtable.Fault, time.Duration) {
		return pick([]memtable.Fault{memtable.None, memtable.Late, memtable.AnswerLost}, r), 0
	})
}
