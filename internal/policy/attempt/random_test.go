package attempt_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
	"github.com/cardamomyoke/cardamomyoke/internal/policy/attempt"
)

// Guards against a promise that does not hold: copies of attempts and of fence requests arrive in any order and at any time after the
// attempt was made.
func TestNoAttemptIsBothStartedAndFenced(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tracker, now := attempt.NewTracker(t0), t0
		var made []ids.Attempt
		started, fenced := map[ids.Attempt]bool{}, map[ids.Attempt]bool{}
		next := map[ids.Incarnation]uint64{}
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			if rapid.IntRange(0, 5).Draw(t, "wait") == 0 {
				now = now.Add(time.Duration(rapid.IntRange(1, 40).Draw(t, "minutes")) * time.Minute)
			}
			if len(made) == 0 || rapid.IntRange(0, 2).Draw(t, "new") == 0 {
				entry := rapid.SampledFrom([]ids.Incarnation{"e1", "e2", "e3"}).Draw(t, "entry")
				next[entry]++
				made = append(made, ids.Attempt{Entry: entry, Seq: next[entry]})
			}
			a := rapid.SampledFrom(made).Draw(t, "attempt")
			switch rapid.IntRange(0, 2).Draw(t, "event") {
			case 0:
				if tracker.Begin(a, now) != nil {
					continue
				}
				if started[a] || fenced[a] {
					t.Fatalf("attempt %s started, before: started %t, fenced %t", a, started[a], fenced[a])
				}
				started[a] = true
			case 1:
				if !tracker.Fence(a, now) {
					continue
				}
				if started[a] {
					t.Fatalf("attempt %s was fenced after it started", a)
				}
				fenced[a] = true
			default:
				tracker.Finish(a, now)
			}
		}
	})
}
