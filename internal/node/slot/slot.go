// Package slot implements the process that runs on the same host as an upstream and is the only one that sends it
// requests and orders. An upstream is an engine, which runs a model, or a plain service.
//
// A slot refuses attempts that must not start: fenced ones, which it has promised never to start, those based on a
// stale configuration, those past their deadline and, while it drains, all. It starts each of the others exactly once,
// matches the upstream's response to its attempt and reports the upstream's load to the entries.
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

// Deps are the dependencies of a slot.
type Deps struct {
	Config config.Source
	// Incarnation identifies this run of the process. If empty, the slot generates one.
	Incarnation ids.Incarnation
	// Roster returns the members listed in the configuration log. It is nil if there is no log.
	Roster func() *revision.Roster
	// Table stores the claims of requests that must not be repeated, and holds the orders for engines.
	Table  platform.Table
	Logger log.Logger
	Tracer *tracing.Tracer
}

// Slot is one running slot.
type Slot struct {
	settings       *Settings
	incarnation    ids.Incarnation
	config         config.Source
	logger         log.Logger
	tracer         *tracing.Tracer
	roster         func() *revision.Roster
	metrics        *slotMetrics
	attemptLogs    *attemptLogs
	attempts       *attempt.Tracker
	client         *httpclient.Client
	work           *work
	claims         *claims.Store
	quarantineGate *quarantine.Gate
	upstream       upstreamMonitor
	stopClaims     context.CancelFunc
	speed          speed
	// progress counts the tokens and responses of the upstream; on the wire it is called steps. Entries detect a stall if
	// it does not advance.
	progress atomic.Uint64
	draining atomic.Bool
	server   *httpserver.Server
	digests  *digests
}

// claimTimeout is the time after which the response to a claim transaction counts as lost.
const claimTimeout = 500 * time.Millisecond

// defaultQuarantinePeriod is the quarantine period until a configuration is loaded.
const defaultQuarantinePeriod = 10 * time.Minute

// defaultLoops is the number of event loops of a slot's listener.
const defaultLoops = 1

// Start opens the slot's listeners and starts to send digests to entries.
func Start(set *Settings, d Deps) (*Slot, error) {
	s := &Slot{
		settings:    set,
		incarnation: d.Incarnation,
		config:      d.Config,
		logger:      log.With(d.Logger, "node", set.Name),
		tracer:      d.Tracer,
		roster:      d.Roster,
		metrics:     newSlotMetrics(),
		attempts:    attempt.NewTracker(time.Now()),
		client:      httpclient.New(httpclient.Options{}),
		work:        newWork(),
	}
	s.attemptLogs = newAttemptLogs(s.logger)
	if s.incarnation == "" {
		s.incarnation = ids.NewIncarnation()
	}
	claimOptions := claims.DefaultOptions(s.incarnation)
	claimOptions.Metrics = s.metrics.set
	s.quarantineGate = quarantine.NewGate(s.incarnation, quarantinePeriod(d.Config))
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
	_ = level.Info(s.logger).Log("msg", "slot listening", "http", set.HTTP.Address, "service", set.Service, "incarnation", s.incarnation)
	return s, nil
}

// quarantinePeriod returns how long a request that crashed its upstreams is refused.
func quarantinePeriod(c config.Source) time.Duration {
	snap := c.Current()
	if snap == nil {
		return defaultQuarantinePeriod
	}
	return time.Duration(snap.Proto.GetPolicies().GetQuarantineS()) * time.Second
}

// Incarnation returns the incarnation of the slot.
func (s *Slot) Incarnation() ids.Incarnation { return s.incarnation }

// Shutdown immediately refuses new work and notifies the entries, then waits for the running requests and stops the slot.
// ctx bounds the wait.
func (s *Slot) Shutdown(ctx context.Context) error {
	s.draining.Store(true)
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

// Kill stops the slot immediately, as a crash would.
func (s *Slot) Kill() {
	s.stopClaims()
	s.digests.stop()
	_ = s.server.Stop(context.Background())
	s.client.Close()
}
