package quarantine

import (
	"bytes"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
	cardamomyokev1 "github.com/cardamomyoke/cardamomyoke/internal/gen/cardamomyoke/v1"
	"github.com/cardamomyoke/cardamomyoke/internal/state/platform"
)

// RowPrefix starts the table's key of each refused or overridden request.
const RowPrefix = "quarantine/"

// RowKey returns the table's key of a request.
func RowKey(f Fingerprint) string { return RowPrefix + f.String() }

// Bounds of a Tracker.
const (
	// evidenceMemory is for how long a crash counts, beyond the quarantine's length.
	evidenceMemory = 15 * time.Minute
	// freshFor is for how long news are repeated in digests.
	freshFor = 30 * time.Second
	// maxSuspects is the most requests that a node keeps; the oldest news go first.
	maxSuspects = 8192
	// maxRefusedInDigest is the most refused requests that are repeated once their news are old.
	maxRefusedInDigest = 8
)

// Crash is a slot's report of one death of its upstream.
type Crash struct {
	ID CrashID
	At time.Time
	// Ran holds each request that ran then, once, with its client.
	Ran []Running
	// Probe is set if a suspect ran that had to run alone.
	Probe bool
}

// Running is one request on an upstream.
type Running struct {
	Fingerprint Fingerprint
	Client      ids.Client
}

// Suspects returns what the crash says of each request.
func (c Crash) Suspects() []Suspect {
	out := make([]Suspect, 0, len(c.Ran))
	for _, r := range c.Ran {
		e := Evidence{Crash: c.ID, At: c.At, Lone: len(c.Ran) == 1, Probe: c.Probe}
		out = append(out, Suspect{Fingerprint: r.Fingerprint, Client: r.Client, Evidence: []Evidence{e}})
	}
	return out
}

type tracked struct {
	Suspect
	// changed is when this node learned something new.
	changed time.Time
	// saved is what the table holds, as far as this node knows.
	saved platform.Row
	// offered is set while a Save is under way or done.
	offered bool
}

// Tracker holds what one node knows of suspects. It is not safe for concurrent use: the control goroutine owns it and
// publishes Snapshots.
type Tracker struct {
	rules    Rules
	suspects map[Fingerprint]*tracked
}

// NewTracker returns an empty tracker.
func NewTracker(r Rules) *Tracker {
	return &Tracker{rules: r, suspects: map[Fingerprint]*tracked{}}
}

// SetPeriod changes the length of a quarantine, also of those that have begun.
func (t *Tracker) SetPeriod(d time.Duration) { t.rules.Period = d }

// Merge takes in what another node, a slot's crash report or a row of the table says.
func (t *Tracker) Merge(now time.Time, news ...Suspect) {
	for _, s := range news {
		old := t.suspects[s.Fingerprint]
		if old == nil {
			old = &tracked{Suspect: Suspect{Fingerprint: s.Fingerprint}}
		}
		if old.merge(t.recent(now, s)) {
			old.changed = now
			old.offered = false
			t.suspects[s.Fingerprint] = old
		}
	}
	t.bound()
}

// recent returns s without what is too old to count; otherwise two nodes would hand a forgotten crash to and fro.
func (t *Tracker) recent(now time.Time, s Suspect) Suspect {
	s = s.copy()
	s.Evidence = slices.DeleteFunc(s.Evidence, func(e Evidence) bool { return t.old(now, e) })
	if !s.Override.Until.After(now) {
		s.Override = Override{}
	}
	return s
}

func (t *Tracker) old(now time.Time, e Evidence) bool {
	return now.Sub(e.At) > t.rules.Period+evidenceMemory
}

// Judge returns how to treat a request and, if it is refused, until when.
func (t *Tracker) Judge(now time.Time, f Fingerprint) (Level, time.Time) {
	s := t.suspects[f]
	if s == nil {
		return Clear, time.Time{}
	}
	return s.judge(now, t.rules)
}

// Completed says that a request ran to its end on some upstream: what stood against it is refuted.
func (t *Tracker) Completed(now time.Time, f Fingerprint) {
	s := t.suspects[f]
	if s == nil || !s.clear() {
		return
	}
	s.changed = now
	s.offered = false
}

// Override records an operator's decision on a request.
func (t *Tracker) Override(now time.Time, f Fingerprint, o Override) {
	t.Merge(now, Suspect{Fingerprint: f, Override: o})
}

