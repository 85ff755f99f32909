package faulttest

import (
	"bytes"
	"fmt"
	"slices"
	"strings"

	"github.com/cardamomyoke/cardamomyoke/internal/base/failure"
)

// Class is the outcome of a call from its caller's perspective.
type Class string

// The classes of a call.
const (
	// Answered is a complete response.
	Answered Class = "answered"
	// NotRun is a refusal which guarantees that the call did not run.
	NotRun Class = "not-run"
	// Unknown is any other failure, including a broken connection.
	Unknown Class = "unknown"
)

// Call is one request as sent to an entry; a resend is another Call.
type Call struct {
	// Mark identifies the call. It is in the body or in the request target, so that the relays can detect when the call
	// reaches an upstream.
	Mark string
	// Key is the idempotency key of a request that must not be repeated; empty for others.
	Key   string
	Class Class
	Code  failure.Code
	// Body is the response, or the part received before the connection broke.
	Body []byte
	// Want is the only correct response; nil if the response is not compared.
	Want []byte
	// Trailing is set if data followed the end of the response or an event of it could not be parsed.
	Trailing bool
}

// Evidence is what the stand-ins and relays recorded.
type Evidence struct {
	// Ran counts the runs of each idempotency key.
	Ran map[string]int
	// Reached holds the marks that a relay found in requests to an upstream.
	Reached map[string]bool
}

// Violation describes a violated guarantee. Mark is the mark of the call or its idempotency key.
type Violation struct {
	Mark        string
	Description string
}

// String formats the violation on one line.
func (v Violation) String() string { return v.Mark + ": " + v.Description }

// Check compares the responses that callers received with the recorded runs and returns the violations, sorted by text.
func Check(calls []Call, ev Evidence) []Violation {
	var out []Violation
	add := func(mark, format string, args ...any) {
		out = append(out, Violation{mark, fmt.Sprintf(format, args...)})
	}
	byKey := map[string][]Call{}
	for _, s := range calls {
		checkResponse(s, add)
		if s.Key != "" {
			byKey[s.Key] = append(byKey[s.Key], s)
		}
		if s.Class == NotRun && ev.Reached[s.Mark] {
			add(s.Mark, "refused as %s, but it reached an upstream", s.Code)
		}
	}
	for key, n := range ev.Ran {
		if n > 1 {
			add(key, "ran %d times", n)
		}
	}
	for key, list := range byKey {
		checkKey(key, list, ev.Ran[key], add)
	}
	slices.SortFunc(out, func(a, b Violation) int { return strings.Compare(a.String(), b.String()) })
	return out
}

type addViolation func(mark, format string, args ...any)

// firstDifference returns the index of the first byte at which two responses differ, or the length of the shorter one.
func firstDifference(a, b []byte) int {
	n := min(len(a), len(b))
	for i := range n {
		if a[i] != b[i] {
			return i
		}
	}
	return n
}

// checkResponse checks that a caller got its own response, exactly once, and complete if it was reported as complete.
func checkResponse(s Call, add addViolation) {
	if s.Trailing {
		add(s.Mark, "data follows the end of the response")
	}
	if s.Want == nil || s.Class == NotRun {
		return
	}
	if s.Class == Answered && !bytes.Equal(s.Body, s.Want) {
		at := firstDifference(s.Body, s.Want)
		add(s.Mark, "answered with %.60q from byte %d of %d, want %.60q of %d", s.Body[at:], at, len(s.Body), s.Want[at:], len(s.Want))
	}
	if s.Class == Unknown && !bytes.HasPrefix(s.Want, s.Body) {
		add(s.Mark, "broke off after %.60q, which is not a prefix of %.60q", s.Body, s.Want)
	}
}

// checkKey checks all calls with one idempotency key against each other and against the number of runs.
func checkKey(key string, list []Call, ran int, add addViolation) {
	refused := 0
	var response []byte
	for _, s := range list {
		if s.Class == NotRun {
			refused++
		}
		if s.Class != Answered {
			continue
		}
		if ran == 0 {
			add(key, "answered, but never ran")
		}
		if response != nil && !bytes.Equal(response, s.Body) {
			add(key, "two different answers: %.60q and %.60q", response, s.Body)
		}
		response = s.Body
	}
	if refused == len(list) && ran > 0 {
		add(key, "refused as not run %d times and nothing else, but it ran", refused)
	}
}
