package lease

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cardamomyoke/cardamomyoke/internal/base/charts"
	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
	cardamomyokev1 "github.com/cardamomyoke/cardamomyoke/internal/gen/cardamomyoke/v1"
	"github.com/cardamomyoke/cardamomyoke/internal/state/platform"
)

var chart = charts.MustLoad("lease")

const (
	evWanted   charts.Event = "wanted"
	evUnwanted charts.Event = "unwanted"
	evExpired  charts.Event = "expired"
	evAcquired charts.Event = "taken"
	evRefused  charts.Event = "refused"
	evLapsed   charts.Event = "lapsed"

	stateIdle      charts.State = "idle"
	stateWatching  charts.State = "watching"
	stateAcquiring charts.State = "acquiring"
	stateHeld      charts.State = "held"
)

const (
	prefixLease = "leases/"
	prefixFence = "fences/"
	// prefixAllocation is the prefix of rows whose versions are fencing tokens allocated in advance; see
	// manager.AllocateFence.
	prefixAllocation = "numbers/"
	// renewalsPerLength is the number of renewals that a holder attempts within the length of a lease.
	renewalsPerLength = 3
	// marginDivisor sets the margin, 1/8 of the length, by which the holder stops early and other nodes wait longer.
	marginDivisor = 8
	// callTimeoutDivisor sets the timeout, 1/2 of the length, after which a call counts as lost.
	callTimeoutDivisor = 2
)

// Duty names a task that at most one node at a time carries out.
type Duty string

// Key returns the key of the lease's row.
func (d Duty) Key() string { return prefixLease + string(d) }

// FenceKey returns the key of the row whose version is the fencing token.
func (d Duty) FenceKey() string { return prefixFence + string(d) }

// AllocationKey returns the key of the row whose versions are the fencing tokens allocated in advance for the duty.
func (d Duty) AllocationKey() string { return prefixAllocation + string(d) }

// FenceCheck returns the condition that each table write of the duty must include. It fails once there is a later holder.
func FenceCheck(d Duty, f ids.Fence) platform.Check {
	return platform.CheckAt(d.FenceKey(), platform.PositionOfFence(f))
}

// Candidates returns the n names that should contend for a duty, best first. Each node computes this by itself; the nodes
// need not agree, since only the table decides.
func Candidates(d Duty, names []string, n int) []string {
	out := slices.Clone(names)
	weight := func(name string) uint64 { return xxhash.Sum64String(string(d) + "/" + name) }
	slices.SortFunc(out, func(a, b string) int { return cmp.Or(cmp.Compare(weight(a), weight(b)), cmp.Compare(a, b)) })
	return out[:min(n, len(out))]
}

// Row is the state of a duty's rows: the lease, the position of its row, and the position of the fence row. A version of 0
// means that the row does not exist.
type Row struct {
	Lease   *cardamomyokev1.Lease
	Version platform.Position
	Fence   platform.Position
}

// Effect is an action that the owner of a Contender must carry out. The pointer types below are the only effects.
type Effect interface{ effect() }

// Read reads both rows and calls OnRead.
type Read struct{}

// Write commits Lease on condition that the rows have these positions, and calls OnWrite. If NewFence is set it also writes
// the fence row, whose new position is the new fencing token.
type Write struct {
	Lease    *cardamomyokev1.Lease
	Version  platform.Position
	Fence    platform.Position
	NewFence bool
}

func (*Read) effect()  {}
func (*Write) effect() {}

// HeldLease is a duty that a node holds. The zero value means that the node holds none.
type HeldLease struct {
	Duty  Duty
	Fence ids.Fence
	// Until is the deadline on the node's own monotonic clock.
	Until time.Time
}

// ValidAt reports whether the duty is held at the given time. Callers check it before each action.
func (h HeldLease) ValidAt(now time.Time) bool { return now.Before(h.Until) }

// Contender is the state machine of one node that contends for or holds one lease. It does no I/O, reads no clock, and is not
// safe for concurrent use.
type Contender struct {
	duty        Duty
	name        string
	incarnation ids.Incarnation
	length      time.Duration
	rng         *rand.Rand
	machine     charts.Machine
	wanted      bool

	row            Row
	unchangedSince time.Time // when the row was first seen in its present version; zero if not read
	held           HeldLease
	renewalCount   uint64

	callStartedAt time.Time // when the call in flight began; zero if there is none
	nextCallAt    time.Time
	callID        uint64 // counts calls, so that the result of an abandoned call is ignored
	releasing     bool   // set if the last write releases the duty
	// holderDead reports whether a holder is known to be dead; nil if that is never known.
	holderDead func(holder string, incarnation ids.Incarnation) bool
	// readAt is when the row was last read or written, changedAt when another holder's write of it was last seen.
	readAt, changedAt time.Time
	// restored is set while the row may be one from before the store came back older: it has not changed since.
	restored bool
}

