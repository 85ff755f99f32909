package config

import (
	"time"

	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
)

// Source gives traffic the configuration in force. It is safe for concurrent use.
type Source interface {
	// Current returns the configuration in force, or nil before there is one.
	Current() *Snapshot
	// Fresh reports whether the node can know that Current is in force; if not it must take no new work.
	Fresh(now time.Time) bool
	// Admits reports whether work may start that was decided on the given revision: the node is fresh, and the revision
	// is not older than what is in force, but for the time that it takes to reach all nodes.
	Admits(r ids.Revision, now time.Time) bool
}

// Static is a Source that never changes, for tests and measurements.
type Static struct{ Snapshot *Snapshot }

// Current implements Source.
func (s Static) Current() *Snapshot { return s.Snapshot }

// Fresh implements Source.
func (s Static) Fresh(time.Time) bool { return true }

// Admits implements Source.
func (s Static) Admits(r ids.Revision, _ time.Time) bool { return r >= s.Snapshot.Revision() }
