package retry

import (
	"slices"
	"sync"
	"time"
)

// Bound limits the retries of a service, over all gateways: in any time span of Length, to Ratio times the requests of
// callers, plus Extra.
type Bound struct {
	Length time.Duration
	Ratio  float64
	Extra  float64
}

const (
	// earnedShare is the share of Bound.Ratio that requests earn for the gateway that gets them, grantedShare the share that
	// is granted through the Ledger, and extraShare the share of Bound.Extra that is. The rest covers requests that are
	// counted twice near the ends of a window, and delays of retries on their way.
	earnedShare  = 0.5
	grantedShare = 0.42
	extraShare   = 0.9
	// earnedHoldDivisor and grantedHoldDivisor set, as fractions of Bound.Length, how long an unused retry may be held.
	earnedHoldDivisor  = 10
	grantedHoldDivisor = 10
	// arrivalDivisor sets the time, as a fraction of Bound.Length, that a retry may take to arrive.
	arrivalDivisor = 40
	// lastingDivisor sets, as a fraction of how long a retry may be held, how long the retries of TakeTwo last.
	lastingDivisor = 2
	// minGrant is the least number of retries in a grant, unless the limit on all is lower: each grant costs calls to the store.
	minGrant = 4
)

func (b Bound) earnedHold() time.Duration  { return b.Length / earnedHoldDivisor }
func (b Bound) grantedHold() time.Duration { return b.Length / grantedHoldDivisor }

// remember is how long a grant counts: until its last retry has arrived, and that arrival is in no window any more.
func (b Bound) remember() time.Duration { return b.Length + b.grantedHold() + b.Length/arrivalDivisor }

// Token permits one retry until it expires.
type Token struct {
	expires time.Time
	granted bool
}

// valid reports whether the token has not expired by the monotonic clock, nor by the wall clock: the monotonic clock stands
// still while the host is suspended.
func (t Token) valid(now time.Time) bool {
	return now.Before(t.expires) && now.Round(0).Before(t.expires.Round(0))
}

// SharedBudget is one gateway's part of the retries that all gateways of a service share. It starts empty.
//
// Each request earns a fraction of a retry for the gateway that gets it. Further retries are granted by the Ledger. Unused
// retries expire soon, so that in any window all gateways together, including those that have ended, spend what the window's
// requests earn and what was granted in it. docs/design/retries.md has the argument.
//
// It is safe for concurrent use.
type SharedBudget struct {
	mu     sync.Mutex
	bound  Bound
	counts window
	// fraction is the earned part of the next retry.
	fraction float64
	earned   []Token
	granted  []Token
	// missed counts the retries that were wanted and not there since the last request for a grant. used are the times at
	// which granted retries were taken.
	missed int
	used   []time.Time
}

// NewSharedBudget returns a budget with a zero bound, which allows no retries.
func NewSharedBudget() *SharedBudget { return &SharedBudget{} }

// SetBound changes the bound.
func (s *SharedBudget) SetBound(b Bound) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.bound = b
	s.counts.length = b.Length
}

// RecordFirst records a request that a caller sent at the given time.
func (s *SharedBudget) RecordFirst(at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if b := s.counts.at(at); b != nil {
		b.first++
	}
	s.fraction += earnedShare * s.bound.Ratio
	if s.fraction >= 1 {
		s.fraction--
		s.earned = append(dropExpired(s.earned, at), Token{expires: at.Add(s.bound.earnedHold())})
	}
}

// Take reserves a retry; false if there is none. The retry must be sent, or returned.
func (s *SharedBudget) Take(now time.Time) (Token, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t, ok := s.take(now)
	if !ok {
		s.missed++
	}
	return t, ok
}

func (s *SharedBudget) take(now time.Time) (Token, bool) {
	s.drop(now)
	for _, list := range []*[]Token{&s.earned, &s.granted} {
		if len(*list) == 0 {
			continue
		}
		t := (*list)[0]
		*list = (*list)[1:]
		if t.granted {
			s.used = append(s.used, now)
		}
		return t, true
	}
	return Token{}, false
}

