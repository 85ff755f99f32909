package blame

import (
	"cmp"
	"slices"
	"time"
)

const (
	// maxSuspects is how many parts a ledger tracks; those without a decision that changed longest ago are dropped first.
	maxSuspects = 256
	// repeatFor is how long a change is repeated in digests.
	repeatFor = 10 * time.Second
	// steadyInDigest is how many decisions that did not change lately a digest has; they take turns.
	steadyInDigest = 4
)

// tracked is a suspect with what this gateway knows of its own.
type tracked struct {
	Suspect
	// since is when this gateway first knew of a crash that still counts, changedAt when it last recorded a change.
	since, changedAt time.Time
	// sufficientAt is when this gateway found that the evidence suffices; zero if it does not.
	sufficientAt time.Time
	// trialAt is the earliest time of the next trial.
	trialAt time.Time
	// sentAt is when a digest last had the part although nothing had changed.
	sentAt time.Time
}

// Broken is a request that had not begun to be answered when its upstream crashed.
type Broken struct {
	Carrier
	Parts Parts
}

// Ledger holds what one gateway knows of the parts under which upstreams crash. It is not safe for concurrent use.
type Ledger struct {
	rules    Rules
	by       string
	memory   *Memory
	suspects map[Part]*tracked
	// unsaved is set if the ledger has a change that the stored parts may lack.
	unsaved bool
}

// NewLedger returns an empty ledger; by is the name that it gives to its decisions.
func NewLedger(r Rules, by string, m *Memory) *Ledger {
	return &Ledger{rules: r, by: by, memory: m, suspects: map[Part]*tracked{}}
}

// Crashed records that an upstream crashed before it began to answer requests, and returns the parts with a new decision.
func (l *Ledger) Crashed(now time.Time, crash Crash, broken []Broken) []Suspect {
	at := stamp(now)
	for _, b := range broken {
		for depth, part := range b.Parts {
			l.record(now, Suspect{
				Part: part, Depth: uint32(depth),
				Evidence: []Evidence{{Crash: crash, At: at, Carriers: []Carrier{b.Carrier}}},
			})
			l.unsaved = l.unsaved || l.suspects[part].stored()
		}
	}
	l.dropExcess()
	return l.Decide(now)
}

// stamp returns the time of an event in the precision in which it is sent and stored.
func stamp(now time.Time) time.Time { return now.Truncate(time.Millisecond) }

// Merge adds what other gateways or the store know, and returns the parts with a new decision.
func (l *Ledger) Merge(now time.Time, updates []Suspect) []Suspect {
	var decided []Suspect
	for _, s := range updates {
		before := Open
		if old := l.suspects[s.Part]; old != nil {
			before = old.Verdict.State
		}
		if l.record(now, s) && l.suspects[s.Part].Verdict.State != before {
			l.unsaved = true
			decided = append(decided, l.suspects[s.Part].copy())
		}
	}
	l.dropExcess()
	return append(decided, l.Decide(now)...)
}

// record merges what is known of one part with this gateway's own memory of it, and reports whether anything changed.
func (l *Ledger) record(now time.Time, s Suspect) bool {
	if s.Verdict.Round == 0 && slices.ContainsFunc(s.Evidence, func(e Evidence) bool { return l.expired(now, e) }) {
		s.Evidence = slices.DeleteFunc(slices.Clone(s.Evidence), func(e Evidence) bool { return l.expired(now, e) })
	}
	known := l.suspects[s.Part]
	if known == nil {
		if len(s.Evidence) == 0 && s.Verdict.Round == 0 {
			return false
		}
		known = &tracked{Suspect: Suspect{Part: s.Part, Depth: s.Depth}, since: now}
		l.suspects[s.Part] = known
	}
	seen, answered := l.memory.Known(s.Part)
	s.Seen, s.Answered = max(s.Seen, seen), s.Answered || answered
	verdict, crashes := known.Verdict, len(known.Evidence)
	if !known.merge(s) {
		return false
	}
	known.changedAt = now
	if crashes != len(known.Evidence) && known.Verdict.State == Refused {
		known.Verdict.Crashes = max(known.Verdict.Crashes, uint32(len(known.Evidence)))
	}
	if verdict.Round != known.Verdict.Round || verdict.Trials != known.Verdict.Trials || crashes != len(known.Evidence) {
		l.scheduleTrial(now, known)
	}
	return true
}

