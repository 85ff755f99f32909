package quarantine

import (
	"fmt"
	"testing"
	"time"
)

const seeds = 10

// Guards against a poisonous request that its caller resends through all entries and that crashes one upstream after the
// other, and against the refusal of other requests as suspects. Each copy that is in flight at the first crash may crash
// one upstream, and one more crashes when the request runs alone. Without the quarantine every restarted upstream crashes again.
func TestPoisonousRequestCrashesFewUpstreams(t *testing.T) {
	base := Scenario{Entries: 7, Upstreams: 16, Batch: 8, Poison: true, Duration: 45 * time.Second}
	for seed := range uint64(seeds) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			f := Run(base, seed)
			if f.PoisonCrashes < 1 || f.PoisonCrashes > base.Entries+2 || f.FalselyRefused != 0 {
				t.Errorf("%d upstreams crashed, %d other requests refused", f.PoisonCrashes, f.FalselyRefused)
			}
			oneEntry := base
			oneEntry.Entries = 1
			if f := Run(oneEntry, seed); f.PoisonCrashes < 1 || f.PoisonCrashes > 3 || f.FalselyRefused != 0 {
				t.Errorf("one entry: %d upstreams crashed, %d other requests refused", f.PoisonCrashes, f.FalselyRefused)
			}
		})
	}
	base.Disabled = true
	if f := Run(base, 1); f.PoisonCrashes <= base.Entries+2 {
		t.Errorf("without quarantine only %d upstreams crashed: the check above cannot fail", f.PoisonCrashes)
	}
}
