// Package slot is the process beside each upstream: the only one that hands it work or orders.
//
// It refuses what must not start (fenced, stale, late, leaving), starts the rest exactly once, matches the upstream's
// answer to its attempt and tells entries how loaded the upstream is.
package slot

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/cardamomyoke/cardamomyoke/internal/base/httpclient"
	"github.com/cardamomyoke/cardamomyoke/internal/base/httpserver"
	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
	"github.com/cardamomyoke/cardamomyoke/internal/base/tracing"
	"github.com/cardamomyoke/cardamomyoke/internal/policy/attempt"
	"github.com/cardamomyoke/cardamomyoke/internal/policy/quarantine"
	"github.com/cardamomyoke/cardamomyoke/internal/state/claims"
	"github.com/cardamomyoke/cardamomyoke/internal/state/config"
	"github.com/cardamomyoke/cardamomyoke/internal/state/platform"
	"github.com/cardamomyoke/cardamomyoke/internal/state/revision"
)

// Deps are the parts that a slot uses.
type Deps struct {
	Config config.Source
	// Incarnation is this life of the process; empty lets the slot draw one.
	Incarnation ids.Incarnation
	// Roster returns the members that the configuration log names; nil if there is no log.
	Roster func() *revision.Roster
	// Table keeps the claims of requests that may not be repeated.
	Table  platform.Table
	Logger log.Logger
	Tracer *tracing.Tracer
}

// Slot is one running slot.
type Slot struct {
	settings    *Settings
	incarnation ids.Incarnation
	config      config.Source
	logger      log.Logger
	tracer      *tracing.Tracer
	roster      func() *revision.Roster
	metrics     *slotMetrics
	table       *attempt.Tracker
	client      *httpclient.Client
	work        *work
	claims      *claims.Store
	guard       *quarantine.Gate
	upstream    upstreamWatch
	stopClaims  context.CancelFunc
	speed       speed
	// steps counts tokens and answers of the upstream: an entry that sees it stand still knows of a stall.
	steps   atomic.Uint64
	leaving atomic.Bool
	server  *httpserver.Server
	digests *digests
}

// claimTimeout is after how long the answer to a transaction counts as lost.
const claimTimeout = 500 * time.Millisecond

// defaultQuarantine holds until the configuration is known.
const defaultQuarantine = 10 * time.Minute

// defaultLoops is the number of event loops of a slot's listener.
const defaultLoops = 1

// Start opens the slot's listeners and begins to tell entries of it.
func Start(set *Settings, d Deps) (*Slot, error) {
	s := &Slot{
		settings:    set,
		incarnation: d.Incarnation,
		config:      d.Config,
		logger:      log.With(d.Logger, "node", set.Name),
		tracer:      d.Tracer,
		roster:      d.Roster,
		metrics:     newSlotMetrics(),
		table:       attempt.NewTracker(time.Now()),
		client:      httpclient.New(httpclient.Options{}),
		work:        newWork(),
	}
	if s.incarnation == "" {
		s.incarnation = ids.NewIncarnation()
	}
	claimOptions := claims.DefaultOptions(s.incarnation)
	claimOptions.Metrics = s.metrics.set
	s.guard = quarantine.NewGate(s.incarnation, quarantinePeriod(d.Config))
	s.claims = claims.NewStore(d.Table, claimOptions, claimTimeout)
	ctx, cancel := context.WithCancel(context.Background())
	s.stopClaims = cancel
	go s.claims.Run(ctx)
	server, err := httpserver.Start(set.HTTP.Address, max(set.HTTP.Loops, defaultLoops), set.HTTP.Limits, s.serve)
	if err != nil {
		cancel()
		return nil, fmt.Errorf("slot %s: %w", set.Name, err)
	}
	s.server = server
	s.digests, err = startDigests(s)
	if err != nil {
		cancel()
		_ = server.Stop(context.Background())
		return nil, fmt.Errorf("slot %s: %w", set.Name, err)
	}
	go s.upstream.run(ctx, s)
	if set.Upstream.Kind == KindModel {
		go (&orders{slot: s, table: d.Table}).run(ctx)
	}
	_ = level.Info(s.logger).Log("msg", "slot serves", "http", set.HTTP.Address, "service", set.Service, "incarnation", s.incarnation)
	return s, nil
}

// quarantinePeriod is for how long a request that crashed its upstreams is refused.
func quarantinePeriod(c config.Source) time.Duration {
	snap := c.Current()
	if snap == nil {
		return defaultQuarantine
	}
	return time.Duration(snap.Proto.GetPolicies().GetQuarantineS()) * time.Second
}

// Incarnation returns this life of the slot.
func (s *Slot) Incarnation() ids.Incarnation { return s.incarnation }

// Shutdown refuses new work at once, tells entries, finishes what runs and ends; ctx bounds the wait.
func (s *Slot) Shutdown(ctx context.Context) error {
	s.leaving.Store(true)
	s.digests.send(true)
	err := s.server.Drain(ctx)
	s.claims.Drain(ctx)
	s.stopClaims()
	s.digests.stop()
	if stopErr := s.server.Stop(context.Background()); stopErr != nil && err == nil {
		err = stopErr
	}
	s.client.Close()
	return err
}

// Kill ends the slot at once, as a crash would; for tests.
func (s *Slot) Kill() {
	s.stopClaims()
	s.digests.stop()
	_ = s.server.Stop(context.Background())
	s.client.Close()
}
