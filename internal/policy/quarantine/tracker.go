package quarantine

import (
	"bytes"
	"cmp"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
	cardamomyokev1 "github.com/cardamomyoke/cardamomyoke/internal/gen/cardamomyoke/v1"
	"github.com/cardamomyoke/cardamomyoke/internal/state/platform"
)

// RowPrefix is the key prefix of the table's rows for refused or overridden requests.
const RowPrefix = "quarantine/"

// RowKey returns the key of a request's row in the table.
func RowKey(f Fingerprint) string { return RowPrefix + f.String() }

// Bounds of a Tracker.
const (
	// evidenceRetention is the time for which a crash counts, beyond the duration of the quarantine.
	evidenceRetention = 15 * time.Minute
	// repeatFor is the time for which a change is repeated in digests.
	repeatFor = 30 * time.Second
	// maxSuspects is the maximum number of requests that a node tracks; those that changed longest ago are dropped
	// first.
	maxSuspects = 8192
	// maxStored is the maximum number of requests in the row that gateways share; those with the most crashes come first.
	maxStored = 128
	// maxRefusedInDigest is the maximum number of refused requests that are still repeated after repeatFor.
	maxRefusedInDigest = 8
)

// Crash is a slot's report of one crash of its upstream.
type Crash struct {
	ID CrashID
	At time.Time
	// Ran lists each request that was running, once, with its client.
	Ran []Running
	// RanAlone is set if the only running request was one that had to run alone.
	RanAlone bool
}

// Running is one request on an upstream.
type Running struct {
	Fingerprint Fingerprint
	Client      ids.Client
}

// Suspects returns the evidence of the crash against each request.
func (c Crash) Suspects() []Suspect {
	out := make([]Suspect, 0, len(c.Ran))
	for _, r := range c.Ran {
		e := Evidence{Crash: c.ID, At: c.At, OnlyRequest: len(c.Ran) == 1, RanAlone: c.RanAlone}
		out = append(out, Suspect{Fingerprint: r.Fingerprint, Client: r.Client, Evidence: []Evidence{e}})
	}
	return out
}

type tracked struct {
	Suspect
	// changedAt is when this node last recorded a change.
	changedAt time.Time
	// storedRow is the row in the table, as this node last read or wrote it.
	storedRow platform.Row
	// saveIssued is set while a Save is in progress or done.
	saveIssued bool
}

// Tracker holds one node's state of suspects. It is not safe for concurrent use: the control goroutine owns it and
// publishes Snapshots.
type Tracker struct {
	rules    Rules
	suspects map[Fingerprint]*tracked
}

// NewTracker returns an empty tracker.
func NewTracker(r Rules) *Tracker {
	return &Tracker{rules: r, suspects: map[Fingerprint]*tracked{}}
}

// SetPeriod changes the duration of a quarantine, also of those that have begun.
func (t *Tracker) SetPeriod(d time.Duration) { t.rules.Period = d }

// Merge merges suspects from another node, a slot's crash report or a row of the table.
func (t *Tracker) Merge(now time.Time, updates ...Suspect) {
	for _, s := range updates {
		old := t.suspects[s.Fingerprint]
		if old == nil {
			old = &tracked{Suspect: Suspect{Fingerprint: s.Fingerprint}}
		}
		if old.merge(t.withoutExpired(now, s)) {
			old.changedAt = now
			old.saveIssued = false
			t.suspects[s.Fingerprint] = old
		}
	}
	t.dropExcess()
}

// withoutExpired returns a copy of s without evidence and overrides that have expired; otherwise two nodes would send a
// forgotten crash back and forth.
func (t *Tracker) withoutExpired(now time.Time, s Suspect) Suspect {
	s = s.copy()
	s.Evidence = slices.DeleteFunc(s.Evidence, func(e Evidence) bool { return t.isExpired(now, e) })
	if !s.Override.Until.After(now) {
		s.Override = Override{}
	}
	return s
}

func (t *Tracker) isExpired(now time.Time, e Evidence) bool {
	return now.Sub(e.At) > t.rules.Period+evidenceRetention
}

// Classify returns the level of a request and, if it is refused, the end of the refusal.
func (t *Tracker) Classify(now time.Time, f Fingerprint) (Level, time.Time) {
	s := t.suspects[f]
	if s == nil {
		return Clear, time.Time{}
	}
	return s.classify(now, t.rules)
}

// Completed records that a request ran to completion on an upstream, which refutes the evidence against it.
func (t *Tracker) Completed(now time.Time, f Fingerprint) {
	s := t.suspects[f]
	if s == nil || !s.clear() {
		return
	}
	s.changedAt = now
	s.saveIssued = false
}

