package config

import (
	"time"

	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
)

// Source provides request handlers with the configuration in force. It is safe for concurrent use.
type Source interface {
	// Current returns the configuration in force, or nil before there is one.
	Current() *Snapshot
	// Fresh reports whether the node can rely on Current being up to date; if not, it must take no new work.
	Fresh(now time.Time) bool
	// Admits reports whether work that was decided on revision r may start: the node is fresh, and r is not older than the
	// oldest admissible revision. That one follows the revision in force with a delay, so that a replaced revision remains
	// admissible while its successor spreads to all nodes.
	Admits(r ids.Revision, now time.Time) bool
}

// Static is a Source that never changes, for tests and benchmarks.
type Static struct{ Snapshot *Snapshot }

// Current implements Source.
func (s Static) Current() *Snapshot { return s.Snapshot }

// Fresh implements Source.
func (s Static) Fresh(time.Time) bool { return true }

// Admits implements Source.
func (s Static) Admits(r ids.Revision, _ time.Time) bool { return r >= s.Snapshot.Revision() }