// TakeTwo reserves two retries, and returns for how long both may be held at least; false if there are not two that last. Both must be
// sent, or returned.
func (s *SharedBudget) TakeTwo(now time.Time) (a, b Token, lasting time.Duration, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.drop(now)
	lasting = min(s.bound.earnedHold(), s.bound.grantedHold()) / lastingDivisor
	if a, ok = s.takeLasting(now, lasting); ok {
		if b, ok = s.takeLasting(now, lasting); !ok {
			s.putBack(a, now)
		}
	}
	if !ok {
		s.missed += 2
	}
	return a, b, lasting, ok
}

// takeLasting is take for a retry that does not expire for a time.
func (s *SharedBudget) takeLasting(now time.Time, lasting time.Duration) (Token, bool) {
	for _, list := range []*[]Token{&s.earned, &s.granted} {
		i := slices.IndexFunc(*list, func(t Token) bool { return t.valid(now.Add(lasting)) })
		if i < 0 {
			continue
		}
		t := (*list)[i]
		*list = slices.Delete(*list, i, i+1)
		if t.granted {
			s.used = append(s.used, now)
		}
		return t, true
	}
	return Token{}, false
}

// Send records that a retry is sent now; false if it must not be. A reserved retry that has expired, because its request waited
// for an upstream, is replaced by another one, which Send returns.
func (s *SharedBudget) Send(t Token, now time.Time) (Token, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !t.valid(now) {
		var ok bool
		if t, ok = s.take(now); !ok {
			return Token{}, false
		}
	}
	if b := s.counts.at(now); b != nil {
		b.retries++
	}
	return t, true
}

// Unsent gives back a retry that was recorded as sent, but cannot have arrived.
func (s *SharedBudget) Unsent(t Token, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if b := s.counts.at(now); b != nil && b.retries > 0 {
		b.retries--
	}
	s.putBack(t, now)
}

// Return gives back a reserved retry that was not sent.
func (s *SharedBudget) Return(t Token, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.putBack(t, now)
}

func (s *SharedBudget) putBack(t Token, now time.Time) {
	if !t.valid(now) {
		return
	}
	if t.granted {
		s.granted = append(s.granted, t)
	} else {
		s.earned = append(s.earned, t)
	}
}

// Grant adds retries that the Ledger granted to a request made at the given time.
func (s *SharedBudget) Grant(n int, requested time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for range n {
		s.granted = append(s.granted, Token{expires: requested.Add(s.bound.grantedHold()), granted: true})
	}
}

// Wanted returns how many retries to request, at least minGrant, and begins to count anew: those that were missed, and as many as were taken
// lately from grants.
func (s *SharedBudget) Wanted(now time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.drop(now)
	n := max(minGrant, s.missed+len(s.used)-len(s.granted))
	s.missed = 0
	return n
}

func (s *SharedBudget) drop(now time.Time) {
	s.earned, s.granted = dropExpired(s.earned, now), dropExpired(s.granted, now)
	for len(s.used) > 0 && now.Sub(s.used[0]) > s.bound.grantedHold() {
		s.used = s.used[1:]
	}
}

func dropExpired(list []Token, now time.Time) []Token {
	kept := list[:0]
	for _, t := range list {
		if t.valid(now) {
			kept = append(kept, t)
		}
	}
	return kept
}

// Usage is the state of a SharedBudget, for decisions, logs and metrics.
type Usage struct {
	// First and Sent are the numbers of requests and of retries sent in the last window.
	First, Sent int
	// Earned and Granted are the numbers of retries that are left.
	Earned, Granted int
	// Since is when the budget recorded its first event; zero if it has none.
	Since time.Time
}

// Usage returns the state of the budget.
func (s *SharedBudget) Usage(now time.Time) Usage {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.drop(now)
	u := Usage{Earned: len(s.earned), Granted: len(s.granted)}
	if s.counts.at(now) != nil {
		u.First, u.Sent = s.counts.sums()
		u.Since = s.counts.start
	}
	return u
}
