package blame

import (
	"slices"
	"time"
)

// Rules configures when a part is refused.
type Rules struct {
	// Events is how many crashes under a part are enough to refuse it if no answer under it is known, and AnsweredEvents if one
	// is; of those, only crashes since the last answer count.
	Events, AnsweredEvents int
	// Requests is how many different requests must be among those that crashed. Attempts of one request say nothing about which
	// part of it is at fault.
	Requests int
	// Spacing is the time within which several crashes count as one. A fault that takes several upstreams at once meets many
	// harmless parts more than once.
	Spacing time.Duration
	// Settle is how long a part must have been known as suspect before it is refused, so that gateways that know of answers under
	// it have reported them.
	Settle time.Duration
	// Gather is how long the evidence must have sufficed, so that the gateways that sent the other requests have reported theirs:
	// one of them may show which part explains the crash.
	Gather time.Duration
	// Trials is how many requests are let through in all after a part was refused. TrialPauses has, for each trial, the time since
	// the refusal, the last crash or the last trial, whichever is latest, and ConfirmedPause the least such time where more crashes
	// than Events are known.
	Trials         int
	TrialPauses    []time.Duration
	ConfirmedPause time.Duration
	// Retention is how long a crash counts against a part that is not refused.
	Retention time.Duration
}

// DefaultRules returns the rules of gateways.
func DefaultRules() Rules {
	return Rules{
		Events:         2,
		AnsweredEvents: 4,
		Requests:       2,
		Spacing:        100 * time.Millisecond,
		Settle:         300 * time.Millisecond,
		Gather:         60 * time.Millisecond,
		Trials:         2,
		TrialPauses:    []time.Duration{2 * time.Minute, 30 * time.Minute},
		ConfirmedPause: 30 * time.Minute,
		Retention:      15 * time.Minute,
	}
}

// candidate is a part with the crashes that no refused part explains.
type candidate struct {
	*tracked
	crashes  []Evidence
	events   int
	requests []Carrier
}

// judge returns the part to be refused next, or nil.
func (r Rules) judge(suspects map[Part]*tracked, now time.Time) *candidate {
	explained := explainedCrashes(suspects)
	var best *candidate
	for _, s := range suspects {
		c := newCandidate(s, explained, r.Spacing)
		if !r.suffices(c) {
			s.sufficientAt = time.Time{}
			continue
		}
		if s.sufficientAt.IsZero() {
			s.sufficientAt = now
		}
		if best == nil || c.better(best) {
			best = c
		}
	}
	if best == nil || now.Sub(best.sufficientAt) < r.Gather || now.Sub(best.since) < r.Settle {
		return nil
	}
	return best
}

// explainedCrashes returns the crashes at which a refused part was present.
func explainedCrashes(suspects map[Part]*tracked) map[Crash]bool {
	out := map[Crash]bool{}
	for _, s := range suspects {
		if s.Verdict.State != Refused && s.Verdict.State != Barred {
			continue
		}
		for _, e := range s.Evidence {
			out[e.Crash] = true
		}
	}
	return out
}

func newCandidate(s *tracked, explained map[Crash]bool, spacing time.Duration) *candidate {
	c := &candidate{tracked: s}
	for _, e := range s.live() {
		if explained[e.Crash] {
			continue
		}
		c.crashes = append(c.crashes, e)
		c.requests = append(c.requests, e.Carriers...)
	}
	c.events = countEvents(c.crashes, spacing)
	slices.SortFunc(c.requests, compareCarriers)
	c.requests = slices.Compact(c.requests)
	return c
}

// countEvents counts crashes; those that follow each other within spacing count as one. The crashes are sorted by time.
func countEvents(crashes []Evidence, spacing time.Duration) int {
	events := 0
	var last time.Time
	for _, e := range crashes {
		if events == 0 || e.At.Sub(last) >= spacing {
			events++
			last = e.At
		}
	}
	return events
}

// suffices reports whether a part that no decision holds has enough evidence against it.
func (r Rules) suffices(c *candidate) bool {
	if c.Verdict.State != Open && c.Verdict.State != Cleared {
		return false
	}
	needed := r.Events
	if c.Answered {
		needed = r.AnsweredEvents
	}
	return c.events >= needed && c.distinctRequests() >= r.Requests
}

func (c *candidate) distinctRequests() int {
	n := 0
	for i, r := range c.requests {
		if i == 0 || r.Request != c.requests[i-1].Request {
			n++
		}
	}
	return n
}

// better reports whether c explains the crashes better than other. Of parts that explain as many, the one that fewer requests
// have is at fault: all requests with it crash, while the other one only comes along with it.
func (c *candidate) better(other *candidate) bool {
	switch {
	case c.Answered != other.Answered:
		return !c.Answered
	case c.events != other.events:
		return c.events > other.events
	}
	within, around := c.within(other), other.within(c)
	switch {
	case within != around:
		return within
	case !within && len(c.requests) != len(other.requests):
		return len(c.requests) > len(other.requests)
	case c.Seen != other.Seen:
		return c.Seen < other.Seen
	case c.Depth != other.Depth:
		return c.Depth > other.Depth
	}
	return c.Part < other.Part
}

// within reports whether all requests with c that crashed have the other part, too.
func (c *candidate) within(other *candidate) bool {
	for _, r := range c.requests {
		if _, found := slices.BinarySearchFunc(other.requests, r, compareCarriers); !found {
			return false
		}
	}
	return true
}

// scope returns the only account whose requests with the part are refused, 0 for all. A part under which others are answered
// must not be refused to them because of the requests of one account.
func (c *candidate) scope() Account {
	if !c.Answered {
		return 0
	}
	account := c.requests[0].Account
	for _, r := range c.requests {
		if r.Account != account {
			return 0
		}
	}
	return account
}
