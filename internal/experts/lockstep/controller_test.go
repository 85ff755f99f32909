package lockstep_test

import (
	"context"
	"testing"
	"time"

	"github.com/go-kit/log"

	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
	"github.com/cardamomyoke/cardamomyoke/internal/experts/lockstep"
	"github.com/cardamomyoke/cardamomyoke/internal/state/catalog"
)

// startController controls a group of two ranks with four experts until the test's end or stop. It switches for any
// gain once it has minCounts counts.
func startController(t *testing.T, client lockstep.RankClient, list []*catalog.Upstream, minCounts float64) (stop func()) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	go lockstep.NewController(controllerOptions(client, list, minCounts, func() ids.Fence { return 7 })).Run(ctx)
	return cancel
}

func controllerOptions(client lockstep.RankClient, list []*catalog.Upstream, minCounts float64, fence func() ids.Fence) lockstep.ControllerOptions {
	return lockstep.ControllerOptions{
		RankClient: client, Logger: log.NewNopLogger(), Serials: lockstep.NewSerials(),
		Group: func() *lockstep.Group {
			return &lockstep.Group{Name: "a", Upstreams: list, Engine: &catalog.Engine{Experts: &catalog.Experts{Sets: 1, PerSet: 4, MaxPerRank: 4, Spare: 2}}}
		},
		Fence:  fence,
		Period: 500 * time.Millisecond, HalfLife: 500 * time.Millisecond, Sample: 2, SampleLocal: 2,
		Policy: lockstep.Options{MinGain: 0.01, MinCounts: minCounts},
	}
}