func (l *Ledger) expired(now time.Time, e Evidence) bool { return now.Sub(e.At) > l.rules.Retention }

// stored reports whether a gateway that starts must learn of the part: there is a decision on it, or a crash counts against it
// and no answer is known. Parts that are answered are soon found to be so again.
func (s *tracked) stored() bool {
	return s.Verdict.Round > 0 || !s.Answered && len(s.live()) > 0
}

// scheduleTrial sets the earliest time of the next trial after a crash, a trial or a decision.
func (l *Ledger) scheduleTrial(now time.Time, s *tracked) {
	if s.Verdict.State != Refused || int(s.Verdict.Trials) >= l.rules.Trials {
		return
	}
	pause := l.rules.TrialPauses[min(int(s.Verdict.Trials), len(l.rules.TrialPauses)-1)]
	if countEvents(s.Evidence, l.rules.Spacing) > l.rules.Events {
		pause = max(pause, l.rules.ConfirmedPause)
	}
	s.trialAt = now.Add(pause)
}

// Decide refuses the parts against which the evidence suffices, and returns them.
func (l *Ledger) Decide(now time.Time) []Suspect {
	var decided []Suspect
	for {
		c := l.rules.judge(l.suspects, now)
		if c == nil {
			return decided
		}
		l.decide(now, c.tracked, Verdict{State: Refused, Account: c.scope(), Crashes: uint32(len(c.crashes)), By: l.by})
		decided = append(decided, c.copy())
	}
}

// decide begins a round of decisions on a part.
func (l *Ledger) decide(now time.Time, s *tracked, v Verdict) {
	v.Round, v.Trials, v.At = s.Verdict.Round+1, s.Verdict.Trials, stamp(now)
	v.Crashes = max(v.Crashes, s.Verdict.Crashes)
	s.Verdict, s.changedAt, l.unsaved = v, now, true
	l.scheduleTrial(now, s)
}

// Answered records that an answer under the parts goes on, and returns the parts that are refused no more.
func (l *Ledger) Answered(now time.Time, parts Parts) []Suspect {
	l.memory.Answered(parts)
	var cleared []Suspect
	for _, part := range parts {
		s := l.suspects[part]
		if s == nil || !s.answered() {
			continue
		}
		s.changedAt, l.unsaved = now, true
		if s.Verdict.State == Refused && s.Verdict.Account == 0 {
			l.decide(now, s, Verdict{State: Cleared, By: l.by})
			cleared = append(cleared, s.copy())
		}
	}
	return cleared
}

// Override records an operator's decision on a part: Trusted, Barred, or Open, which forgets what speaks against it.
func (l *Ledger) Override(now time.Time, part Part, state State, operator string) Suspect {
	s := l.suspects[part]
	if s == nil {
		s = &tracked{Suspect: Suspect{Part: part}, since: now}
		l.suspects[part] = s
	}
	if state == Open {
		for i := range s.Evidence {
			s.Evidence[i].Cleared = true
		}
	}
	l.decide(now, s, Verdict{State: state, By: operator})
	return s.copy()
}

// TrialDue reports whether a request with a refused part may be let through once the trial is claimed in the store.
func (l *Ledger) TrialDue(now time.Time, part Part) bool {
	s := l.suspects[part]
	return s != nil && s.Verdict.State == Refused && int(s.Verdict.Trials) < l.rules.Trials && !now.Before(s.trialAt)
}

