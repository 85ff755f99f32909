package revision

import (
	"time"

	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
	"github.com/cardamomyoke/cardamomyoke/internal/state/config"
)

// View is what traffic and operators see of a node. It is immutable.
type View struct {
	// InForce is the state that new work goes by; nil before the node has one.
	InForce *State
	// FreshUntil is the deadline for new work: after it the node cannot know whether InForce is out of date.
	FreshUntil time.Time
	// TableAt is the time at which the newest read of the table began that this node heard of.
	TableAt time.Time
	// Committed and Accepted are entries that the node knows to be so; Staged is the newest that it holds.
	Committed, Accepted, Staged uint64
	// Pending names the members that hold acceptance back; empty if nothing waits.
	Pending []string
	// Newest is the newest state that the node holds; nil before it has one.
	Newest *State
	floors []floor
}

// floor says since when work on revisions older than this one is refused.
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

// Fresh reports whether the node may take new work. It must be asked for each request, with the time of the request:
// a process that was paused finds the deadline passed when it wakes.
func (v *View) Fresh(now time.Time) bool { return v.Current() != nil && now.Before(v.FreshUntil) }

// Floor returns the oldest revision that work may have been decided on. It follows what is in force by the grace that
// nodes need to put a revision in force, so that work on its way during that time is not refused.
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
