package gateway

import (
	"fmt"
	"strings"
	"testing"
)

func eventsWithIDs(list ...int) []byte {
	var b strings.Builder
	for _, id := range list {
		fmt.Fprintf(&b, "id: %d\ndata: x\n\n", id)
	}
	return []byte(b.String())
}

// Guards against a missing event that the caller cannot notice, and against streams with legitimate gaps that are broken off.
func TestMissingEventIsFound(t *testing.T) {
	tests := map[string]struct {
		last string
		ids  []int
		kept int // number of events before the missing one
	}{
		"consecutive":                    {"", []int{1, 2, 3, 4}, 4},
		"one missing":                    {"", []int{1, 2, 3, 5, 6}, 3},
		"missing in a resumed stream":    {"7", []int{8, 9, 11}, 2},
		"offsets in place of numbers":    {"", []int{10, 25, 33}, 3},
		"offsets that step by one later": {"", []int{10, 25, 26, 27, 40}, 5},
		"too few to tell":                {"", []int{1, 2, 4}, 3},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			var s idSequence
			events := eventsWithIDs(tc.ids...)
			size, last, missing := s.check(events, tc.last)
			if want := string(eventsWithIDs(tc.ids[:tc.kept]...)); string(events[:size]) != want {
				t.Fatalf("kept %q, want %q", events[:size], want)
			}
			if want := fmt.Sprint(tc.ids[tc.kept-1]); last != want {
				t.Fatalf("last event %s, want %s", last, want)
			}
			if (missing != nil) != (tc.kept < len(tc.ids)) {
				t.Fatalf("missing: %v", missing)
			}
		})
	}
}

// Guards against a stream that can never be resumed because both upstreams leave out the same id on purpose.
func TestSameGapFromSecondUpstreamIsKept(t *testing.T) {
	var s idSequence
	if _, _, missing := s.check(eventsWithIDs(1, 2, 3, 5), ""); missing == nil {
		t.Fatal("the gap was not found")
	}
	rest := eventsWithIDs(5, 6)
	if size, _, missing := s.check(rest, "3"); missing != nil || size != len(rest) {
		t.Fatalf("kept %d of %d bytes, %v", size, len(rest), missing)
	}
}