// SetHolderDead sets the function that reports whether a holder is dead, so that the duty of a dead holder is acquired before
// its lease expires. Use it only for duties whose safety does not depend on the lease: if a live holder is mistaken for dead,
// two nodes carry out the duty until the old holder learns of the new one.
func (h *Contender) SetHolderDead(dead func(holder string, incarnation ids.Incarnation) bool) {
	h.holderDead = dead
}

// NewContender returns a Contender that does not contend for the duty yet.
func NewContender(d Duty, name string, incarnation ids.Incarnation, length time.Duration, rng *rand.Rand) *Contender {
	return &Contender{duty: d, name: name, incarnation: incarnation, length: length, rng: rng, machine: chart.Start()}
}

// Held returns the lease that this node holds. Call its ValidAt with the time of each action.
func (h *Contender) Held() HeldLease { return h.held }

// NewestFence returns the fencing token in the rows as last seen, or 0 if it is beyond the range of tokens.
func (h *Contender) NewestFence() ids.Fence {
	f, err := h.row.Fence.Fence()
	if err != nil {
		return 0
	}
	return f
}

// NewestFenceOfOthers returns NewestFence, or 0 if the rows name this incarnation as the holder or may be older than its
// lease. A restored row names a holder from before as if it were a later one.
func (h *Contender) NewestFenceOfOthers() ids.Fence {
	if h.isOwn(h.row.Lease) || h.restored {
		return 0
	}
	return h.NewestFence()
}

func (h *Contender) isOwn(l *cardamomyokev1.Lease) bool {
	return l.GetHolder() == h.name && l.GetIncarnation() == string(h.incarnation)
}

// PendingFor returns how long the call in flight has waited for its response; 0 if there is none.
func (h *Contender) PendingFor(now time.Time) time.Duration {
	if h.callStartedAt.IsZero() {
		return 0
	}
	return now.Sub(h.callStartedAt)
}

// State returns the state in the chart.
func (h *Contender) State() charts.State { return h.machine.State() }

func (h *Contender) fire(ev charts.Event) {
	// The chart declares each of these events, so Fire cannot fail.
	_, _ = h.machine.Fire(ev)
}

// SetWanted sets whether this node contends for the duty. If it stops contending, it releases a held duty immediately.
func (h *Contender) SetWanted(now time.Time, want bool) []Effect {
	if want == h.wanted {
		return nil
	}
	h.wanted = want
	if want {
		h.fire(evWanted)
		return h.Tick(now)
	}
	wasHeld := h.machine.State() == stateHeld
	h.fire(evUnwanted)
	h.held = HeldLease{}
	if !wasHeld {
		return nil
	}
	return h.release(now)
}

// release writes that nobody holds the duty.
func (h *Contender) release(now time.Time) []Effect {
	return h.write(now, &Write{Lease: &cardamomyokev1.Lease{LengthMs: h.length.Milliseconds()}, Version: h.row.Version, Fence: h.row.Fence})
}

// Tick advances the state machine to now.
func (h *Contender) Tick(now time.Time) []Effect {
	if h.machine.State() == stateHeld && !h.held.ValidAt(now) {
		h.lapse()
	}
	if !h.callStartedAt.IsZero() && now.Sub(h.callStartedAt) < h.length/callTimeoutDivisor {
		return nil
	}
	acquireNow := h.machine.State() == stateWatching && h.expired(now)
	if now.Before(h.nextCallAt) && !acquireNow {
		return nil
	}
	switch h.machine.State() {
	case stateHeld:
		h.renewalCount++
		return h.write(now, &Write{Lease: h.ownLease(), Version: h.row.Version, Fence: h.row.Fence})
	case stateWatching:
		if h.expired(now) {
			h.fire(evExpired)
			h.renewalCount = 0
			return h.write(now, &Write{Lease: h.ownLease(), Version: h.row.Version, Fence: h.row.Fence, NewFence: true})
		}
		return h.read(now)
	case stateAcquiring:
		return h.read(now) // the response to the write is lost; the row shows the outcome
	}
	return nil
}

func (h *Contender) lapse() {
	h.held = HeldLease{}
	h.unchangedSince = time.Time{}
	h.fire(evLapsed)
}

func (h *Contender) ownLease() *cardamomyokev1.Lease {
	return &cardamomyokev1.Lease{
		Holder: h.name, Incarnation: string(h.incarnation), LengthMs: h.length.Milliseconds(), Renewals: h.renewalCount,
	}
}

// expired reports whether the duty may be acquired: the row names no holder, its holder is known to be dead, or the lease
// has expired by this node's own clock.
func (h *Contender) expired(now time.Time) bool {
	if h.unchangedSince.IsZero() {
		return false // not read yet
	}
	if h.row.Lease.GetHolder() == "" {
		return true
	}
	if h.holderDead != nil && !h.renewedRecently(now) && h.holderDead(h.row.Lease.GetHolder(), ids.Incarnation(h.row.Lease.GetIncarnation())) {
		return true
	}
	length := time.Duration(h.row.Lease.GetLengthMs()) * time.Millisecond
	return now.Sub(h.unchangedSince) > length+length/marginDivisor
}

