package gateway

import (
	"cmp"
	"context"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/cardamomyoke/cardamomyoke/internal/base/control"
	"github.com/cardamomyoke/cardamomyoke/internal/base/httpclient"
	"github.com/cardamomyoke/cardamomyoke/internal/base/httpserver"
	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
	"github.com/cardamomyoke/cardamomyoke/internal/base/logging"
	"github.com/cardamomyoke/cardamomyoke/internal/base/monotonic"
	"github.com/cardamomyoke/cardamomyoke/internal/base/settings"
	"github.com/cardamomyoke/cardamomyoke/internal/base/tracing"
	"github.com/cardamomyoke/cardamomyoke/internal/experts/lockstep"
	"github.com/cardamomyoke/cardamomyoke/internal/state/catalog"
	"github.com/cardamomyoke/cardamomyoke/internal/state/evacuation"
	"github.com/cardamomyoke/cardamomyoke/internal/state/platform"
	"github.com/cardamomyoke/cardamomyoke/internal/state/registry"
	"github.com/cardamomyoke/cardamomyoke/internal/state/replica"
)

const (
	// tickInterval is the period of the control loop. It bounds how long a request waits beyond its deadline.
	tickInterval = 50 * time.Millisecond
	// dialTimeout is several times the longest round trip to an upstream; a dead host never responds.
	dialTimeout = 250 * time.Millisecond
	// upstreamIdleTimeout closes idle connections to upstreams, unless an upstream announces a shorter timeout.
	upstreamIdleTimeout = 10 * time.Second
	// upstreamSilentAfter closes a connection on which the upstream's host acknowledges nothing for this long.
	upstreamSilentAfter = 1500 * time.Millisecond
	// maxConnections bounds the connections of callers; the remaining file descriptors are reserved for upstreams and
	// the store.
	maxConnections = 2500
	// writeTimeout is how long a caller may leave a response unread.
	writeTimeout = 10 * time.Second
	// defaultIdleTimeout closes idle connections of callers until a configuration sets the timeout.
	defaultIdleTimeout = 75 * time.Second
)

// Deps are the dependencies of a gateway.
type Deps struct {
	Feed    platform.Feed
	Table   platform.Table
	Ranks   lockstep.RankClient
	Dialect Dialect
	Decoder Decoder
	Logger  log.Logger
	// Tracer is nil if tracing is disabled.
	Tracer *tracing.Tracer
}

// Gateway is one gateway process. Create it with Start.
type Gateway struct {
	settings    atomic.Pointer[Settings]
	dialect     Dialect
	decoder     Decoder
	logger      log.Logger
	requests    *requestLogs
	storeCalls  *logging.RateLimited
	startup     *startupWait
	pauses      monotonic.PauseDetector
	incarnation ids.Incarnation
	loop        *control.Loop
	metrics     *gatewayMetrics
	tracer      *tracing.Tracer
	table       platform.Table
	client      *httpclient.Client
	// bufferMemory bounds the memory of the buffers of long bodies.
	bufferMemory bufferMemory
	view         atomic.Pointer[view]

	followers        []*replica.Follower
	configFollower   *replica.Follower
	registryFollower *replica.Follower
	peers            *peers
	experts          *experts
	suspects         *suspects
	crashStore       *crashStore
	moves            *moves
	limits           *limits
	// evacuationStatus is published by the control loop, sorted by data centre.
	evacuationStatus atomic.Pointer[[]evacuationStatus]
	cold             *coldLimits
	accounts         *accountReports

	servers struct{ callers, directory, readiness *httpserver.Server }
	ranks   lockstep.RankClient
	ctx     context.Context
	cancel  context.CancelFunc
	// control belongs to the control loop.
	control controlState
}

// controlState is the state that only the control loop reads and writes.
type controlState struct {
	config    *catalog.Configuration
	upstreams *catalog.Upstreams
	// validEntries determines which registry entries are valid upstreams.
	validEntries *registry.Registry
	services     map[ids.Service]*service
	ownState     nodeState
	// finishBy is when all requests must have ended; zero unless this gateway is about to stop.
	finishBy time.Time
	// awaitsPeers is set while this gateway starts and waits for what its peers know.
	awaitsPeers bool
	// configurationError is the last error of a configuration that was logged.
	configurationError string
	// eras holds the era of each table's replica when it was last applied.
	eras map[string]uint64
	// earlierCheckedAt is when rows of earlier eras were last considered again.
	earlierCheckedAt time.Time
	// evacuations determines which data centres are evacuated; evacuated is its latest result.
	evacuations *evacuation.Tracker
	evacuated   *catalog.Evacuations
}