// ClaimTrial counts a trial and returns its number, from 1. The caller must store the result before it sends the request.
func (l *Ledger) ClaimTrial(now time.Time, part Part) uint32 {
	s := l.suspects[part]
	s.Verdict.Trials++
	s.changedAt, l.unsaved = now, true
	l.scheduleTrial(now, s)
	return s.Verdict.Trials
}

// Expire drops the crashes that no longer count, and the parts of which nothing is left.
func (l *Ledger) Expire(now time.Time) {
	for part, s := range l.suspects {
		if s.Verdict.Round > 0 {
			continue
		}
		s.Evidence = slices.DeleteFunc(s.Evidence, func(e Evidence) bool { return l.expired(now, e) })
		if len(s.Evidence) == 0 || len(s.live()) == 0 && now.Sub(s.changedAt) > repeatFor {
			delete(l.suspects, part)
		}
	}
}

func (l *Ledger) dropExcess() {
	if len(l.suspects) <= maxSuspects {
		return
	}
	all := l.sorted()
	slices.SortStableFunc(all, func(a, b *tracked) int { return cmp.Compare(b.Verdict.State, a.Verdict.State) })
	for _, s := range all[maxSuspects:] {
		delete(l.suspects, s.Part)
	}
}

// sorted returns all suspects, the most recently changed first.
func (l *Ledger) sorted() []*tracked {
	all := make([]*tracked, 0, len(l.suspects))
	for _, s := range l.suspects {
		all = append(all, s)
	}
	slices.SortFunc(all, func(a, b *tracked) int {
		return cmp.Or(b.changedAt.Compare(a.changedAt), cmp.Compare(a.Part, b.Part))
	})
	return all
}

// List returns all that is known, the most recently changed first.
func (l *Ledger) List() []Suspect {
	var out []Suspect
	for _, s := range l.sorted() {
		out = append(out, s.copy())
	}
	return out
}

// Digest returns at most limit suspects for other gateways that changed lately, and a few decisions that take turns. It also
// reports whether these are all that is known.
func (l *Ledger) Digest(now time.Time, limit int) (out []Suspect, complete bool) {
	var steady []*tracked
	for _, s := range l.sorted() {
		switch {
		case now.Sub(s.changedAt) <= repeatFor && len(out) < limit:
			out = append(out, s.copy())
		case s.Verdict.Round > 0:
			steady = append(steady, s)
		}
	}
	slices.SortStableFunc(steady, func(a, b *tracked) int { return a.sentAt.Compare(b.sentAt) })
	for _, s := range steady[:min(len(steady), steadyInDigest)] {
		s.sentAt = now
		out = append(out, s.copy())
	}
	return out, len(out) == len(l.suspects)
}

// All returns what a gateway that starts must learn: all decisions, and the crashes that still count.
func (l *Ledger) All() []Suspect {
	var out []Suspect
	for _, s := range l.sorted() {
		if s.stored() {
			out = append(out, s.copy())
		}
	}
	slices.SortFunc(out, func(a, b Suspect) int { return cmp.Compare(a.Part, b.Part) })
	return out
}

// Unsaved reports whether the stored parts may lack a change.
func (l *Ledger) Unsaved() bool { return l.unsaved }

// SetUnsaved records whether the stored parts may lack a change.
func (l *Ledger) SetUnsaved(unsaved bool) { l.unsaved = unsaved }

// Empty reports whether nothing is known of any part.
func (l *Ledger) Empty() bool { return len(l.suspects) == 0 }

// Covers reports whether stored suspects have the same parts as others, and all that is known of these. Only counts of requests
// may differ.
func Covers(stored, others []Suspect) bool {
	if len(stored) != len(others) {
		return false
	}
	byPart := map[Part]Suspect{}
	for _, s := range stored {
		byPart[s.Part] = s.copy()
	}
	for _, o := range others {
		s, found := byPart[o.Part]
		if !found || s.merge(o) {
			return false
		}
	}
	return true
}
