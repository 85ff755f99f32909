package monotonic_test

import (
	"testing"
	"time"

	"github.com/cardamomyoke/cardamomyoke/internal/base/monotonic"
)

// Failure: a frozen host wakes and sends on what its callers have given up.
func TestWhatIsReadRightAfterAStandstillIsOld(t *testing.T) {
	begin := time.Unix(100, 0)
	for name, c := range map[string]struct {
		beats []time.Duration
		want  time.Duration
	}{
		"first beat":            {[]time.Duration{0}, 0},
		"as usual":              {[]time.Duration{0, 50 * time.Millisecond, 100 * time.Millisecond}, 0},
		"busy host":             {[]time.Duration{0, 280 * time.Millisecond}, 0},
		"woken":                 {[]time.Duration{0, 4 * time.Second}, 4 * time.Second},
		"just woken":            {[]time.Duration{0, 4 * time.Second, 4090 * time.Millisecond}, 4 * time.Second},
		"awake again":           {[]time.Duration{0, 4 * time.Second, 4090 * time.Millisecond, 4110 * time.Millisecond}, 0},
		"beats out of order":    {[]time.Duration{0, 4 * time.Second, 3990 * time.Millisecond, 4 * time.Second}, 4 * time.Second},
		"a second standstill":   {[]time.Duration{0, 4 * time.Second, 4050 * time.Millisecond, 5 * time.Second}, 950 * time.Millisecond},
		"one after a long time": {[]time.Duration{0, time.Second, 1050 * time.Millisecond, time.Hour}, time.Hour - 1050*time.Millisecond},
	} {
		var p monotonic.PauseDetector
		var got time.Duration
		for _, d := range c.beats {
			got = p.Observe(begin.Add(d))
		}
		if got != c.want {
			t.Errorf("%s: got %v, want %v", name, got, c.want)
		}
	}
}
