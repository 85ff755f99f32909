package retry_test

import (
	"testing"
	"time"

	cardamomyokev1 "github.com/cardamomyoke/cardamomyoke/internal/gen/cardamomyoke/v1"
	"github.com/cardamomyoke/cardamomyoke/internal/policy/retry"
)

// Guards against grants after the store came back older, while those that it has lost still count.
func TestNothingIsGrantedWhileGrantsMayBeLost(t *testing.T) {
	bound := retry.Bound{Length: 10 * time.Second, Ratio: 0.2, Extra: 90}
	for _, tc := range []struct {
		name  string
		era   uint64
		after time.Duration
		want  int
	}{
		{"never came back", 0, 0, 4},
		{"just came back", 1, 0, 0},
		{"came back a window ago", 1, 10 * time.Second, 0},
		{"came back long ago", 1, 12 * time.Second, 4},
	} {
		l := retry.NewLedger()
		l.Merge(&cardamomyokev1.RetryGrants{}, tc.era, 0, now)
		if got := l.Propose(4, 90, bound, now.Add(tc.after)).Retries; got != tc.want {
			t.Errorf("%s: granted %d, want %d", tc.name, got, tc.want)
		}
	}
}
