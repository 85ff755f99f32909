package quarantine

import (
	"time"

	"github.com/cardamomyoke/cardamomyoke/internal/base/failure"
)

// Snapshot is an immutable copy of a Tracker's state for request handling. It is safe for concurrent use; nil is an
// empty snapshot.
type Snapshot struct {
	rules    Rules
	suspects map[Fingerprint]Suspect
}

// Snapshot returns a copy of the current state.
func (t *Tracker) Snapshot() *Snapshot {
	out := &Snapshot{rules: t.rules, suspects: make(map[Fingerprint]Suspect, len(t.suspects))}
	for f, s := range t.suspects {
		out.suspects[f] = s.copy()
	}
	return out
}

// Empty reports whether the snapshot has no state of any request.
func (s *Snapshot) Empty() bool { return s == nil || len(s.suspects) == 0 }

// Contains reports whether the snapshot has state of a request. If it has, Tracker.Completed must be called when the
// request completes.
func (s *Snapshot) Contains(f Fingerprint) bool {
	if s == nil {
		return false
	}
	_, ok := s.suspects[f]
	return ok
}

// Classify returns the level of a request and, if it is refused, the end of the refusal.
func (s *Snapshot) Classify(now time.Time, f Fingerprint) (Level, time.Time) {
	if !s.Contains(f) {
		return Clear, time.Time{}
	}
	known := s.suspects[f]
	return known.classify(now, s.rules)
}

// Refusal returns the typed error for a refused request.
func Refusal(now, until time.Time) *failure.Error {
	return failure.New(failure.CodeQuarantined, nil).WithRetryAfter(until.Sub(now))
}

// ListEntry describes one request in an operator's list of suspects.
type ListEntry struct {
	Suspect
	Level Level
	Until time.Time
}

// List returns the suspects that are not clear or have an override, the most recently changed first.
func (t *Tracker) List(now time.Time) []ListEntry {
	var out []ListEntry
	for _, s := range t.sorted() {
		level, until := s.classify(now, t.rules)
		if level == Clear && !s.Override.Until.After(now) {
			continue
		}
		out = append(out, ListEntry{s.copy(), level, until})
	}
	return out
}
