package faulttest

import (
	"bytes"
	"fmt"
	"slices"
	"strings"

	"github.com/cardamomyoke/cardamomyoke/internal/base/failure"
)

// Class is what one send came to, as its caller sees it.
type Class string

// The classes of a send.
const (
	// Answered: a whole answer.
	Answered Class = "answered"
	// NotRun: a refusal that promises that this send did not run.
	NotRun Class = "not-run"
	// Unknown: any other failure, or a connection that broke.
	Unknown Class = "unknown"
)

// Send is one request as it went over the wire; a resend is another Send.
type Send struct {
	// Mark names this send; it stands in the body or in the target, so that the relays see where it goes.
	Mark string
	// Key is the idempotency key of a request that may not be repeated, and else empty.
	Key   string
	Class Class
	Code  failure.Code
	// Body is the answer, or the part of one that came before it broke off.
	Body []byte
	// Want is the only right answer; nil if the caller cannot know it.
	Want []byte
	// Trailing is set if something followed the end of the answer.
	Trailing bool
}

// Evidence is what the stand-ins know.
type Evidence struct {
	// Ran counts the runs of each idempotency key.
	Ran map[string]int
	// Reached holds the marks of sends of which a byte went to an upstream.
	Reached map[string]bool
}

// Violation is a promise that was broken.
type Violation struct {
	Mark string
	What string
}

// String formats the violation on one line.
func (v Violation) String() string { return v.Mark + ": " + v.What }

// Check compares what callers saw with what ran.
func Check(sends []Send, ev Evidence) []Violation {
	var out []Violation
	add := func(mark, format string, args ...any) {
		out = append(out, Violation{mark, fmt.Sprintf(format, args...)})
	}
	byKey := map[string][]Send{}
	for _, s := range sends {
		checkAnswer(s, add)
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

type adder func(mark, format string, args ...any)

// differsAt returns the first byte at which two answers differ, or the length of the shorter one.
func differsAt(a, b []byte) int {
	n := min(len(a), len(b))
	for i := range n {
		if a[i] != b[i] {
			return i
		}
	}
	return n
}

// checkAnswer checks that a caller got its own answer, whole if it was said to be whole, and once.
func checkAnswer(s Send, add adder) {
	if s.Trailing {
		add(s.Mark, "something follows the answer's end")
	}
	if s.Want == nil || s.Class == NotRun {
		return
	}
	if s.Class == Answered && !bytes.Equal(s.Body, s.Want) {
		at := differsAt(s.Body, s.Want)
		add(s.Mark, "answered with %.60q from byte %d of %d, want %.60q of %d", s.Body[at:], at, len(s.Body), s.Want[at:], len(s.Want))
	}
	if s.Class == Unknown && !bytes.HasPrefix(s.Want, s.Body) {
		add(s.Mark, "broke off after %.60q, which does not begin %.60q", s.Body, s.Want)
	}
}

// checkKey checks all sends under one idempotency key together.
func checkKey(key string, list []Send, ran int, add adder) {
	refused := 0
	var answer []byte
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
		if answer != nil && !bytes.Equal(answer, s.Body) {
			add(key, "two different answers: %.60q and %.60q", answer, s.Body)
		}
		answer = s.Body
	}
	if refused == len(list) && ran > 0 {
		add(key, "refused as not run %d times and nothing else, but it ran", refused)
	}
}
