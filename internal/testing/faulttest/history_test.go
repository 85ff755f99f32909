package faulttest

import (
	"strings"
	"testing"
)

// Each promise that callers rely on, broken in the smallest history that breaks it: the check has to see it.
func TestCheckSeesEachBrokenPromise(t *testing.T) {
	right := []byte("right")
	answered := Send{Mark: "m", Class: Answered, Body: right, Want: right}
	keyed := Send{Mark: "k", Key: "k", Class: Answered, Body: right, Want: right}
	with := func(s Send, change func(*Send)) Send {
		change(&s)
		return s
	}
	once := Evidence{Ran: map[string]int{"k": 1}}
	tests := map[string]struct {
		sends []Send
		ev    Evidence
		want  string
	}{
		"sound":         {[]Send{answered, keyed, keyed}, once, ""},
		"another's":     {[]Send{with(answered, func(s *Send) { s.Body = []byte("wrong") })}, Evidence{}, "answered with"},
		"cut off":       {[]Send{with(answered, func(s *Send) { s.Body = right[:2] })}, Evidence{}, "answered with"},
		"doubled token": {[]Send{with(answered, func(s *Send) { s.Class, s.Body = Unknown, []byte("rr") })}, Evidence{}, "broke off"},
		"after the end": {[]Send{with(answered, func(s *Send) { s.Trailing = true })}, Evidence{}, "follows"},
		"not run":       {[]Send{{Mark: "m", Class: NotRun}}, Evidence{Reached: map[string]bool{"m": true}}, "reached an upstream"},
		"ran twice":     {[]Send{keyed}, Evidence{Ran: map[string]int{"k": 2}}, "ran 2 times"},
		"never ran":     {[]Send{keyed}, Evidence{}, "never ran"},
		"all refused":   {[]Send{{Mark: "k", Key: "k", Class: NotRun}}, once, "refused as not run 1 times"},
		"two answers": {[]Send{keyed, with(keyed, func(s *Send) { s.Body, s.Want = []byte("x"), nil })}, once,
			"two different answers"},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			got := Check(tc.sends, tc.ev)
			if tc.want == "" && len(got) == 0 {
				return
			}
			if len(got) != 1 || tc.want == "" || !strings.Contains(got[0].String(), tc.want) {
				t.Fatalf("violations %v, want one with %q", got, tc.want)
			}
		})
	}
}
