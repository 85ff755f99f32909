package retry_test

import (
	"testing"
	"time"

	"github.com/cardamomyoke/cardamomyoke/internal/policy/retry"
)

// Guards against a crash, or retries beyond the bound, when a request that waited, or whose process was paused, is
// recorded with an earlier time than others before it. It must not clear the retries of the last seconds.
func TestLateFirstAttemptKeepsRetryCounts(t *testing.T) {
	const length, granted = 10 * time.Second, 2
	for _, earlier := range []time.Duration{time.Millisecond, 2 * time.Second, length, 2 * length} {
		b := retry.NewSharedBudget()
		b.SetBound(retry.Bound{Length: length})
		b.RecordFirst(now)
		at := now.Add(11 * time.Second)
		b.Grant(granted, at)
		for range granted {
			token, taken := b.Take(at)
			if _, sent := b.Send(token, at); !taken || !sent {
				t.Fatal("no retry is left of those granted")
			}
		}
		b.RecordFirst(at.Add(-earlier))
		if u := b.Usage(at); u.Earned+u.Granted != 0 || u.Sent != granted {
			t.Errorf("a first attempt of %v before: %+v", earlier, u)
		}
	}
}
