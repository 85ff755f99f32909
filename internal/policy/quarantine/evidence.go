package quarantine

import (
	"cmp"
	"slices"
	"time"

	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
	cardamomyokev1 "github.com/cardamomyoke/cardamomyoke/internal/gen/cardamomyoke/v1"
)

// maxEvidence is the maximum number of crashes that are kept for one request; the newest are kept.
const maxEvidence = 16

// Level determines how a request is treated.
type Level int

// The levels, from harmless to refused.
const (
	// Clear: like any other request.
	Clear Level = iota
	// Suspected: together with other requests, but only one suspect at a time on an upstream.
	Suspected
	// Alone: only while nothing else is running on its upstream.
	Alone
	// Refused: the request is not run.
	Refused
)

// String implements fmt.Stringer.
func (l Level) String() string {
	return [...]string{"clear", "suspected", "alone", "refused"}[l]
}

// Evidence records that a request was running on an upstream when it crashed.
type Evidence struct {
	Crash CrashID
	// At is the time of the crash by the slot's clock.
	At time.Time
	// OnlyRequest is set if nothing else was running.
	OnlyRequest bool
	// RanAlone is set if nothing else was running because the request had to run alone. This evidence suffices to
	// refuse the request, also on a node that has no evidence of the earlier crashes.
	RanAlone bool
	// Cleared is set once the request has run to completion.
	Cleared bool
}

// Override is an operator's decision on a request. Of two overrides the one with the later Stamp applies.
type Override struct {
	Kind     cardamomyokev1.OverrideKind
	Until    time.Time
	Stamp    time.Time
	Operator string
}

// Suspect is the recorded state of one request.
type Suspect struct {
	Fingerprint Fingerprint
	Client      ids.Client
	// Evidence is sorted by time and crash.
	Evidence []Evidence
	Override Override
}

// merge adds another node's state of the request and reports whether the evidence or the override changed. The result
// does not depend on the sequence of merges: evidence is a union in which Cleared is never unset, and the later
// override is kept.
func (s *Suspect) merge(in Suspect) bool {
	changed := false
	for _, e := range in.Evidence {
		changed = s.add(e) || changed
	}
	if in.Override.Stamp.After(s.Override.Stamp) {
		s.Override = in.Override
		changed = true
	}
	if s.Client == "" && in.Client != "" {
		s.Client = in.Client
	}
	return changed
}

func (s *Suspect) add(e Evidence) bool {
	i := slices.IndexFunc(s.Evidence, func(old Evidence) bool { return old.Crash == e.Crash })
	if i >= 0 {
		changed := e.Cleared && !s.Evidence[i].Cleared
		s.Evidence[i].Cleared = s.Evidence[i].Cleared || e.Cleared
		s.moveTo(i, e.At)
		return changed
	}
	at, _ := slices.BinarySearchFunc(s.Evidence, e, byTime)
	if len(s.Evidence) >= maxEvidence && at == 0 {
		return false
	}
	s.Evidence = slices.Insert(s.Evidence, at, e)
	if len(s.Evidence) > maxEvidence {
		s.Evidence = slices.Delete(s.Evidence, 0, 1)
	}
	return true
}

// moveTo sets the time of the crash with the index to an earlier one, so that nodes that noticed it at different times agree.
func (s *Suspect) moveTo(i int, at time.Time) {
	if at.Before(s.Evidence[i].At) {
		s.Evidence[i].At = at
		slices.SortFunc(s.Evidence, byTime)
	}
}

func byTime(a, b Evidence) int {
	return cmp.Or(a.At.Compare(b.At), cmp.Compare(a.Crash, b.Crash))
}

// clear marks all evidence as refuted and reports whether anything changed.
func (s *Suspect) clear() bool {
	changed := false
	for i := range s.Evidence {
		changed = changed || !s.Evidence[i].Cleared
		s.Evidence[i].Cleared = true
	}
	return changed
}

