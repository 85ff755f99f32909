package quarantine

import (
	"fmt"
	"testing"
	"time"
)

const seeds = 10

// The caller of a poisonous request resends it through every entry at once and is refused; the others are answered.
// The copies that are under way when the first upstream dies may each take one down, and one more dies of the run
// alone. No other request is ever refused as a suspect. Without the quarantine every restarted upstream dies again.
func TestOneRequestTakesDownFewUpstreams(t *testing.T) {
	base := Scenario{Entries: 7, Upstreams: 16, Batch: 8, Poison: true, Duration: 45 * time.Second}
	for seed := range uint64(seeds) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			f := Run(base, seed)
			if f.Taken < 1 || f.Taken > base.Entries+2 || f.Refused != 0 {
				t.Errorf("%d upstreams taken down, %d innocents refused", f.Taken, f.Refused)
			}
			one := base
			one.Entries = 1
			if f := Run(one, seed); f.Taken < 1 || f.Taken > 3 || f.Refused != 0 {
				t.Errorf("one entry: %d upstreams taken down, %d innocents refused", f.Taken, f.Refused)
			}
		})
	}
	base.Off = true
	if f := Run(base, 1); f.Taken <= base.Entries+2 {
		t.Errorf("without quarantine only %d upstreams are taken down: the check above cannot fail", f.Taken)
	}
}
