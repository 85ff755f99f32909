package blame

import "time"

// Refusal is a refused part of a request.
type Refusal struct {
	Part    Part
	Verdict Verdict
	// TrialAt is the earliest time of the next trial; zero if there is none, so that only an operator ends the refusal.
	TrialAt time.Time
}

// Snapshot is an immutable copy of the decisions of a ledger, for requests. It is safe for concurrent use; nil is an empty one.
type Snapshot struct {
	refused   map[Part]Refusal
	suspected map[Part]bool
}

// Snapshot returns a copy of the current decisions, nil if there are none and no part is suspected.
func (l *Ledger) Snapshot() *Snapshot {
	out := &Snapshot{refused: map[Part]Refusal{}, suspected: map[Part]bool{}}
	for part, s := range l.suspects {
		switch {
		case s.Verdict.State == Refused || s.Verdict.State == Barred:
			out.refused[part] = Refusal{part, s.Verdict, l.nextTrial(s)}
		case s.Verdict.State != Trusted && !s.Answered && len(s.live()) > 0:
			out.suspected[part] = true
		}
	}
	if len(out.refused) == 0 && len(out.suspected) == 0 {
		return nil
	}
	return out
}

func (l *Ledger) nextTrial(s *tracked) time.Time {
	if s.Verdict.State != Refused || int(s.Verdict.Trials) >= l.rules.Trials {
		return time.Time{}
	}
	return s.trialAt
}

// Refused returns the refusal of a request of an account, and whether there is one. Of several the one with the latest trial
// counts. The part of which the request is a trial, nil for none, does not.
func (s *Snapshot) Refused(parts Parts, a Account, trial *Part) (Refusal, bool) {
	if s == nil {
		return Refusal{}, false
	}
	var out Refusal
	found := false
	for _, p := range parts {
		r, refused := s.refused[p]
		isTrial := trial != nil && *trial == p && r.Verdict.State == Refused
		if !refused || isTrial || !r.Verdict.refuses(a) {
			continue
		}
		if !found || r.TrialAt.IsZero() || !out.TrialAt.IsZero() && r.TrialAt.After(out.TrialAt) {
			out, found = r, true
		}
	}
	return out, found
}

// Suspected reports whether a crash counts against one of the parts, and no answer under it is known.
func (s *Snapshot) Suspected(parts Parts) bool {
	if s == nil {
		return false
	}
	for _, p := range parts {
		if s.suspected[p] {
			return true
		}
	}
	return false
}

// Count returns the numbers of refused and of suspected parts.
func (s *Snapshot) Count() (refused, suspected int) {
	if s == nil {
		return 0, 0
	}
	return len(s.refused), len(s.suspected)
}
