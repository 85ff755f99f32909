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
	// prefixNumber is that of rows whose versions are numbers drawn for a duty; see manager.AllocateFence.
	prefixNumber = "numbers/"
	// renewalsPerLength are the tries that fit into one length.
	renewalsPerLength = 3
	// marginDivisor is the part of the length by which the holder stops early, and others wait longer.
	marginDivisor = 8
	// callTimeoutDivisor is after which part of the length a call counts as lost.
	callTimeoutDivisor = 2
)

// Duty names what is to be done by one node at a time.
type Duty string

// Key returns the key of the lease's row.
func (d Duty) Key() string { return prefixLease + string(d) }

// FenceKey returns the key of the row whose version is the fencing number.
func (d Duty) FenceKey() string { return prefixFence + string(d) }

// NumberKey returns the key of the row whose versions are the numbers drawn for the duty.
func (d Duty) NumberKey() string { return prefixNumber + string(d) }

// FenceCheck returns the check that a table write of the duty must name: it fails once there is a later holder.
func FenceCheck(d Duty, f ids.Fence) platform.Check {
	return platform.Check{Key: d.FenceKey(), Version: uint64(f)}
}

// Candidates returns the n names that should want a duty, best first. Each node works it out for itself; they need not
// agree, as only the table decides.
func Candidates(d Duty, names []string, n int) []string {
	out := slices.Clone(names)
	weight := func(name string) uint64 { return xxhash.Sum64String(string(d) + "/" + name) }
	slices.SortFunc(out, func(a, b string) int { return cmp.Or(cmp.Compare(weight(a), weight(b)), cmp.Compare(a, b)) })
	return out[:min(n, len(out))]
}

// Row is the lease as a read shows it. Version 0 of either row means that it does not exist.
type Row struct {
	Lease   *cardamomyokev1.Lease
	Version uint64
	Fence   uint64
}

// Effect is what the owner of a Holder must do; the pointer types below are all there are.
type Effect interface{ effect() }

// Read reads both rows and calls OnRead.
type Read struct{}

// Write commits Lease on condition that the rows have these versions, and calls OnWrite. With NewFence it also writes
// the row of the fencing number, whose new version is the number.
type Write struct {
	Lease    *cardamomyokev1.Lease
	Version  uint64
	Fence    uint64
	NewFence bool
}

func (*Read) effect()  {}
func (*Write) effect() {}

// HeldLease is a duty that a node holds. The zero value is none.
type HeldLease struct {
	Duty  Duty
	Fence ids.Fence
	// Until is the deadline on the node's own monotonic clock.
	Until time.Time
}

// ValidAt reports whether the duty is held at the given time. It is asked before each deed.
func (h HeldLease) ValidAt(now time.Time) bool { return now.Before(h.Until) }

// Holder is one node's part in one lease. It does no I/O, reads no clock, and is not safe for concurrent use.
type Holder struct {
	duty        Duty
	name        string
	incarnation ids.Incarnation
	length      time.Duration
	rng         *rand.Rand
	machine     charts.Machine
	wanted      bool

	row            Row
	unchangedSince time.Time // when row was first seen as it is
	held           HeldLease
	renewalCount   uint64

	callStartedAt time.Time // when the call under way began; zero if none is
	nextCallAt    time.Time
	callID        uint64 // counts calls, so that an answer given up on is known
	releasing     bool   // the call under way gives the duty back
	// holderDead tells of a holder that is known to have ended; nil if that is never known.
	holderDead func(holder string, life ids.Incarnation) bool
	// readAt is when the row was known last, changedAt when another holder was last seen to have written it.
	readAt, changedAt time.Time
}

// SetHolderDead lets the duty be taken over before the lease is over from a holder that is known to have ended. It is for
// duties whose safety does not rest on the lease: a holder that only seems to have ended is doubled until it hears.
func (h *Holder) SetHolderDead(ended func(holder string, life ids.Incarnation) bool) {
	h.holderDead = ended
}

// NewHolder returns a holder that does not want the duty yet.
func NewHolder(d Duty, name string, life ids.Incarnation, length time.Duration, rng *rand.Rand) *Holder {
	return &Holder{duty: d, name: name, incarnation: life, length: length, rng: rng, machine: chart.Start()}
}

// Held returns what this node holds; ask its ValidAt with the time of each deed.
func (h *Holder) Held() HeldLease { return h.held }

// NewestFence returns the newest fencing number that the rows were seen to have.
func (h *Holder) NewestFence() ids.Fence { return ids.Fence(h.row.Fence) }

// NewestFenceOfOthers is NewestFence unless the rows name this very life as the holder; then it is 0.
func (h *Holder) NewestFenceOfOthers() ids.Fence {
	if h.isOwn(h.row.Lease) {
		return 0
	}
	return h.NewestFence()
}

func (h *Holder) isOwn(l *cardamomyokev1.Lease) bool {
	return l.GetHolder() == h.name && l.GetIncarnation() == string(h.incarnation)
}

// PendingFor returns for how long the call under way has waited for its answer; 0 if there is none.
func (h *Holder) PendingFor(now time.Time) time.Duration {
	if h.callStartedAt.IsZero() {
		return 0
	}
	return now.Sub(h.callStartedAt)
}

// State returns the state in the chart.
func (h *Holder) State() charts.State { return h.machine.State() }

