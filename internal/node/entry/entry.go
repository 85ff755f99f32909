package entry

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/cardamomyoke/cardamomyoke/internal/base/charts"
	"github.com/cardamomyoke/cardamomyoke/internal/base/control"
	"github.com/cardamomyoke/cardamomyoke/internal/base/httpclient"
	"github.com/cardamomyoke/cardamomyoke/internal/base/httpserver"
	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
	"github.com/cardamomyoke/cardamomyoke/internal/base/tracing"
	cardamomyokev1 "github.com/cardamomyoke/cardamomyoke/internal/gen/cardamomyoke/v1"
	"github.com/cardamomyoke/cardamomyoke/internal/policy/admission/limits"
	"github.com/cardamomyoke/cardamomyoke/internal/policy/quarantine"
	"github.com/cardamomyoke/cardamomyoke/internal/state/config"
	"github.com/cardamomyoke/cardamomyoke/internal/state/digest"
	"github.com/cardamomyoke/cardamomyoke/internal/state/platform"
	"github.com/cardamomyoke/cardamomyoke/internal/state/revision"
)

// Deps are the dependencies of an entry.
type Deps struct {
	Config config.Source
	// Loop is the control loop of the process; its owner must call Tick on it. If nil, the entry runs its own loop.
	Loop *control.Loop
	// Incarnation identifies this run of the process. If empty, the entry generates one.
	Incarnation ids.Incarnation
	// Table stores the requests that are suspected of crashing upstreams. If nil, they are held in memory only.
	Table platform.Table
	// Roster returns the members listed in the configuration log. It is nil if there is no log.
	Roster func() *revision.Roster
	// Audit records this entry's decisions about upstreams and requests. It must not block. If nil, they are not recorded.
	Audit  func(now time.Time, r *cardamomyokev1.AuditRow)
	Logger log.Logger
	Tracer *tracing.Tracer
}

// Entry is one running entry.
type Entry struct {
	settings    *Settings
	incarnation ids.Incarnation
	config      config.Source
	logger      log.Logger
	tracer      *tracing.Tracer
	roster      func() *revision.Roster
	metrics     *entryMetrics
	resends     *resendLogs
	client      *httpclient.Client
	limits      *limits.Limiter
	quarantine  *quarantine.PersistentTracker
	sequence    atomic.Uint64
	view        atomic.Pointer[view]
	// withdrawn is set once this entry's address is no longer given to callers.
	withdrawn atomic.Bool
	server    *httpserver.Server
	loop      *control.Loop
	state     *state
	lifecycle charts.Machine
	// viewBuiltAt is when the view was built and viewState the state of lifecycle at that time.
	viewBuiltAt    time.Time
	viewState      charts.State
	receiver       *digest.Receiver
	sender         *digest.Sender
	digestSequence uint64
	usageSentAt    time.Time
	// clientsByHash resolves the client hashes in usage reports. The control loop owns it.
	clientsByHash limits.ClientsByHash
	cancel        context.CancelFunc
}

const (
	// defaultLoops is the number of event loops of the listener for callers.
	defaultLoops = 2
	// defaultQuarantinePeriod is the quarantine period until a configuration is loaded.
	defaultQuarantinePeriod = 10 * time.Minute
	// maxDigestSuspects is the maximum number of suspects per digest; more would not fit into its datagram.
	maxDigestSuspects = 4
	// tickInterval is the interval at which the control loop evaluates health.
	tickInterval = 25 * time.Millisecond
	// viewInterval is the interval at which the view is rebuilt if no urgent change requires it earlier. Digests arrive at
	// intervals of 250 ms or more, and building a view at each tick would use most of the processor time allotted to control.
	viewInterval = 100 * time.Millisecond
)

// Events and actions of the entry chart.
const (
	eventConfigured   charts.Event = "configured"
	eventStale        charts.Event = "stale"
	eventFresh        charts.Event = "fresh"
	eventLeave        charts.Event = "leave"
	eventHandoverOver charts.Event = "handover-over"
	eventDrained      charts.Event = "drained"

	actionWithdraw charts.Action = "withdraw-address"

	stateServing charts.State = "serving"
	stateLeaving charts.State = "leaving"
)

