package blame

import (
	"cmp"
	"slices"
	"time"
)

const (
	// maxEvidence is how many crashes are kept of one part, maxCarriers how many requests of one crash.
	maxEvidence = 8
	maxCarriers = 6
)

// Crash identifies one crash: a hash of the incarnation of the upstream.
type Crash uint64

// Request identifies a request, whatever part of it is repeated: a hash of account, target and body.
type Request uint64

// Account is the hash of a client account's name; 0 for none.
type Account uint32

// Carrier is a request with a part.
type Carrier struct {
	Request Request
	Account Account
}

// Evidence is that requests with a part had not begun to be answered when their upstream crashed.
type Evidence struct {
	Crash Crash
	// At is the time of the crash by the clock of the gateway that noticed it.
	At time.Time
	// Cleared is set if an answer under the part has gone on since.
	Cleared bool
	// Carriers are some of the requests, sorted.
	Carriers []Carrier
}

// merge adds what another gateway knows of the same crash, and reports whether anything changed.
func (e *Evidence) merge(in Evidence) bool {
	changed := in.Cleared && !e.Cleared
	e.Cleared = e.Cleared || in.Cleared
	if in.At.Before(e.At) {
		e.At, changed = in.At, true
	}
	for _, c := range in.Carriers {
		changed = e.addCarrier(c) || changed
	}
	return changed
}

func (e *Evidence) addCarrier(c Carrier) bool {
	at, found := slices.BinarySearchFunc(e.Carriers, c, compareCarriers)
	if found || at == maxCarriers {
		return false
	}
	// Copies of a suspect share its lists.
	e.Carriers = slices.Insert(slices.Clone(e.Carriers), at, c)
	e.Carriers = e.Carriers[:min(len(e.Carriers), maxCarriers)]
	return true
}

func compareCarriers(a, b Carrier) int {
	return cmp.Or(cmp.Compare(a.Request, b.Request), cmp.Compare(a.Account, b.Account))
}

// State is a decision on a part. Where two gateways decide differently in the same round, the higher state applies.
type State int

// The states.
const (
	// Open: no decision.
	Open State = iota
	// Cleared: the part was refused, and an answer under it has gone on since.
	Cleared
	// Refused: because of crashes.
	Refused
	// Trusted: an operator has decided that requests with the part are sent.
	Trusted
	// Barred: an operator has decided that requests with the part are refused.
	Barred
)

// String implements fmt.Stringer.
func (s State) String() string {
	return [...]string{"open", "cleared", "refused", "trusted", "barred"}[s]
}

// Verdict is the latest decision on a part. The zero value is none.
type Verdict struct {
	// Round counts the decisions on the part; the one of the highest round applies.
	Round uint32
	State State
	// Account is the only client account whose requests are refused; 0 if those of all are.
	Account Account
	// Trials is how many requests were let through to see whether upstreams still crash, and Crashes how many crashes were
	// known, in all rounds.
	Trials, Crashes uint32
	At              time.Time
	// By is the gateway or operator that decided.
	By string
}

// merge returns the verdict that applies of two.
func (v Verdict) merge(in Verdict) Verdict {
	out := v
	if in.precedes(v) {
		out = in
	}
	if v.Round == in.Round && v.State == in.State && v.Account != in.Account {
		out.Account = 0
	}
	out.Trials, out.Crashes = max(v.Trials, in.Trials), max(v.Crashes, in.Crashes)
	return out
}

// precedes reports whether v applies rather than other.
func (v Verdict) precedes(other Verdict) bool {
	order := cmp.Or(cmp.Compare(v.Round, other.Round), cmp.Compare(v.State, other.State), other.At.Compare(v.At), cmp.Compare(other.By, v.By))
	return order > 0
}

// refuses reports whether requests of an account are refused.
func (v Verdict) refuses(a Account) bool {
	return v.State == Barred || v.State == Refused && (v.Account == 0 || v.Account == a)
}

func (v Verdict) equal(other Verdict) bool {
	at := v.At.Equal(other.At)
	v.At, other.At = time.Time{}, time.Time{}
	return at && v == other
}

// Suspect is what is known of one part.
type Suspect struct {
	Part Part
	// Evidence is sorted by time and crash.
	Evidence []Evidence
	// Answered is set if an answer under the part is known, at any time.
	Answered bool
	// Seen is the largest number of requests with the part that one gateway has got, Depth the first place at which the part
	// was found in a prompt, from 0.
	Seen, Depth uint32
	Verdict     Verdict
}

// merge adds what another gateway knows of the part, and reports whether anything but Seen changed. The result does not depend on
// the order of merges.
func (s *Suspect) merge(in Suspect) bool {
	changed := false
	for _, e := range in.Evidence {
		changed = s.add(e) || changed
	}
	if in.Answered && !s.Answered {
		s.Answered, changed = true, true
	}
	s.Seen, s.Depth = max(s.Seen, in.Seen), min(s.Depth, in.Depth)
	if next := s.Verdict.merge(in.Verdict); !next.equal(s.Verdict) {
		s.Verdict, changed = next, true
	}
	return changed
}

func (s *Suspect) add(e Evidence) bool {
	if i := slices.IndexFunc(s.Evidence, func(old Evidence) bool { return old.Crash == e.Crash }); i >= 0 {
		changed := s.Evidence[i].merge(e)
		if changed {
			slices.SortFunc(s.Evidence, compareEvidence)
		}
		return changed
	}
	at, _ := slices.BinarySearchFunc(s.Evidence, e, compareEvidence)
	if len(s.Evidence) >= maxEvidence && at == 0 {
		return false
	}
	s.Evidence = slices.Insert(s.Evidence, at, e)
	if len(s.Evidence) > maxEvidence {
		s.Evidence = slices.Delete(s.Evidence, 0, 1)
	}
	return true
}

func compareEvidence(a, b Evidence) int {
	return cmp.Or(a.At.Compare(b.At), cmp.Compare(a.Crash, b.Crash))
}

// answered records that an answer under the part goes on, and reports whether that is new.
func (s *Suspect) answered() bool {
	changed := !s.Answered
	s.Answered = true
	for i := range s.Evidence {
		changed = changed || !s.Evidence[i].Cleared
		s.Evidence[i].Cleared = true
	}
	return changed
}

// live returns the crashes that still count.
func (s *Suspect) live() []Evidence {
	var out []Evidence
	for _, e := range s.Evidence {
		if !e.Cleared {
			out = append(out, e)
		}
	}
	return out
}

func (s *Suspect) copy() Suspect {
	c := *s
	c.Evidence = slices.Clone(s.Evidence)
	return c
}
