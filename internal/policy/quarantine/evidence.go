package quarantine

import (
	"cmp"
	"slices"
	"time"

	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
	cardamomyokev1 "github.com/cardamomyoke/cardamomyoke/internal/gen/cardamomyoke/v1"
)

// maxEvidence is the most crashes kept of one request; the newest stay.
const maxEvidence = 16

// Level is how a request is treated.
type Level int

// The levels, from harmless to refused.
const (
	// Clear: as any other request.
	Clear Level = iota
	// Suspected: side by side with others, but no two suspects on one upstream.
	Suspected
	// Alone: with nothing else on its upstream.
	Alone
	// Refused: not at all.
	Refused
)

// String implements fmt.Stringer.
func (l Level) String() string {
	return [...]string{"clear", "suspected", "alone", "refused"}[l]
}

// Evidence says that a request ran on an upstream when it died.
type Evidence struct {
	Crash CrashID
	// At is when it happened, by the slot's clock.
	At time.Time
	// Lone is set if nothing else ran.
	Lone bool
	// Probe is set if nothing else ran because the request had to run alone. Whoever knows this crash need not know
	// those before it to refuse the request.
	Probe bool
	// Cleared is set once the request has run to its end elsewhere.
	Cleared bool
}

// Override is what an operator decided on a request; of two the one with the later Stamp holds.
type Override struct {
	Kind     cardamomyokev1.OverrideKind
	Until    time.Time
	Stamp    time.Time
	Operator string
}

// Suspect is what is known of one request.
type Suspect struct {
	Fingerprint Fingerprint
	Client      ids.Client
	// Evidence is sorted by time and crash.
	Evidence []Evidence
	Override Override
}

// merge adds what another node knows and reports whether that was new. The result does not depend on the order of
// merges: evidence is a union in which "cleared" sticks, and of overrides the later one stays.
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
		news := e.Cleared && !s.Evidence[i].Cleared
		s.Evidence[i].Cleared = s.Evidence[i].Cleared || e.Cleared
		return news
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

func byTime(a, b Evidence) int {
	return cmp.Or(a.At.Compare(b.At), cmp.Compare(a.Crash, b.Crash))
}

// clear marks all evidence as refuted and reports whether there was any.
func (s *Suspect) clear() bool {
	changed := false
	for i := range s.Evidence {
		changed = changed || !s.Evidence[i].Cleared
		s.Evidence[i].Cleared = true
	}
	return changed
}

// Rules say when evidence refuses a request.
type Rules struct {
	// Period is how long a request is refused after its last crash: policies.quarantine_s.
	Period time.Duration
	// Crashes refuse a request although others may have run beside it; 0 if only a run alone can. It is for nodes that
	// cannot know what else an upstream ran.
	Crashes int
}

// judge returns the level at now and, for Refused, its end. After the end the request runs once more: if it still crashes
// its upstream, that one crash refuses it again.
func (s *Suspect) judge(now time.Time, r Rules) (Level, time.Time) {
	if s.Override.Until.After(now) {
		switch s.Override.Kind {
		case cardamomyokev1.OverrideKind_OVERRIDE_KIND_TRUST:
			return Clear, time.Time{}
		case cardamomyokev1.OverrideKind_OVERRIDE_KIND_REFUSE:
			return Refused, s.Override.Until
		}
	}
	crashes, lone, probes, last := s.count()
	until := last.Add(r.Period)
	convicted := probes > 0 || lone > 0 && crashes > 1 || r.Crashes > 0 && crashes >= r.Crashes
	switch {
	case convicted && now.Before(until):
		return Refused, until
	case lone > 0 || crashes > 1:
		return Alone, time.Time{}
	case crashes > 0:
		return Suspected, time.Time{}
	}
	return Clear, time.Time{}
}

// count returns how many crashes stand against the request, at how many of them nothing else ran, how many of those
// were probes, and the time of the last.
func (s *Suspect) count() (crashes, lone, probes int, last time.Time) {
	for _, e := range s.Evidence {
		if e.Cleared {
			continue
		}
		crashes++
		if e.Lone {
			lone++
		}
		if e.Probe {
			probes++
		}
		last = e.At
	}
	return crashes, lone, probes, last
}

// Proto returns the message for s.
func (s Suspect) Proto() *cardamomyokev1.Suspect {
	out := &cardamomyokev1.Suspect{Fingerprint: s.Fingerprint[:], Client: string(s.Client)}
	for _, e := range s.Evidence {
		out.Evidence = append(out.Evidence, &cardamomyokev1.CrashEvidence{
			Crash:   uint64(e.Crash),
			AtMs:    e.At.UnixMilli(),
			Lone:    e.Lone,
			Probe:   e.Probe,
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

// SuspectFromProto reads a message. Errors: *FingerprintError.
func SuspectFromProto(in *cardamomyokev1.Suspect) (Suspect, error) {
	if len(in.GetFingerprint()) != len(Fingerprint{}) {
		return Suspect{}, &FingerprintError{string(in.GetFingerprint())}
	}
	s := Suspect{Fingerprint: Fingerprint(in.GetFingerprint()), Client: ids.Client(in.GetClient())}
	for _, e := range in.GetEvidence() {
		s.add(Evidence{
			Crash:   CrashID(e.GetCrash()),
			At:      time.UnixMilli(e.GetAtMs()),
			Lone:    e.GetLone(),
			Probe:   e.GetProbe(),
			Cleared: e.GetCleared(),
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