// renewedRecently reports whether the holder has written the row within renewalTimeout.
//
// Two nodes that do not reach each other but both reach the table would mistake each other for dead and acquire the duty
// from each other again and again. A row that changes proves that its holder is alive.
func (h *Contender) renewedRecently(now time.Time) bool {
	return !h.changedAt.IsZero() && now.Sub(h.changedAt) < h.renewalTimeout()
}

// renewalTimeout returns the time within which a live holder renews its lease.
func (h *Contender) renewalTimeout() time.Duration { return h.length / renewalsPerLength * 3 / 2 }

// recordRow records the present state of the rows. A change of era is no sign of life of the holder.
func (h *Contender) recordRow(now time.Time, row Row) {
	newEra := row.Version.Era != h.row.Version.Era
	if row.Version != h.row.Version {
		h.restored = newEra && !h.readAt.IsZero()
	}
	if row.Version != h.row.Version && !newEra && now.Sub(h.readAt) < h.renewalTimeout() && !h.isOwn(row.Lease) {
		h.changedAt = now
	}
	h.row, h.readAt = row, now
}

func (h *Contender) startCall(now time.Time) {
	h.callStartedAt = now
	h.callID++
	h.nextCallAt = now.Add(h.length/renewalsPerLength - time.Duration(h.rng.Int64N(int64(h.length/renewalsPerLength/marginDivisor)+1)))
}

func (h *Contender) read(now time.Time) []Effect {
	h.startCall(now)
	return []Effect{&Read{}}
}

func (h *Contender) write(now time.Time, w *Write) []Effect {
	h.startCall(now)
	h.releasing = w.Lease.GetHolder() == ""
	return []Effect{w}
}

// CallID identifies the call that the last effect requested. The owner passes it to OnRead or OnWrite with the result.
func (h *Contender) CallID() uint64 { return h.callID }

// OnRead processes the result of a Read; ok is false if the rows could not be read.
func (h *Contender) OnRead(now time.Time, call uint64, row Row, ok bool) []Effect {
	if call != h.callID {
		return nil
	}
	h.callStartedAt = time.Time{}
	if !ok {
		return nil
	}
	if h.unchangedSince.IsZero() || row.Version != h.row.Version || row.Fence != h.row.Fence {
		h.unchangedSince = now
	}
	h.recordRow(now, row)
	if !h.wanted {
		return h.releaseOwn(now)
	}
	switch h.machine.State() {
	case stateAcquiring:
		// A takeover whose response was lost counts as refused, even if the row names this incarnation, because it is not
		// known when the write took effect. The lease expires like that of another node and is then acquired again.
		h.fire(evRefused)
	case stateHeld:
		h.verifyHolder()
		return nil
	}
	if h.machine.State() == stateWatching && h.expired(now) {
		h.nextCallAt = now
		return h.Tick(now)
	}
	return nil
}

// releaseOwn releases the duty if the rows name this incarnation although it does not want the duty: a write that was in flight
// took effect after it had stopped to want it.
func (h *Contender) releaseOwn(now time.Time) []Effect {
	if !h.isOwn(h.row.Lease) {
		return nil
	}
	return h.release(now)
}

// verifyHolder drops the held duty unless the rows name this incarnation with the held fencing token.
func (h *Contender) verifyHolder() {
	if h.isOwn(h.row.Lease) && h.row.Fence == platform.PositionOfFence(h.held.Fence) {
		return
	}
	h.held = HeldLease{}
	h.fire(evRefused)
}

// WriteResult is the outcome of Write.
type WriteResult struct {
	// OK is set if the write took effect.
	OK bool
	// Version and Fence are the new positions of the rows if OK is set.
	Version, Fence platform.Position
	// Conflict is set if the write did not and never will take effect, because the rows have changed.
	Conflict bool
}

// OnWrite processes the outcome of a Write. The outcome is unknown if neither OK nor Conflict is set.
func (h *Contender) OnWrite(now time.Time, call uint64, w WriteResult) []Effect {
	if call != h.callID {
		return nil
	}
	started := h.callStartedAt
	h.callStartedAt = time.Time{}
	switch {
	case h.releasing && w.Conflict && !h.wanted:
		return h.read(now)
	case h.releasing:
		return nil
	case w.OK && !h.wanted:
		h.recordRow(now, Row{h.ownLease(), w.Version, w.Fence})
		return h.release(now)
	case w.OK:
		h.recordRow(now, Row{h.ownLease(), w.Version, w.Fence})
		h.unchangedSince = now
		h.fire(evAcquired)
		// The lease counts from before the write was sent; other nodes count from when they see it, which is later.
		h.held = HeldLease{h.duty, h.NewestFence(), started.Add(h.length - h.length/marginDivisor)}
		if !h.held.ValidAt(now) {
			h.lapse()
		}
	case h.machine.State() == stateHeld:
		// After a conflict or an unknown outcome, an earlier write of this node may have changed the row. The node keeps the
		// duty until its deadline, which depends on the last write with a known outcome. A read shows the present holder.
		return h.read(now)
	case w.Conflict:
		h.unchangedSince = time.Time{}
		h.fire(evRefused)
		h.nextCallAt = now
	}
	return nil
}
