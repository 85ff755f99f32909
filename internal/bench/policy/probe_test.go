package policy

import (
	"fmt"
	"sync"
	"testing"
	"time"
)

func TestProbe(t *testing.T) {
	type key struct {
		shared bool
		load   float64
		p      string
		seed   uint64
	}
	type row struct{ vis, routed, first99, firstR99, gap, hit, ans, ref, miss, good, small float64 }
	out := map[key]*row{}
	var mu sync.Mutex
	var wg sync.WaitGroup
	sem := make(chan bool, 4)
	const seeds = 3
	ps := []string{policyExpectedWait}
	loads := []float64{0.7, 3}
	for seed := uint64(1); seed <= seeds; seed++ {
		for _, shared := range []bool{false} {
			rate := 320.0
			if !shared {
				rate = 193
			}
			for _, load := range loads {
				for _, p := range ps {
					wg.Add(1)
					go func() {
						defer wg.Done()
						sem <- true
						defer func() { <-sem }()
						r := simulate(setup{seed: seed, rate: load * rate, shared: shared, policy: p, admit: admitFair, retries: retriesBudget, run: 85 * time.Second, warmup: 15 * time.Second})
						mu.Lock()
						defer mu.Unlock()
						ms := func(d time.Duration) float64 { return float64(d) / 1e6 }
						out[key{shared, load, p, seed}] = &row{ms(quantile(r.visible, 95)), ms(quantile(r.routed, 95)), ms(quantile(r.visibleFirst, 99)), ms(quantile(r.routedFirst, 99)), ms(quantile(r.gaps, 95)), ratio(r.cachedTokens, r.promptTokens), float64(r.answeredN), float64(r.refusedN), float64(r.missedN), r.goodput(), r.smallShare()}
					}()
				}
			}
		}
	}
	wg.Wait()
	for _, shared := range []bool{false} {
		for _, load := range loads {
			for _, p := range ps {
				var a row
				sm := 1.0
				for seed := uint64(1); seed <= seeds; seed++ {
					x := out[key{shared, load, p, seed}]
					a.vis += x.vis / seeds
					a.routed += x.routed / seeds
					a.first99 += x.first99 / seeds
					a.firstR99 += x.firstR99 / seeds
					a.gap += x.gap / seeds
					a.hit += x.hit / seeds
					a.ans += x.ans / seeds
					a.ref += x.ref / seeds
					a.miss += x.miss / seeds
					a.good += x.good / seeds
					sm = min(sm, x.small)
				}
				fmt.Printf("%v %.1f %-15s vis95 %6.0f routed95 %6.0f first99 %6.0f/%6.0f gap %4.1f hit %.2f ans %6.0f ref %6.0f miss %4.0f good %6.0f small %.2f\n", shared, load, p, a.vis, a.routed, a.first99, a.firstR99, a.gap, a.hit, a.ans, a.ref, a.miss, a.good, sm)
			}
		}
	}
}