// Start opens the listeners and begins to follow the store. It returns *httpserver.ListenError or a network error.
func Start(set *Settings, d Deps) (*Gateway, error) {
	ctx, cancel := context.WithCancel(context.Background())
	g := &Gateway{
		dialect:     d.Dialect,
		decoder:     d.Decoder,
		logger:      d.Logger,
		requests:    newRequestLogs(d.Logger, set.RequestLog),
		storeCalls:  logging.NewRateLimited(level.Warn(d.Logger), maxStoreCallLogs, time.Now),
		incarnation: ids.NewIncarnation(),
		loop:        control.New(),
		metrics:     newMetrics(),
		moves:       newMoves(),
		limits:      newLimits(),
		cold:        newColdLimits(d.Logger, time.Now()),
		accounts:    newAccountReports(),
		startup:     newStartupWait(),
		tracer:      cmp.Or(d.Tracer, tracing.Disabled()),
		ranks:       d.Ranks,
		table:       d.Table,
		ctx:         ctx,
		cancel:      cancel,
		client: httpclient.New(httpclient.Options{
			DialTimeout: dialTimeout, IdleTimeout: upstreamIdleTimeout, SilentAfter: upstreamSilentAfter,
		}),
		control: controlState{
			upstreams: catalog.NewUpstreams(nil), validEntries: registry.New(d.Decoder.Upstream),
			services: map[ids.Service]*service{}, ownState: stateStarting, eras: map[string]uint64{},
			evacuations: evacuation.New(d.Decoder.Evacuation),
		},
	}
	g.settings.Store(set)
	g.configFollower = g.newFollower(d.Feed, d.Decoder.ConfigurationTable())
	g.registryFollower = g.newFollower(d.Feed, d.Decoder.UpstreamTable())
	g.followers = []*replica.Follower{g.configFollower, g.registryFollower}
	g.publish()
	g.suspects = newSuspects(set.Name, d.Logger, g.metrics)
	g.suspects.parts.announce = func() {
		go g.loop.Post(func(now time.Time) { g.peers.announce(now) })
	}
	g.crashStore = newCrashStore(g)
	var err error
	if g.peers, err = startPeers(ctx, g); err != nil {
		return nil, err
	}
	if err := g.listen(); err != nil {
		return nil, err
	}
	g.experts = newExperts(ctx, g, d.Ranks, d.Table)
	g.metrics.addGauges(g)
	for _, f := range g.followers {
		go f.Run(ctx)
	}
	go g.loop.Run(ctx, tickInterval, g.tick)
	_ = level.Info(g.logger).Log("msg", "started", "incarnation", g.incarnation, "callers", set.Listen.Callers, "store", set.Store)
	return g, nil
}

func (g *Gateway) newFollower(feed platform.Feed, table string) *replica.Follower {
	local := replica.NewReplica(table)
	return &replica.Follower{
		Feed:      feed,
		Replica:   local,
		Sentinel:  func() bool { return g.peers.sentinel(time.Now()) },
		Relayed:   func() bool { return g.peers.relayed(local, time.Now()) },
		Delegates: func() bool { return g.peers.delegatesStoreChecks(local, time.Now()) },
		FollowingChanged: func(r *replica.Replica, following bool) {
			_ = level.Info(g.logger).Log("msg", "store feed", "table", r.Name(), "following", following, "version", r.Newest())
			g.loop.Post(g.peers.announce)
		},
		Changed:     func(*replica.Replica) { g.loop.Post(g.onStoreChange) },
		CallFailed:  func(r *replica.Replica, err error) { g.logStoreCallFailed(r, err) },
		HistoryLost: func(r *replica.Replica, err *platform.HistoryLostError) { g.logStoreCallFailed(r, err) },
		ConnectionChanged: func(r *replica.Replica, c replica.StoreConnection) {
			g.logStoreConnection(r.Name(), c.Up, c.Cause)
			g.loop.Post(func(now time.Time) {
				g.publish()
				g.peers.announce(now)
			})
		},
	}
}

func (g *Gateway) listen() error {
	l := g.Settings().Listen
	limits := httpserver.Limits{MaxUnreadBytes: maxUnreadBytes, MaxConnections: maxConnections, IdleTimeout: settings.Duration(defaultIdleTimeout)}
	for _, s := range []struct {
		to      **httpserver.Server
		address string
		handler httpserver.Handler
	}{
		{&g.servers.callers, l.Callers, g.serve},
		{&g.servers.directory, l.Directory, g.serveDirectory},
		{&g.servers.readiness, l.Readiness, g.serveReadiness},
	} {
		server, err := httpserver.Start(s.address, 1, limits, s.handler)
		if err != nil {
			return err
		}
		*s.to = server
	}
	return nil
}

