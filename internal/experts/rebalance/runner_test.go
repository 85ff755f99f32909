package rebalance

import (
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-kit/log"

	"github.com/cardamomyoke/cardamomyoke/internal/base/control"
	"github.com/cardamomyoke/cardamomyoke/internal/experts/expertmap/node"
	cardamomyokev1 "github.com/cardamomyoke/cardamomyoke/internal/gen/cardamomyoke/v1"
	"github.com/cardamomyoke/cardamomyoke/internal/state/config"
	"github.com/cardamomyoke/cardamomyoke/internal/state/lease"
	"github.com/cardamomyoke/cardamomyoke/internal/state/lease/manager"
	"github.com/cardamomyoke/cardamomyoke/internal/testing/faulttest/memtable"
)

// Guards against a group that is decided on with the size that it had when this entry started.
func TestChangedGroupIsRunWithItsNewShape(t *testing.T) {
	loop := control.New()
	go loop.Run(t.Context(), time.Second, func(time.Time) {})
	directory := &Directory{Members: func() []*cardamomyokev1.Member { return nil }}
	r := NewRunner(RunnerOptions{
		Node: "entry", Directory: directory, Hub: node.NewHub(), Loop: loop, Logger: log.NewNopLogger(),
		Leases: manager.New(manager.Config{Name: "entry", Table: memtable.New(nil), Loop: loop, Rand: rand.New(rand.NewPCG(1, 2))}),
	})
	defer r.Stop()
	now := time.Now()
	for i, ranks := range []uint32{2, 2, 3} {
		now = now.Add(2 * checkInterval)
		g := &cardamomyokev1.ModelGroup{Name: "g", Ranks: ranks, Experts: 8, Layers: 1}
		r.opts.Config = config.Static{Snapshot: &config.Snapshot{Proto: &cardamomyokev1.Configuration{Groups: []*cardamomyokev1.ModelGroup{g}}}}
		stopped := false
		if running, found := r.groups["g"]; found {
			stop := running.stop
			running.stop = func() { stopped = true; stop() }
			r.groups["g"] = running
		}
		r.Tick(now)
		if got := r.groups["g"].shape.Ranks; got != int(ranks) {
			t.Fatalf("check %d: runs with %d ranks, want %d", i, got, ranks)
		}
		if stopped != (i == 2) {
			t.Fatalf("check %d: stopped %t", i, stopped)
		}
	}
}

// Guards against a switch that goes on for minutes after its lease was lost.
func TestRoundEndsWhenLeaseIsLost(t *testing.T) {
	for name, lost := range map[string]lease.HeldLease{
		"expired":     {Fence: 7, Until: time.Now()},
		"other token": {Fence: 8, Until: time.Now().Add(time.Hour)},
		"released":    {},
	} {
		t.Run(name, func(t *testing.T) {
			var current atomic.Pointer[lease.HeldLease]
			current.Store(&lease.HeldLease{Fence: 7, Until: time.Now().Add(time.Hour)})
			ctx, cancel := whileHeld(t.Context(), func() lease.HeldLease { return *current.Load() }, 7)
			defer cancel()
			time.Sleep(3 * leaseCheckInterval)
			if ctx.Err() != nil {
				t.Fatal("ended while the lease is held")
			}
			current.Store(&lost)
			<-ctx.Done()
		})
	}
}
