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

// Deps are the parts that an entry uses.
type Deps struct {
	Config config.Source
	// Loop is the process's control loop, on which Tick must be called; nil lets the entry run one of its own.
	Loop *control.Loop
	// Incarnation is this life of the process; empty lets the entry draw one.
	Incarnation ids.Incarnation
	// Table keeps what is known of requests that crash their upstreams; nil keeps it in memory only.
	Table platform.Table
	// Roster returns the members that the configuration log names; nil if there is no log.
	Roster func() *revision.Roster
	// Audit takes in what this entry decides about upstreams; nil: it is only logged. It must not wait.
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
	client      *httpclient.Client
	limits      *limits.Limiter
	quarantine  *quarantine.PersistentTracker
	sequence    atomic.Uint64
	view        atomic.Pointer[view]
	// withdrawn is set once callers are no longer sent here.
	withdrawn atomic.Bool
	server    *httpserver.Server
	loop      *control.Loop
	state     *state
	life      charts.Machine
	// viewAt and viewLife are when the view was built and in which state of life.
	viewAt   time.Time
	viewLife charts.State
	receiver *digest.Receiver
	sender   *digest.Sender
	digests  uint64
	usageAt  time.Time
	// clientNames finds accounts by their hashes in usage reports; the control loop owns it.
	clientNames limits.ClientsByHash
	cancel      context.CancelFunc
}

const (
	// defaultLoops is the number of event loops of the callers' listener.
	defaultLoops = 2
	// defaultQuarantine holds until the configuration is known.
	defaultQuarantine = 10 * time.Minute
	// digestSuspects is how many suspects one digest carries; more would not fit its datagram.
	digestSuspects = 4
	// tickInterval is how often the control loop judges health.
	tickInterval = 25 * time.Millisecond
	// viewInterval is how often it builds a view without a change that cannot wait. Digests come every 250 ms or more, and
	// building a view at each tick would take most of the processor time that control may have.
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

// Start opens the entry's listeners. It serves once the configuration is known.
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
		life:        charts.MustLoad("entry").Start(),
	}
	if e.incarnation == "" {
		e.incarnation = ids.NewIncarnation()
	}
	if e.loop == nil {
		e.loop = control.New()
	}
	e.quarantine = quarantine.NewPersistentTracker(d.Table, quarantine.Rules{Period: defaultQuarantine}, quarantine.DefaultPersistentTrackerOptions())
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
	_ = level.Info(e.logger).Log("msg", "entry listens", "http", set.HTTP.Address, "incarnation", e.incarnation)
	return e, nil
}

func (e *Entry) listen() error {
	var err error
	e.sender, err = digest.NewSender()
	if err != nil {
		return err
	}
	e.receiver, err = digest.Receive(e.settings.Digests.Address, func(d *cardamomyokev1.Digest) {
		e.loop.Post(func(now time.Time) { e.hear(d, now) })
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

// hear takes in a digest; it runs on the control loop.
func (e *Entry) hear(d *cardamomyokev1.Digest, now time.Time) {
	if e.state.hear(d, now) {
		e.hearSuspects(now, quarantine.FromDigest(d))
		e.hearUsage(d, now)
	}
}

// Tick lets time pass; it runs on the control loop.
func (e *Entry) Tick(now time.Time) {
	e.adoptConfig(now)
	if e.roster != nil {
		e.state.adoptRoster(e.roster(), now)
	}
	e.state.tick(now)
	if e.viewDue(now) {
		e.publish(now)
	}
	for _, p := range e.view.Load().pools {
		p.gate.Tick(now)
	}
	e.sendDigests(now, false)
	e.tellUsage(now)
}

// adoptConfig follows the configuration in force and whether this entry can know it.
func (e *Entry) adoptConfig(now time.Time) {
	snap := e.config.Current()
	if snap == nil {
		return
	}
	if snap != e.state.snapshot {
		e.state.adopt(snap)
		e.limits.SetLimits(limitsOf(snap))
		e.clientNames = namesOf(snap)
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

func namesOf(snap *config.Snapshot) limits.ClientsByHash {
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

// fire applies an event to the entry's life; it runs on the control loop.
func (e *Entry) fire(ev charts.Event) {
	before := e.life.State()
	actions, err := e.life.Fire(ev)
	if err != nil {
		_ = level.Error(e.logger).Log("msg", "entry chart", "err", err)
		return
	}
	for _, a := range actions {
		if a == actionWithdraw {
			e.withdrawn.Store(true)
		}
	}
	if after := e.life.State(); after != before {
		_ = level.Info(e.logger).Log("msg", "entry changed", "from", before, "to", after)
	}
}

// viewDue reports whether the view must be built anew: for a change that requests must see at once, else each viewInterval.
func (e *Entry) viewDue(now time.Time) bool {
	changed := e.view.Load().config != e.state.snapshot || e.life.State() != e.viewLife
	return changed || now.Sub(e.viewAt) >= viewInterval
}

func (e *Entry) publish(now time.Time) {
	life := e.life.State()
	e.viewAt, e.viewLife = now, life
	e.view.Store(e.state.build(life == stateServing || life == stateLeaving, now))
}

// sendDigests tells those who are due, or everybody at once if there is news that cannot wait.
func (e *Entry) sendDigests(now time.Time, all bool) {
	due := e.state.members.DueTargets(e.settings.Digests.Seeds, now, all)
	if len(due) == 0 {
		return
	}
	e.digests++
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
	if e.withdrawn.Load() || e.life.State() != stateServing {
		state = cardamomyokev1.NodeState_NODE_STATE_LEAVING
	}
	d := &cardamomyokev1.Digest{
		Node:           e.settings.Name,
		Incarnation:    string(e.incarnation),
		Sequence:       e.digests,
		Role:           cardamomyokev1.NodeRole_NODE_ROLE_ENTRY,
		State:          state,
		DataCentre:     string(e.settings.DataCentre),
		HttpAddress:    e.settings.HTTP.Address,
		ControlAddress: e.settings.Control.Address,
		DigestAddress:  e.settings.Digests.Address,
	}
	d.Suspects = quarantine.ToDigest(e.quarantine.Digest(now, digestSuspects))
	if e.state.snapshot != nil {
		d.Revision = uint64(e.state.snapshot.Revision())
	}
	return d
}