// onStoreChange applies a change of the store's tables. If this gateway follows the store on behalf of its peers, it
// announces the change to them immediately.
func (g *Gateway) onStoreChange(now time.Time) {
	g.applyTables(now)
	if g.configFollower.Following() || g.registryFollower.Following() {
		g.peers.announce(now)
	}
}

// applyTables applies the current rows of the replicated tables.
func (g *Gateway) applyTables(now time.Time) {
	before := g.control.ownState
	g.logEras()
	g.updateConfiguration(now)
	g.control.upstreams = g.readUpstreams(now)
	evacuated := g.control.evacuated
	g.control.evacuated = g.readEvacuations(now)
	// Before the upstreams are listed in the gates of the services, and again for services that are new.
	g.updateCold(now)
	g.updateServices()
	g.updateCold(now)
	g.limits.invalidate()
	g.publish()
	g.recordEvacuations(evacuated, now)
	if g.control.ownState != before {
		g.peers.sendToAll(now)
	}
}

// publish makes the current control state visible to requests.
func (g *Gateway) publish() {
	g.view.Store(&view{
		config:     g.control.config,
		upstreams:  g.control.upstreams,
		evacuated:  g.control.evacuated,
		services:   g.control.services,
		state:      g.control.ownState,
		storeUp:    g.configFollower.Connection().Up,
		storeSince: g.configFollower.Connection().Since,
	})
	hasUpstreams := g.control.upstreams.Len() > 0 || g.registryFollower.Replica.Newest().Version > 0
	if g.control.config != nil && hasUpstreams && g.knowsParts() {
		g.startup.finish()
	}
}

// knowsParts reports whether this gateway knows the stored parts under which upstreams crash, or does without them.
func (g *Gateway) knowsParts() bool {
	return g.suspects != nil && g.suspects.parts.serving.Load() || g.disabled(mechanismSuspects)
}

// tick runs once per tickInterval on the control loop.
func (g *Gateway) tick(now time.Time) {
	g.pauses.Observe(now)
	g.finishStart(now)
	g.checkEarlierRows(now)
	sharing := g.peers.sharing(now)
	g.updateAllowances(now)
	g.updateCold(now)
	g.updateAccounts(sharing.Gateways-1, now)
	for name, s := range g.control.services {
		s.gate.SetSharing(sharing)
		s.budget.SetBound(g.sharedRetryBound())
		slowdowns := g.peers.slowdowns(name, g.control.upstreams, now)
		s.gate.SetSlowdowns(slowdowns)
		if g.mayMoveSlow(s) {
			g.moves.moveStreams(slowdowns, now)
		}
		s.gate.SetOthersWork(g.peers.work(name, g.control.upstreams, now))
		g.logEjections(name, s)
	}
	g.tickEvacuations(now)
	g.suspects.tracker.Expire(now)
	if !g.disabled(mechanismSuspects) {
		g.suspects.parts.tick(now)
		g.crashStore.tick(now)
	}
	g.experts.tick(now)
	g.peers.tick(now)
}

// finishStart applies the tables again while this gateway waits for its peers.
func (g *Gateway) finishStart(now time.Time) {
	if g.control.awaitsPeers {
		g.applyTables(now)
	}
}

// Settings returns the settings in use; the caller must not change them.
func (g *Gateway) Settings() *Settings { return g.settings.Load() }

// Reload applies changed settings. Settings of listeners, logs, tracing and the node's identity apply only after a
// restart; Reload returns the keys of these that differ.
func (g *Gateway) Reload(next *Settings) (needRestart []string) {
	old := g.Settings()
	merged := *next
	if next.Name != old.Name {
		needRestart = append(needRestart, "name")
	}
	if next.Listen != old.Listen {
		needRestart = append(needRestart, "listen")
	}
	if next.DataCentre != old.DataCentre {
		needRestart = append(needRestart, "data_centre")
	}
	if next.Log != old.Log || next.RequestLog != old.RequestLog {
		needRestart = append(needRestart, "log")
	}
	if next.Tracing.OTLP != old.Tracing.OTLP || next.Tracing.File != old.Tracing.File {
		needRestart = append(needRestart, "tracing")
	}
	merged.Name, merged.Listen, merged.DataCentre = old.Name, old.Listen, old.DataCentre
	merged.Log, merged.RequestLog, merged.Tracing = old.Log, old.RequestLog, old.Tracing
	g.settings.Store(&merged)
	g.loop.Post(g.applyTables)
	return needRestart
}

// Busy returns the number of callers' requests in progress.
func (g *Gateway) Busy() int { return g.servers.callers.Busy() }