// Start opens the entry's listeners. The entry serves requests once it has a configuration.
func Start(set *Settings, d Deps) (*Entry, error) {
	now := time.Now()
	e := &Entry{
		settings:    set,
		incarnation: d.Incarnation,
		config:      d.Config,
		logger:      log.With(d.Logger, "node", set.Name),
		tracer:      d.Tracer,
		roster:      d.Roster,
		metrics:     newEntryMetrics(),
		client:      httpclient.New(httpclient.Options{}),
		limits:      limits.New(limits.Defaults(), 1),
		loop:        d.Loop,
		lifecycle:   charts.MustLoad("entry").Start(),
	}
	e.resends = newResendLogs(e.logger)
	if e.incarnation == "" {
		e.incarnation = ids.NewIncarnation()
	}
	if e.loop == nil {
		e.loop = control.New()
	}
	e.quarantine = quarantine.NewPersistentTracker(d.Table, quarantine.Rules{Period: defaultQuarantinePeriod}, quarantine.DefaultPersistentTrackerOptions())
	e.state = newState(set, d.Config, e.limits, e.logger, now)
	if d.Audit != nil {
		e.state.record = d.Audit
	}
	e.view.Store(&view{})
	if err := e.listen(); err != nil {
		return nil, fmt.Errorf("entry %s: %w", set.Name, err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	e.cancel = cancel
	if d.Table != nil {
		go e.quarantine.Run(ctx)
	}
	if d.Loop == nil {
		go e.loop.Run(ctx, tickInterval, e.Tick)
	}
	_ = level.Info(e.logger).Log("msg", "entry listening", "http", set.HTTP.Address, "incarnation", e.incarnation)
	return e, nil
}

func (e *Entry) listen() error {
	var err error
	e.sender, err = digest.NewSender()
	if err != nil {
		return err
	}
	e.receiver, err = digest.Receive(e.settings.Digests.Address, func(d *cardamomyokev1.Digest) {
		e.loop.Post(func(now time.Time) { e.receiveDigest(d, now) })
	})
	if err != nil {
		_ = e.sender.Close()
		return err
	}
	loops := e.settings.HTTP.Loops
	if loops == 0 {
		loops = defaultLoops
	}
	e.server, err = httpserver.Start(e.settings.HTTP.Address, loops, e.settings.HTTP.Limits, e.serve)
	if err != nil {
		_ = e.receiver.Stop(context.Background())
		_ = e.sender.Close()
	}
	return err
}

// receiveDigest processes a digest. It runs on the control loop.
func (e *Entry) receiveDigest(d *cardamomyokev1.Digest, now time.Time) {
	if e.state.receiveDigest(d, now) {
		e.mergeSuspects(now, quarantine.FromDigest(d))
		e.receiveUsage(d, now)
	}
}

// Tick advances the entry to now. It runs on the control loop.
func (e *Entry) Tick(now time.Time) {
	e.applyConfig(now)
	if e.roster != nil {
		e.state.applyRoster(e.roster(), now)
	}
	e.state.tick(now)
	if e.viewDue(now) {
		e.publish(now)
	}
	for _, p := range e.view.Load().pools {
		p.gate.Tick(now)
	}
	e.sendDigests(now, false)
	e.reportUsage(now)
}

// applyConfig applies the configuration in force if it changed, and fires the lifecycle event for whether it is fresh or
// stale.
func (e *Entry) applyConfig(now time.Time) {
	snap := e.config.Current()
	if snap == nil {
		return
	}
	if snap != e.state.snapshot {
		e.state.applySnapshot(snap)
		e.limits.SetLimits(limitsOf(snap))
		e.clientsByHash = clientsByHashOf(snap)
		e.quarantine.SetPeriod(time.Duration(snap.Proto.GetPolicies().GetQuarantineS()) * time.Second)
		_ = level.Info(e.logger).Log("msg", "configuration in force", "revision", snap.Revision())
	}
	e.limits.SetEntries(e.state.members.EntryCount())
	e.fire(eventConfigured)
	if e.config.Fresh(now) {
		e.fire(eventFresh)
	} else {
		e.fire(eventStale)
	}
}

func clientsByHashOf(snap *config.Snapshot) limits.ClientsByHash {
	var clients []ids.Client
	for _, c := range snap.Proto.GetClients() {
		clients = append(clients, ids.Client(c.GetName()))
	}
	return limits.NewClientsByHash(clients)
}

func limitsOf(snap *config.Snapshot) map[ids.Client]limits.Limit {
	out := map[ids.Client]limits.Limit{}
	for _, c := range snap.Proto.GetClients() {
		l := limits.Limit{RequestsPerSecond: float64(c.GetRequestsPerS()), TokensPerSecond: float64(c.GetTokensPerS())}
		if l != (limits.Limit{}) {
			out[ids.Client(c.GetName())] = l
		}
	}
	return out
}

// fire applies an event to the entry's lifecycle. It runs on the control loop.
func (e *Entry) fire(ev charts.Event) {
	before := e.lifecycle.State()
	actions, err := e.lifecycle.Fire(ev)
	if err != nil {
		_ = level.Error(e.logger).Log("msg", "event rejected by the entry's state chart", "err", err)
		return
	}
	for _, a := range actions {
		if a == actionWithdraw {
			e.withdrawn.Store(true)
		}
	}
	if after := e.lifecycle.State(); after != before {
		_ = level.Info(e.logger).Log("msg", "entry changed", "from", before, "to", after)
	}
}

// viewDue reports whether the view must be rebuilt: immediately if the configuration or the lifecycle state changed,
// otherwise once per viewInterval.
func (e *Entry) viewDue(now time.Time) bool {
	changed := e.view.Load().config != e.state.snapshot || e.lifecycle.State() != e.viewState
	return changed || now.Sub(e.viewBuiltAt) >= viewInterval
}

func (e *Entry) publish(now time.Time) {
	current := e.lifecycle.State()
	e.viewBuiltAt, e.viewState = now, current
	e.view.Store(e.state.build(current == stateServing || current == stateLeaving, now))
}

// sendDigests sends this entry's digest to the targets that are due, or to all targets if all is set, for an urgent
// change.
func (e *Entry) sendDigests(now time.Time, all bool) {
	due := e.state.members.DueTargets(e.settings.Digests.Seeds, now, all)
	if len(due) == 0 {
		return
	}
	e.digestSequence++
	d := e.ownDigest(now)
	for _, to := range due {
		n, err := e.sender.Send(to.Address, d)
		e.metrics.digestBytes.Add(n)
		if err != nil {
			_ = level.Debug(e.logger).Log("msg", "digest not sent", "to", to.Address, "err", err)
		}
	}
}

func (e *Entry) ownDigest(now time.Time) *cardamomyokev1.Digest {
	state := cardamomyokev1.NodeState_NODE_STATE_LIVE
	if e.withdrawn.Load() || e.lifecycle.State() != stateServing {
		state = cardamomyokev1.NodeState_NODE_STATE_LEAVING
	}
	d := &cardamomyokev1.Digest{
		Node:           e.settings.Name,
		Incarnation:    string(e.incarnation),
		Sequence:       e.digestSequence,
		Role:           cardamomyokev1.NodeRole_NODE_ROLE_ENTRY,
		State:          state,
		DataCentre:     string(e.settings.DataCentre),
		HttpAddress:    e.settings.HTTP.Address,
		ControlAddress: e.settings.Control.Address,
		DigestAddress:  e.settings.Digests.Address,
	}
	d.Suspects = quarantine.ToDigest(e.quarantine.Digest(now, maxDigestSuspects))
	if e.state.snapshot != nil {
		d.Revision = uint64(e.state.snapshot.Revision())
	}
	return d
}
