package faulttest

import (
	"math/rand/v2"
	"time"

	"github.com/cardamomyoke/cardamomyoke/internal/testing/faulttest/memtable"
)

// Revert undoes a fault.
type Revert func() error

// Fault is one kind of failure. Inject applies it to a component chosen with rng and returns the function that reverts
// it, or nil if there is nothing to revert. Calls of Inject and Revert functions never overlap.
type Fault struct {
	Name   string
	Inject func(c *Cluster, rng *rand.Rand) Revert
}

// Faults returns the faults that are tested one by one and in the random pairs of the seeds.
func Faults() []Fault {
	return []Fault{
		{"entry-killed", entryKilled},
		{"entry-leaves", entryShutDown},
		{"entry-paused", entryPaused},
		{"model-slot-killed", func(c *Cluster, rng *rand.Rand) Revert { return slotKilled(pick(c.Models, rng)) }},
		{"plain-slot-killed", func(c *Cluster, rng *rand.Rand) Revert { return slotKilled(pick(c.Plains, rng)) }},
		{"slot-leaves", slotShutDown},
		{"engine-killed", func(c *Cluster, rng *rand.Rand) Revert { return upstreamKilled(c, pick(c.Models, rng)) }},
		{"plain-killed", func(c *Cluster, rng *rand.Rand) Revert { return upstreamKilled(c, pick(c.Plains, rng)) }},
		{"host-paused", hostPaused},
		{"peer-cut-off", peerPartitioned},
		{"engine-stalled", engineStalled},
		{"engine-crossed", engineMismatched},
		{"engine-cut", engineTruncated},
		{"answers-doubled", responses(Duplicate)},
		{"answers-crossed", responses(SwapResponses)},
		{"answers-truncated", responses(Truncate)},
		{"answers-late", responses(Slow)},
		{"all-engines-killed", func(c *Cluster, _ *rand.Rand) Revert { return allUpstreamsKilled(c, c.Models) }},
		{"all-plain-killed", func(c *Cluster, _ *rand.Rand) Revert { return allUpstreamsKilled(c, c.Plains) }},
		{"all-answers-truncated", allResponses(Truncate)},
		{"all-answers-crossed", allResponses(SwapResponses)},
		{"entry-cut-off", entryPartitioned},
		{"table-down", tableDown},
		{"table-slow", tableSlow},
		{"table-loses-answers", tableLosesResponses},
		{"table-late", tableLate},
	}
}

// FaultByName returns the fault of Faults with that name; it panics if there is none.
func FaultByName(name string) Fault {
	for _, f := range Faults() {
		if f.Name == name {
			return f
		}
	}
	panic("faulttest: no fault " + name)
}

func pick[T any](list []T, rng *rand.Rand) T { return list[rng.IntN(len(list))] }

// entryKilled stops an entry as a crash would. Streams to callers break off, and the callers resend
// through the other entry. A slip that the dead entry had forwarded may have run; its resend finds the claim.
func entryKilled(c *Cluster, rng *rand.Rand) Revert {
	e := pick(c.Entries, rng)
	if !e.kill() {
		return nil
	}
	return e.start
}

// entryShutDown shuts an entry down gracefully. Its callers see no failure, or are refused as not run and use the other
// entry.
func entryShutDown(c *Cluster, rng *rand.Rand) Revert {
	e := pick(c.Entries, rng)
	if !e.shutDown() {
		return nil
	}
	return e.start
}

// entryPaused holds back all traffic between an entry and the slots. Callers wait until it flows again or until their
// deadline. Requests that the entry sent in the meantime arrive late, possibly after their deadline.
func entryPaused(c *Cluster, rng *rand.Rand) Revert {
	e := pick(c.Entries, rng)
	e.setLinks(Freeze)
	return func() error {
		e.setLinks(Forward)
		return nil
	}
}

// slotKilled stops a slot as a crash would. Streams continue on another slot after the last token that the caller
// received; the outcome of a slip that was running is unknown. The restarted slot has no state for any attempt and
// refuses those addressed to its predecessor.
func slotKilled(h *Host) Revert {
	if !h.killSlot() {
		return nil
	}
	return h.restartSlot
}

// slotShutDown shuts a slot down gracefully. Callers see no failure: running requests finish, and new ones are refused as
// not run and retried on another slot.
func slotShutDown(c *Cluster, rng *rand.Rand) Revert {
	h := pick(c.hosts(), rng)
	if !h.shutDownSlot() {
		return nil
	}
	return h.restartSlot
}

// upstreamKilled stops an engine or a plain service as a crash would. Streams continue on another upstream. The outcome of
// a slip that was running is unknown; a slip that was not yet sent is returned as not run and retried on another
// upstream, since the connection is refused.
func upstreamKilled(c *Cluster, h *Host) Revert {
	if !c.killUpstream(h) {
		return nil
	}
	return h.restartUpstream
}

// hostPaused holds back all traffic of an upstream host. Its callers wait or are served by other hosts. When the host
// resumes, everything held back arrives late in both directions: requests past their deadline, and responses that no
// caller waits for.
func hostPaused(c *Cluster, rng *rand.Rand) Revert {
	h := pick(c.hosts(), rng)
	h.setMode(Freeze)
	return func() error {
		h.setMode(Forward)
		return nil
	}
}

// peerPartitioned partitions one entry from one slot. The entry's callers are served by the other hosts; the entry cannot
// query the outcome of its attempts on that slot.
func peerPartitioned(c *Cluster, rng *rand.Rand) Revert {
	l := pick(pick(c.hosts(), rng).links, rng)
	l.Set(Disconnect)
	return func() error {
		l.Set(Forward)
		return nil
	}
}

