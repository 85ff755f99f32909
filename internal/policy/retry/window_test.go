package retry_test

import (
	"testing"
	"time"

	"github.com/cardamomyoke/cardamomyoke/internal/policy/retry"
)

// Guards against a crash, or retries beyond the bound, when a request that waited, or whose process was paused, is
// recorded with an earlier time than others before it. It must not clear the retries of the last seconds.
func TestLateFirstAttemptKeepsRetryCounts(t *testing.T) {
	const length, extra = 10 * time.Second, 2
	for _, earlier := range []time.Duration{time.Millisecond, 2 * time.Second, length, 2 * length} {
		w := retry.NewWindow()
		w.SetBound(retry.Bound{Length: length, Extra: extra})
		w.RecordFirst(now)
		at := now.Add(11 * time.Second)
		for range extra {
			if !w.Allow(at) {
				t.Fatal("no retry is left in a new window")
			}
		}
		w.RecordFirst(at.Add(-earlier))
		if left := w.Remaining(at); left != 0 {
			t.Errorf("a first attempt of %v before: %d retries left", earlier, left)
		}
	}
}