// Rules configures when a request is refused.
type Rules struct {
	// Period is the time for which a request is refused after its last crash: policies.quarantine_s.
	Period time.Duration
	// Crashes is the number of crashes after which a request is refused even if other requests may have been running at
	// each of them. With 0 a request is only refused if it ran alone at one of its crashes. Crashes is for nodes that
	// have no information about what else an upstream was running.
	Crashes int
}

// classify returns the level at now and, for Refused, the end of the refusal. After that the request may run once more:
// if it crashes its upstream again, that one crash suffices to refuse it again.
func (s *Suspect) classify(now time.Time, r Rules) (Level, time.Time) {
	if s.Override.Until.After(now) {
		switch s.Override.Kind {
		case cardamomyokev1.OverrideKind_OVERRIDE_KIND_TRUST:
			return Clear, time.Time{}
		case cardamomyokev1.OverrideKind_OVERRIDE_KIND_REFUSE:
			return Refused, s.Override.Until
		}
	}
	crashes, onlyRequest, ranAlone, last := s.countCrashes()
	until := last.Add(r.Period)
	refuse := ranAlone > 0 || onlyRequest > 0 && crashes > 1 || r.Crashes > 0 && crashes >= r.Crashes
	switch {
	case refuse && now.Before(until):
		return Refused, until
	case onlyRequest > 0 || crashes > 1:
		return Alone, time.Time{}
	case crashes > 0:
		return Suspected, time.Time{}
	}
	return Clear, time.Time{}
}

// countCrashes counts the crashes that are not cleared, those of them at which nothing else was running, and those at
// which the request had to run alone. It also returns the time of the last one.
func (s *Suspect) countCrashes() (crashes, onlyRequest, ranAlone int, last time.Time) {
	for _, e := range s.Evidence {
		if e.Cleared {
			continue
		}
		crashes++
		if e.OnlyRequest {
			onlyRequest++
		}
		if e.RanAlone {
			ranAlone++
		}
		last = e.At
	}
	return crashes, onlyRequest, ranAlone, last
}

// Proto returns s as a protobuf message.
func (s Suspect) Proto() *cardamomyokev1.Suspect {
	out := &cardamomyokev1.Suspect{Fingerprint: s.Fingerprint[:], Client: string(s.Client)}
	for _, e := range s.Evidence {
		out.Evidence = append(out.Evidence, &cardamomyokev1.CrashEvidence{
			Crash:   uint64(e.Crash),
			AtMs:    e.At.UnixMilli(),
			Lone:    e.OnlyRequest,
			Probe:   e.RanAlone,
			Cleared: e.Cleared,
		})
	}
	if !s.Override.Stamp.IsZero() {
		out.Override = &cardamomyokev1.QuarantineOverride{
			Kind:     s.Override.Kind,
			UntilMs:  s.Override.Until.UnixMilli(),
			StampMs:  s.Override.Stamp.UnixMilli(),
			Operator: s.Override.Operator,
		}
	}
	return out
}

// SuspectFromProto converts a protobuf message to a Suspect. Errors: *FingerprintError.
func SuspectFromProto(in *cardamomyokev1.Suspect) (Suspect, error) {
	if len(in.GetFingerprint()) != len(Fingerprint{}) {
		return Suspect{}, &FingerprintError{string(in.GetFingerprint())}
	}
	s := Suspect{Fingerprint: Fingerprint(in.GetFingerprint()), Client: ids.Client(in.GetClient())}
	for _, e := range in.GetEvidence() {
		s.add(Evidence{
			Crash:       CrashID(e.GetCrash()),
			At:          time.UnixMilli(e.GetAtMs()),
			OnlyRequest: e.GetLone(),
			RanAlone:    e.GetProbe(),
			Cleared:     e.GetCleared(),
		})
	}
	if o := in.GetOverride(); o != nil {
		s.Override = Override{
			Kind:     o.GetKind(),
			Until:    time.UnixMilli(o.GetUntilMs()),
			Stamp:    time.UnixMilli(o.GetStampMs()),
			Operator: o.GetOperator(),
		}
	}
	return s, nil
}