// engineStalled makes an engine hang. Callers that are receiving a stream wait until the slot abandons the engine, and
// receive the remaining tokens from another one.
func engineStalled(c *Cluster, rng *rand.Rand) Revert {
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

// engineMismatched makes an engine's responses carry another request's id. No caller may see a token of them.
func engineMismatched(c *Cluster, rng *rand.Rand) Revert {
	e := pick(c.Models, rng).engine
	if e == nil {
		return nil
	}
	e.SetMismatchedIDs(true)
	return func() error {
		e.SetMismatchedIDs(false)
		return nil
	}
}

// engineTruncatedBeforeEnd truncates each response between its last token and the end event. Callers see no failure: they
// have all the tokens that they asked for, and an engine asked to resume the response would add one more.
func engineTruncatedBeforeEnd(c *Cluster, rng *rand.Rand) Revert {
	e := pick(c.Models, rng).engine
	if e == nil {
		return nil
	}
	e.SetTruncateBeforeEnd(true)
	return func() error {
		e.SetTruncateBeforeEnd(false)
		return nil
	}
}

// engineTruncated truncates each response after five tokens. Callers receive the remaining tokens from another engine,
// with none lost or duplicated.
func engineTruncated(c *Cluster, rng *rand.Rand) Revert {
	const tokens = 5
	e := pick(c.Models, rng).engine
	if e == nil {
		return nil
	}
	e.SetTruncateAfter(tokens)
	return func() error {
		e.SetTruncateAfter(0)
		return nil
	}
}

// responses returns a fault that sets the relay between a slot and its upstream to a mode. Callers must never see
// duplicated, swapped, truncated or late data.
func responses(m Mode) func(c *Cluster, rng *rand.Rand) Revert {
	return func(c *Cluster, rng *rand.Rand) Revert {
		h := pick(c.hosts(), rng)
		h.upstream.Set(m)
		return func() error {
			h.upstream.Set(Forward)
			return nil
		}
	}
}

// allUpstreamsKilled stops every upstream of the hosts, so that no other upstream can continue a request. A caller may be
// refused as not run only if none of its attempts had started.
func allUpstreamsKilled(c *Cluster, hosts []*Host) Revert {
	var reverts []Revert
	for _, h := range hosts {
		reverts = append(reverts, upstreamKilled(c, h))
	}
	return func() error {
		for _, revert := range reverts {
			if revert == nil {
				continue
			}
			if err := revert(); err != nil {
				return err
			}
		}
		return nil
	}
}

// allResponses sets the relays of all upstreams to a mode, so that every attempt fails after it has started. No
// caller may be refused as not run.
func allResponses(m Mode) func(c *Cluster, rng *rand.Rand) Revert {
	set := func(c *Cluster, m Mode) {
		for _, h := range c.hosts() {
			h.upstream.Set(m)
		}
	}
	return func(c *Cluster, _ *rand.Rand) Revert {
		set(c, m)
		return func() error {
			set(c, Forward)
			return nil
		}
	}
}

// entryPartitioned partitions an entry from all slots. Its callers get no response to requests that it had forwarded, and
// it cannot query their outcome from any slot.
func entryPartitioned(c *Cluster, rng *rand.Rand) Revert {
	e := pick(c.Entries, rng)
	e.setLinks(Disconnect)
	return func() error {
		e.setLinks(Forward)
		return nil
	}
}

// tableFault sets the fault plan of the platform's table.
func tableFault(c *Cluster, plan memtable.Plan) Revert {
	c.Table.SetPlan(plan)
	return func() error {
		c.Table.SetPlan(nil)
		c.Table.ReleaseLate()
		return nil
	}
}

// tableDown makes the platform's table unavailable. Slips are refused as not run; streams continue normally.
func tableDown(c *Cluster, _ *rand.Rand) Revert {
	return tableFault(c, func() (memtable.Fault, time.Duration) { return memtable.Unavailable, 0 })
}

// tableSlow delays each call to the table. Slips wait, and those whose claim is not confirmed by the deadline are refused
// as not run; the write may take effect after that.
func tableSlow(c *Cluster, rng *rand.Rand) Revert {
	const maxDelayMS = 900
	r := rand.New(rand.NewPCG(rng.Uint64(), 1))
	return tableFault(c, func() (memtable.Fault, time.Duration) {
		return memtable.None, time.Duration(r.IntN(maxDelayMS)) * time.Millisecond
	})
}

// tableLosesResponses loses writes, or the responses to writes that took effect. The slot resolves the outcome of a claim
// before its slip starts.
func tableLosesResponses(c *Cluster, rng *rand.Rand) Revert {
	r := rand.New(rand.NewPCG(rng.Uint64(), 2))
	return tableFault(c, func() (memtable.Fault, time.Duration) {
		return pick([]memtable.Fault{memtable.None, memtable.ResponseLost, memtable.ResponseLost, memtable.RequestLost}, r), 0
	})
}

// tableLate delivers claims and outcomes to the table after the slot has resent or abandoned them.
func tableLate(c *Cluster, rng *rand.Rand) Revert {
	r := rand.New(rand.NewPCG(rng.Uint64(), 3))
	return tableFault(c, func() (memtable.Fault, time.Duration) {
		return pick([]memtable.Fault{memtable.None, memtable.Late, memtable.ResponseLost}, r), 0
	})
}
