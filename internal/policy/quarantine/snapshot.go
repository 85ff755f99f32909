package quarantine

import (
	"time"

	"github.com/cardamomyoke/cardamomyoke/internal/base/failure"
)

// Snapshot is what a Tracker knew at one time, for traffic. It is immutable and safe for concurrent use; nil is one
// that knows nothing.
type Snapshot struct {
	rules    Rules
	suspects map[Fingerprint]Suspect
}

// Snapshot returns what the tracker knows now.
func (t *Tracker) Snapshot() *Snapshot {
	out := &Snapshot{rules: t.rules, suspects: make(map[Fingerprint]Suspect, len(t.suspects))}
	for f, s := range t.suspects {
		out.suspects[f] = s.copy()
	}
	return out
}

// Empty reports whether nothing is known of any request.
func (s *Snapshot) Empty() bool { return s == nil || len(s.suspects) == 0 }

// Known reports whether there is anything about a request; if so, its end has to be told with Tracker.Completed.
func (s *Snapshot) Known(f Fingerprint) bool {
	if s == nil {
		return false
	}
	_, ok := s.suspects[f]
	return ok
}

// Judge returns how to treat a request and, if it is refused, until when.
func (s *Snapshot) Judge(now time.Time, f Fingerprint) (Level, time.Time) {
	if !s.Known(f) {
		return Clear, time.Time{}
	}
	known := s.suspects[f]
	return known.judge(now, s.rules)
}

// Refusal returns the typed answer to a refused request.
func Refusal(now, until time.Time) *failure.Error {
	return failure.New(failure.CodeQuarantined, nil).WithRetryAfter(until.Sub(now))
}

// Listed is one line of an operator's list.
type Listed struct {
	Suspect
	Level Level
	Until time.Time
}

// List returns the suspects that are not clear or have an override, in the order of their fingerprints' news.
func (t *Tracker) List(now time.Time) []Listed {
	var out []Listed
	for _, s := range t.sorted() {
		level, until := s.judge(now, t.rules)
		if level == Clear && !s.Override.Until.After(now) {
			continue
		}
		out = append(out, Listed{s.copy(), level, until})
	}
	return out
}
