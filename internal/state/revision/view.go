package revision

import (
	"time"

	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
	"github.com/cardamomyoke/cardamomyoke/internal/state/config"
)

// View is a snapshot of a node for request handlers and operators. It is immutable.
type View struct {
	// InForce is the state that applies to new work; nil before the node has one.
	InForce *State
	// FreshUntil is the deadline for new work: after it InForce may be out of date and the node cannot detect that.
	FreshUntil time.Time
	// TableReadAt is when the newest table read began that this node is aware of.
	TableReadAt time.Time
	// Committed and Accepted are the newest log entries that the node knows to be committed and accepted; Staged is the
	// newest log entry that it holds.
	Committed, Accepted, Staged uint64
	// Pending names the nodes that acceptance waits for; empty if no log entry is pending.
	Pending []string
	// Newest is the newest state that the node holds; nil before it has one.
	Newest *State
	floors []floor
}

// floor is a revision and the time from which work on older revisions is refused.
type floor struct {
	revision ids.Revision
	since    time.Time
}

// Current returns the configuration in force, or nil.
func (v *View) Current() *config.Snapshot {
	if v == nil || v.InForce == nil {
		return nil
	}
	return v.InForce.Config
}

// Fresh reports whether the node may take new work. Callers must check it for each request, with the time of the request,
// so that a process that was paused notices on resuming that the deadline has passed.
func (v *View) Fresh(now time.Time) bool { return v.Current() != nil && now.Before(v.FreshUntil) }

// Floor returns the oldest revision on which admissible work may have been decided. It follows the revision in force with a
// delay of ForceAfter, the time that nodes need to put a revision in force, so that work in transit is not refused.
func (v *View) Floor(now time.Time) ids.Revision {
	var out ids.Revision
	for _, f := range v.floors {
		if !now.Before(f.since) {
			out = f.revision
		}
	}
	return out
}

// Admits reports whether a slot may start work that was decided on the given revision.
func (v *View) Admits(r ids.Revision, now time.Time) bool { return v.Fresh(now) && r >= v.Floor(now) }
