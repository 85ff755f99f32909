package monotonic_test

import (
	"testing"
	"time"

	"github.com/cardamomyoke/cardamomyoke/internal/base/monotonic"
)

// Guards against a paused host that resumes and forwards requests that its callers have already cancelled. Observe must
// report the pause while requests that arrived during it may still be read.
func TestPauseDetectorReportsRecentPause(t *testing.T) {
	begin := time.Unix(100, 0)
	for name, c := range map[string]struct {
		observed []time.Duration
		want     time.Duration
	}{
		"first observation":          {[]time.Duration{0}, 0},
		"normal gaps":                {[]time.Duration{0, 50 * time.Millisecond, 100 * time.Millisecond}, 0},
		"busy host":                  {[]time.Duration{0, 280 * time.Millisecond}, 0},
		"resumed":                    {[]time.Duration{0, 4 * time.Second}, 4 * time.Second},
		"within resume window":       {[]time.Duration{0, 4 * time.Second, 4090 * time.Millisecond}, 4 * time.Second},
		"after resume window":        {[]time.Duration{0, 4 * time.Second, 4090 * time.Millisecond, 4110 * time.Millisecond}, 0},
		"observations out of order":  {[]time.Duration{0, 4 * time.Second, 3990 * time.Millisecond, 4 * time.Second}, 4 * time.Second},
		"a second pause":             {[]time.Duration{0, 4 * time.Second, 4050 * time.Millisecond, 5 * time.Second}, 950 * time.Millisecond},
		"a pause long after another": {[]time.Duration{0, time.Second, 1050 * time.Millisecond, time.Hour}, time.Hour - 1050*time.Millisecond},
	} {
		var p monotonic.PauseDetector
		var got time.Duration
		for _, d := range c.observed {
			got = p.Observe(begin.Add(d))
		}
		if got != c.want {
			t.Errorf("%s: got %v, want %v", name, got, c.want)
		}
	}
}
