package placement

import (
	"testing"
	"time"
)

func TestStayReason(t *testing.T) {
	o := Options{MoveWeight: 10, Horizon: 1000 * time.Second, Hysteresis: 0.02}
	tests := map[string]struct {
		skew, target, noise float64
		bytes               uint64
		want                Reason
	}{
		"pays back":        {1.10, 1.00, 0.01, 9e9, ""},
		"nothing to load":  {1.10, 1.00, 0.01, 0, ""},
		"no gain":          {1.10, 1.10, 0, 0, ReasonNoGain},
		"below hysteresis": {1.10, 1.09, 0, 0, ReasonHysteresis},
		"within noise":     {1.10, 1.00, 0.05, 0, ReasonNoise},
		"no payback":       {1.10, 1.00, 0.01, 11e9, ReasonPayback},
	}
	for name, tc := range tests {
		if got := stayReason(o, Decision{Skew: tc.skew, Target: tc.target, Noise: tc.noise}, tc.bytes); got != tc.want {
			t.Errorf("%s: got %q, want %q", name, got, tc.want)
		}
	}
}
