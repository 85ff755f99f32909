package faulttest

import (
	"strings"
	"testing"
)

// Guards against a Check that misses a violation: each case is the smallest history that violates one guarantee.
func TestCheckDetectsEachViolation(t *testing.T) {
	right := []byte("right")
	answered := Call{Mark: "m", Class: Answered, Body: right, Want: right}
	keyed := Call{Mark: "k", Key: "k", Class: Answered, Body: right, Want: right}
	with := func(s Call, change func(*Call)) Call {
		change(&s)
		return s
	}
	once := Evidence{Ran: map[string]int{"k": 1}}
	tests := map[string]struct {
		calls []Call
		ev    Evidence
		want  string
	}{
		"no violation":   {[]Call{answered, keyed, keyed}, once, ""},
		"wrong response": {[]Call{with(answered, func(s *Call) { s.Body = []byte("wrong") })}, Evidence{}, "answered with"},
		"truncated":      {[]Call{with(answered, func(s *Call) { s.Body = right[:2] })}, Evidence{}, "answered with"},
		"doubled token":  {[]Call{with(answered, func(s *Call) { s.Class, s.Body = Unknown, []byte("rr") })}, Evidence{}, "broke off"},
		"trailing data":  {[]Call{with(answered, func(s *Call) { s.Trailing = true })}, Evidence{}, "follows"},
		"not run":        {[]Call{{Mark: "m", Class: NotRun}}, Evidence{Reached: map[string]bool{"m": true}}, "reached an upstream"},
		"ran twice":      {[]Call{keyed}, Evidence{Ran: map[string]int{"k": 2}}, "ran 2 times"},
		"never ran":      {[]Call{keyed}, Evidence{}, "never ran"},
		"all refused":    {[]Call{{Mark: "k", Key: "k", Class: NotRun}}, once, "refused as not run 1 times"},
		"two answers": {[]Call{keyed, with(keyed, func(s *Call) { s.Body, s.Want = []byte("x"), nil })}, once,
			"two different answers"},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			got := Check(tc.calls, tc.ev)
			if tc.want == "" && len(got) == 0 {
				return
			}
			if len(got) != 1 || tc.want == "" || !strings.Contains(got[0].String(), tc.want) {
				t.Fatalf("violations %v, want one with %q", got, tc.want)
			}
		})
	}
}
