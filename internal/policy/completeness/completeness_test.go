package completeness_test

import (
	"testing"

	"github.com/cardamomyoke/cardamomyoke/internal/policy/completeness"
)

// Guards against a body that was cut off and counts as complete.
func TestJudge(t *testing.T) {
	tests := map[string]struct {
		contentType, body string
		want              completeness.Verdict
	}{
		"empty":                {"text/plain", "", completeness.Incomplete},
		"text":                 {"text/plain", "one two", completeness.Unknown},
		"no type":              {"", `{"a":1}`, completeness.Unknown},
		"whole object":         {"application/json; charset=utf-8", ` {"a":1} `, completeness.Complete},
		"object cut off":       {"application/json", `{"a":1`, completeness.Incomplete},
		"object twice":         {"application/json", `{"a":1}{"a":1}`, completeness.Incomplete},
		"problem document":     {"application/problem+json", `{"a":1}`, completeness.Complete},
		"number, maybe cut":    {"application/json", `12`, completeness.Unknown},
		"list cut to a prefix": {"application/json", `[1,2`, completeness.Incomplete},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			if got := completeness.Judge(tc.contentType, []byte(tc.body)); got != tc.want {
				t.Fatalf("got %v, want %v", got, tc.want)
			}
		})
	}
}

// Guards against a service that always ends its responses with the connection, and whose work is doubled because each of them
// is asked for again.
func TestHabit(t *testing.T) {
	record := func(h *completeness.Habit, n int, closeDelimited bool) {
		for range n {
			h.Record(closeDelimited)
		}
	}
	var h completeness.Habit
	if h.Usual() {
		t.Fatal("usual without any response")
	}
	record(&h, 3, true)
	if h.Usual() {
		t.Fatal("usual after three responses")
	}
	record(&h, 1, true)
	if !h.Usual() {
		t.Fatal("not usual after four of four responses")
	}
	record(&h, 60, false)
	if h.Usual() {
		t.Fatal("usual after 4 of 64 responses")
	}
	record(&h, 7, true)
	if h.Usual() {
		t.Fatal("usual after 7 of 64 responses")
	}
	record(&h, 1, true)
	if !h.Usual() {
		t.Fatal("not usual after 8 of 64 responses")
	}
}
