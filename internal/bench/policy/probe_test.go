package policy

import (
	"fmt"
	"testing"
	"time"
)

func TestProbe(t *testing.T) {
	for _, shared := range []bool{true, false} {
		t0 := time.Now()
		c := simulate(setup{seed: 1, rate: 1000, shared: shared, policy: policyRandomTwo, admit: admitLimit, saturate: true, run: 30 * time.Second})
		fmt.Println("carried", shared, c.carried(), time.Since(t0))
		for _, load := range []float64{0.7, 1, 1.5, 3} {
			for _, p := range []string{policyExpectedWait, policyRandomTwo, policyLeastRequests, policyRoundRobin} {
				t0 := time.Now()
				r := simulate(setup{seed: 1, rate: load * c.carried(), shared: shared, policy: p, admit: admitFair, retries: retriesBudget, run: 50 * time.Second, warmup: 15 * time.Second})
				fmt.Printf("%v %.1f %-15s visible p95 %8v routed p95 %8v first p99 %8v gap p95 %8v hit %.2f bel %.2f ans %d ref %d miss %d fail %d good %.0f small %.2f wall %v\n", shared, load, p, quantile(r.visible, 95), quantile(r.routed, 95),
					quantile(r.visibleFirst, 99), quantile(r.gaps, 95), ratio(r.cachedTokens, r.promptTokens), ratio(r.believedTokens, r.promptTokens), r.answeredN, r.refusedN, r.missedN, r.failedN, r.goodput(), r.smallShare(), time.Since(t0).Round(time.Millisecond))
			}
		}
	}
}
