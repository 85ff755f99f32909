package gateway

import (
	"testing"

	"github.com/cardamomyoke/cardamomyoke/internal/policy/completeness"
)

// Records which sound streams a gateway judges unsound that has learned nothing of their service. Ids only have to increase, so none of
// these streams lacks an event. A judged stream is resumed after the events that are kept; rest is what another upstream sends then.
func TestJudgedStreamsOfNewGateway(t *testing.T) {
	tests := map[string]struct {
		ids  []int
		last string
		kept int
		rest []int
		// brokenOff is set if the rest is judged, too: with two attempts, the answer is lost.
		brokenOff bool
	}{
		"steps of one":               {ids: []int{1, 2, 3, 4, 5}, kept: 5},
		"steps of two":               {ids: []int{2, 4, 6, 8}, kept: 4},
		"one step of one, then more": {ids: []int{1, 2, 4, 7}, kept: 4},
		"two steps of one, then more, the same at both":  {ids: []int{1, 2, 3, 5, 6}, kept: 3, rest: []int{5, 6}},
		"two steps of one, then steps of one at another": {ids: []int{1, 2, 3, 5, 6}, kept: 3, rest: []int{4, 5, 6}},
		"two steps of one, then other ids at another":    {ids: []int{1, 2, 3, 5, 6}, kept: 3, rest: []int{6, 8}, brokenOff: true},
		"the same gap, then another one":                 {ids: []int{1, 2, 3, 5, 6}, kept: 3, rest: []int{5, 6, 9}},
		"a gap at another upstream only":                 {ids: []int{1, 2, 3, 5, 6}, kept: 3, rest: []int{4, 5, 7}, brokenOff: true},
		"resumed by the caller, steps of one":            {ids: []int{8, 9, 10}, last: "7", kept: 3},
		"resumed by the caller, a step of two first":     {ids: []int{9, 10, 11}, last: "7", kept: 3},
		"resumed by the caller, a step of two later":     {ids: []int{8, 9, 11}, last: "7", kept: 2, rest: []int{10, 11}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			var s idSequence
			size, last, missing := s.check(eventsWithIDs(tc.ids...), tc.last)
			if want := len(eventsWithIDs(tc.ids[:tc.kept]...)); size != want || (missing != nil) != (tc.kept < len(tc.ids)) {
				t.Fatalf("kept %d bytes, want %d; missing %v", size, want, missing)
			}
			if tc.rest == nil {
				return
			}
			if _, _, missing = s.check(eventsWithIDs(tc.rest...), last); (missing != nil) != tc.brokenOff {
				t.Fatalf("the rest: missing %v, want broken off %t", missing, tc.brokenOff)
			}
		})
	}
}

// Guards against a service whose streams leave out ids on purpose and of which a part is judged for ever, because streams are not checked,
// and so count as consecutive, while gaps are usual.
func TestUsualGapsStayUsual(t *testing.T) {
	const streams, learning = 1000, 8
	n := &run{service: &service{gaps: &completeness.Habit{}}}
	judged := 0
	for range streams {
		n.stream = streamState{}
		_, _, err := n.nextEvents(eventsWithIDs(1, 2, 3, 5, 6))
		n.service.gaps.Record(n.stream.ids.gap != nil) // as relayStream does at the end of an attempt
		if err != nil {
			judged++
		}
	}
	if judged > learning {
		t.Fatalf("%d of %d streams were judged, want %d at most", judged, streams, learning)
	}
}