// bound drops what changed longest ago, refused or not, once there is too much.
func (t *Tracker) bound() {
	if len(t.suspects) <= maxSuspects {
		return
	}
	all := t.sorted()
	for _, s := range all[maxSuspects:] {
		delete(t.suspects, s.Fingerprint)
	}
}

// sorted returns all suspects, the latest news first.
func (t *Tracker) sorted() []*tracked {
	all := make([]*tracked, 0, len(t.suspects))
	for _, s := range t.suspects {
		all = append(all, s)
	}
	slices.SortFunc(all, func(a, b *tracked) int {
		if c := b.changed.Compare(a.changed); c != 0 {
			return c
		}
		return slices.Compare(a.Fingerprint[:], b.Fingerprint[:])
	})
	return all
}

// Expire forgets what is too old to count.
func (t *Tracker) Expire(now time.Time) {
	for f, s := range t.suspects {
		s.Evidence = slices.DeleteFunc(s.Evidence, func(e Evidence) bool { return t.old(now, e) })
		if len(s.Evidence) == 0 && !s.Override.Until.After(now) {
			delete(t.suspects, f)
		}
	}
}

// Digest returns up to limit suspects for the other nodes: the latest news first, then a few that are refused.
func (t *Tracker) Digest(now time.Time, limit int) []Suspect {
	var out []Suspect
	refused := 0
	for _, s := range t.sorted() {
		if len(out) >= limit {
			break
		}
		if now.Sub(s.changed) > freshFor {
			level, _ := s.judge(now, t.rules)
			if level != Refused || refused >= maxRefusedInDigest {
				continue
			}
			refused++
		}
		out = append(out, s.copy())
	}
	return out
}

func (s *Suspect) copy() Suspect {
	c := *s
	c.Evidence = slices.Clone(s.Evidence)
	return c
}

// Save is a row of the table to write, on condition that it has Version; then tell Saved.
type Save struct {
	Fingerprint Fingerprint
	Check       platform.Check
	Put         platform.Put
}

// Unsaved returns the rows that are due: requests that are refused or overridden, with news since the last Save. Each
// is returned once; after a conflict or an outage call SaveFailed.
func (t *Tracker) Unsaved(now time.Time) []Save {
	var out []Save
	for _, s := range t.sorted() {
		level, _ := s.judge(now, t.rules)
		lasting := level == Refused || s.Override.Until.After(now) || s.saved.Version > 0
		if s.offered || !lasting {
			continue
		}
		s.offered = true
		value, err := proto.MarshalOptions{Deterministic: true}.Marshal(s.Proto())
		if err != nil {
			continue // A client name that is not UTF-8, which config refuses.
		}
		if s.saved.Version > 0 && bytes.Equal(value, s.saved.Value) {
			continue
		}
		key := RowKey(s.Fingerprint)
		out = append(out, Save{
			Fingerprint: s.Fingerprint,
			Check:       platform.Check{Key: key, Version: s.saved.Version},
			Put:         platform.Put{Key: key, Value: value},
		})
	}
	return out
}

// Saved says which row the table holds after a Save; version 0 if it holds none.
func (t *Tracker) Saved(f Fingerprint, row platform.Row) {
	if s := t.suspects[f]; s != nil {
		s.saved = row
	}
}

// SaveFailed says that the table did not take a Save; it becomes due again.
func (t *Tracker) SaveFailed(f Fingerprint) {
	if s := t.suspects[f]; s != nil {
		s.offered = false
	}
}

// Load takes in a row of the table: at the start, after a conflict, or on a regular look. Errors: *RowError.
func (t *Tracker) Load(now time.Time, row platform.Row) error {
	m := &cardamomyokev1.Suspect{}
	if err := proto.Unmarshal(row.Value, m); err != nil {
		return &RowError{row.Key, err}
	}
	s, err := SuspectFromProto(m)
	if err != nil {
		return &RowError{row.Key, err}
	}
	t.Merge(now, s)
	if old := t.suspects[s.Fingerprint]; old != nil {
		old.saved = row
	}
	return nil
}

// RowError says that a row of the table cannot be read.
type RowError struct {
	Key   string
	Cause error
}

// Error implements error.
func (e *RowError) Error() string { return "quarantine: row " + e.Key + ": " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *RowError) Unwrap() error { return e.Cause }
