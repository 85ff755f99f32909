package config

import "time"

// Source gives traffic the configuration in force. It is safe for concurrent use.
type Source interface {
	// Current returns the configuration in force, or nil before there is one.
	Current() *Snapshot
	// Fresh reports whether the node can know that Current is in force; if not it must take no new work.
	Fresh(now time.Time) bool
}

// Static is a Source that never changes, for tests and measurements.
type Static struct{ Snapshot *Snapshot }

// Current implements Source.
func (s Static) Current() *Snapshot { return s.Snapshot }

// Fresh implements Source.
func (s Static) Fresh(time.Time) bool { return true }