func (h *Holder) fire(ev charts.Event) {
	// The chart declares each of these events, so Fire cannot fail.
	_, _ = h.machine.Fire(ev)
}

// SetWanted says whether this node wants the duty. A duty that is held is given back at once.
func (h *Holder) SetWanted(now time.Time, want bool) []Effect {
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
	return h.write(now, &Write{Lease: &cardamomyokev1.Lease{LengthMs: h.length.Milliseconds()}, Version: h.row.Version, Fence: h.row.Fence})
}

// Tick lets time pass.
func (h *Holder) Tick(now time.Time) []Effect {
	if h.machine.State() == stateHeld && !h.held.ValidAt(now) {
		h.lapse()
	}
	if !h.callStartedAt.IsZero() && now.Sub(h.callStartedAt) < h.length/callTimeoutDivisor {
		return nil
	}
	takeNow := h.machine.State() == stateWatching && h.expired(now)
	if now.Before(h.nextCallAt) && !takeNow {
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
		return h.read(now) // the answer is lost: the row tells
	}
	return nil
}

func (h *Holder) lapse() {
	h.held = HeldLease{}
	h.unchangedSince = time.Time{}
	h.fire(evLapsed)
}

func (h *Holder) ownLease() *cardamomyokev1.Lease {
	return &cardamomyokev1.Lease{
		Holder: h.name, Incarnation: string(h.incarnation), LengthMs: h.length.Milliseconds(), Renewals: h.renewalCount,
	}
}

// expired reports whether the holder that the row names has stopped, by this node's own clock.
func (h *Holder) expired(now time.Time) bool {
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

// renewedRecently reports whether the holder has written the row within the time of a renewal.
//
// Two nodes that do not hear each other, and that the table answers, would take each other for ended and depose each other
// again and again. A row that changes proves that its holder lives.
func (h *Holder) renewedRecently(now time.Time) bool {
	return !h.changedAt.IsZero() && now.Sub(h.changedAt) < h.renewalTimeout()
}

// renewalTimeout is within which time a holder that lives renews.
func (h *Holder) renewalTimeout() time.Duration { return h.length / renewalsPerLength * 3 / 2 }

// recordRow takes in the row as it is now.
func (h *Holder) recordRow(now time.Time, row Row) {
	if row.Version != h.row.Version && now.Sub(h.readAt) < h.renewalTimeout() && !h.isOwn(row.Lease) {
		h.changedAt = now
	}
	h.row, h.readAt = row, now
}

func (h *Holder) startCall(now time.Time) {
	h.callStartedAt = now
	h.callID++
	h.nextCallAt = now.Add(h.length/renewalsPerLength - time.Duration(h.rng.Int64N(int64(h.length/renewalsPerLength/marginDivisor)+1)))
}

func (h *Holder) read(now time.Time) []Effect {
	h.startCall(now)
	return []Effect{&Read{}}
}

func (h *Holder) write(now time.Time, w *Write) []Effect {
	h.startCall(now)
	h.releasing = w.Lease.GetHolder() == ""
	return []Effect{w}
}

// CallID identifies the call that the last effect asked for; its answer must bring it back.
func (h *Holder) CallID() uint64 { return h.callID }

// OnRead takes the rows; ok is false if they could not be read.
func (h *Holder) OnRead(now time.Time, call uint64, row Row, ok bool) []Effect {
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
	switch h.machine.State() {
	case stateAcquiring:
		// A takeover whose answer was lost counts as refused, even if the row names this very life: it is not known
		// when the write took effect. The row expires like any other's, and is taken over again.
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

// verifyHolder gives the duty up if the rows name another holder.
func (h *Holder) verifyHolder() {
	if h.isOwn(h.row.Lease) && h.row.Fence == uint64(h.held.Fence) {
		return
	}
	h.held = HeldLease{}
	h.fire(evRefused)
}

// WriteResult is the outcome of Write.
type WriteResult struct {
	// OK: the write took effect, and these are the versions of the rows now.
	OK             bool
	Version, Fence uint64
	// Conflict: it did not and never will, as the rows have changed.
	Conflict bool
}

// OnWrite takes the outcome of a Write. Neither OK nor Conflict means that it is not known.
func (h *Holder) OnWrite(now time.Time, call uint64, w WriteResult) []Effect {
	if call != h.callID {
		return nil
	}
	started := h.callStartedAt
	h.callStartedAt = time.Time{}
	if h.releasing {
		return nil
	}
	switch {
	case w.OK:
		h.recordRow(now, Row{h.ownLease(), w.Version, w.Fence})
		h.unchangedSince = now
		h.fire(evAcquired)
		// From before the write was sent: the others count from when they see it, which is later.
		h.held = HeldLease{h.duty, ids.Fence(w.Fence), started.Add(h.length - h.length/marginDivisor)}
		if !h.held.ValidAt(now) {
			h.lapse()
		}
	case h.machine.State() == stateHeld:
		// Whether it conflicts or is not known, an earlier write of this node may be what changed the row. What is held
		// stays held until its deadline, which rests on the last write that is known; a read tells who holds it now.
		return h.read(now)
	case w.Conflict:
		h.unchangedSince = time.Time{}
		h.fire(evRefused)
		h.nextCallAt = now
	}
	return nil
}
