package retry_test

import (
	"testing"
	"time"

	"github.com/cardamomyoke/cardamomyoke/internal/policy/retry"
)

// Failure: a request that waited, or whose process stood still, is counted for a moment before the others; the process ends, or
// the retries of the last seconds are forgotten and the bound is broken.
func TestAFirstAttemptThatIsCountedLateForgetsNothing(t *testing.T) {
	const length, extra = 10 * time.Second, 2
	for _, earlier := range []time.Duration{time.Millisecond, 2 * time.Second, length, 2 * length} {
		w := retry.NewWindow()
		w.SetBound(retry.Bound{Length: length, Extra: extra})
		w.First(now)
		at := now.Add(11 * time.Second)
		for range extra {
			if !w.Allow(at) {
				t.Fatal("no retry is left in a new window")
			}
		}
		w.First(at.Add(-earlier))
		if left := w.Left(at); left != 0 {
			t.Errorf("a first attempt of %v before: %d retries left", earlier, left)
		}
	}
}