// Override records an operator's decision on a request.
func (t *Tracker) Override(now time.Time, f Fingerprint, o Override) {
	t.Merge(now, Suspect{Fingerprint: f, Override: o})
}

// dropExcess drops the suspects that changed longest ago, refused or not, if there are more than maxSuspects.
func (t *Tracker) dropExcess() {
	if len(t.suspects) <= maxSuspects {
		return
	}
	all := t.sorted()
	for _, s := range all[maxSuspects:] {
		delete(t.suspects, s.Fingerprint)
	}
}

// sorted returns all suspects, the most recently changed first.
func (t *Tracker) sorted() []*tracked {
	all := make([]*tracked, 0, len(t.suspects))
	for _, s := range t.suspects {
		all = append(all, s)
	}
	slices.SortFunc(all, func(a, b *tracked) int {
		if c := b.changedAt.Compare(a.changedAt); c != 0 {
			return c
		}
		return slices.Compare(a.Fingerprint[:], b.Fingerprint[:])
	})
	return all
}

// Expire drops expired evidence and the suspects that have neither evidence nor an override left.
func (t *Tracker) Expire(now time.Time) {
	for f, s := range t.suspects {
		s.Evidence = slices.DeleteFunc(s.Evidence, func(e Evidence) bool { return t.isExpired(now, e) })
		if len(s.Evidence) == 0 && !s.Override.Until.After(now) {
			delete(t.suspects, f)
		}
	}
}

// Stored returns what a gateway that starts must know, sorted by fingerprint: the requests against which crashes count, and those with
// an override.
func (t *Tracker) Stored(now time.Time) []Suspect {
	var out []Suspect
	for _, s := range t.sorted() {
		if s.crashes() > 0 || s.Override.Until.After(now) {
			out = append(out, s.copy())
		}
	}
	slices.SortStableFunc(out, func(a, b Suspect) int { return cmp.Compare(b.crashes(), a.crashes()) })
	out = out[:min(len(out), maxStored)]
	slices.SortFunc(out, func(a, b Suspect) int { return slices.Compare(a.Fingerprint[:], b.Fingerprint[:]) })
	return out
}

func (s *Suspect) crashes() int {
	n, _, _, _ := s.countCrashes()
	return n
}

// Digest returns up to limit suspects for the other nodes: those that changed recently, then a few that are refused.
func (t *Tracker) Digest(now time.Time, limit int) []Suspect {
	var out []Suspect
	refused := 0
	for _, s := range t.sorted() {
		if len(out) >= limit {
			break
		}
		if now.Sub(s.changedAt) > repeatFor {
			level, _ := s.classify(now, t.rules)
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

// Save is a row to be written to the table, provided that the version there still is that in Check. The caller then
// calls Saved or SaveFailed.
type Save struct {
	Fingerprint Fingerprint
	Check       platform.Check
	Put         platform.Put
}

// Unsaved returns the rows to be written: those of requests that are refused, overridden or in the table already, if
// they changed since the last Save. Each is returned once; after a conflict or an outage the caller calls SaveFailed.
func (t *Tracker) Unsaved(now time.Time) []Save {
	var out []Save
	for _, s := range t.sorted() {
		level, _ := s.classify(now, t.rules)
		persist := level == Refused || s.Override.Until.After(now) || s.storedRow.Version > 0
		if s.saveIssued || !persist {
			continue
		}
		s.saveIssued = true
		value, err := proto.MarshalOptions{Deterministic: true}.Marshal(s.Proto())
		if err != nil {
			continue // A client name that is not UTF-8, which config rejects.
		}
		if s.storedRow.Version > 0 && bytes.Equal(value, s.storedRow.Value) {
			continue
		}
		key := RowKey(s.Fingerprint)
		out = append(out, Save{
			Fingerprint: s.Fingerprint,
			Check:       platform.CheckAt(key, s.storedRow.Position()),
			Put:         platform.Put{Key: key, Value: value},
		})
	}
	return out
}

// Saved records the row in the table after a Save; version 0 if there is none.
func (t *Tracker) Saved(f Fingerprint, row platform.Row) {
	if s := t.suspects[f]; s != nil {
		s.storedRow = row
	}
}

// SaveFailed records that the table did not accept a Save; Unsaved returns the row again.
func (t *Tracker) SaveFailed(f Fingerprint) {
	if s := t.suspects[f]; s != nil {
		s.saveIssued = false
	}
}

// Load merges a row of the table: at the start, after a conflict or in a periodic read. Errors: *RowError.
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
		old.storedRow = row
	}
	return nil
}

// RowError reports a row of the table that cannot be read.
type RowError struct {
	Key   string
	Cause error
}

// Error implements error.
func (e *RowError) Error() string { return "quarantine: row " + e.Key + ": " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *RowError) Unwrap() error { return e.Cause }
