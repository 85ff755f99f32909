package entry

import (
	"maps"
	"slices"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"google.golang.org/protobuf/proto"

	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
	cardamomyokev1 "github.com/cardamomyoke/cardamomyoke/internal/gen/cardamomyoke/v1"
	"github.com/cardamomyoke/cardamomyoke/internal/policy/admission"
	"github.com/cardamomyoke/cardamomyoke/internal/policy/admission/limits"
	"github.com/cardamomyoke/cardamomyoke/internal/policy/health"
	"github.com/cardamomyoke/cardamomyoke/internal/policy/retry"
	"github.com/cardamomyoke/cardamomyoke/internal/policy/routing"
	"github.com/cardamomyoke/cardamomyoke/internal/policy/routing/expectedwait"
	"github.com/cardamomyoke/cardamomyoke/internal/policy/routing/prefix"
	"github.com/cardamomyoke/cardamomyoke/internal/state/audit"
	"github.com/cardamomyoke/cardamomyoke/internal/state/config"
	"github.com/cardamomyoke/cardamomyoke/internal/state/membership"
	"github.com/cardamomyoke/cardamomyoke/internal/state/revision"
)

// state is owned by the control loop; no other goroutine accesses it.
type state struct {
	settings  *Settings
	config    config.Source
	limits    *limits.Limiter
	logger    log.Logger
	record    func(now time.Time, r *audit.Row)
	tracker   *health.Tracker
	upstreams map[ids.Upstream]*upstream
	members   *membership.MemberList
	roster    *revision.Roster
	pools     map[ids.Service]*pool
	snapshot  *config.Snapshot
}

// upstream holds the newest digest of a slot, and the state that is retained from digest to digest.
type upstream struct {
	digest     *cardamomyokev1.Digest
	receivedAt time.Time
	work       *routing.Work
	cached     *prefix.BlockSet
}

const (
	// cachedBlocks is the maximum number of prompt blocks remembered per upstream.
	cachedBlocks = 8192
	// defaultLatency is the one-way latency to a data centre that the settings do not list.
	defaultLatency = 40 * time.Millisecond
)

func newState(set *Settings, source config.Source, l *limits.Limiter, logger log.Logger, now time.Time) *state {
	return &state{
		settings:  set,
		config:    source,
		limits:    l,
		logger:    logger,
		record:    func(time.Time, *audit.Row) {},
		tracker:   health.New(health.Defaults(), now),
		upstreams: map[ids.Upstream]*upstream{},
		members:   membership.New(selfOf(set), membership.Defaults(), now),
		pools:     map[ids.Service]*pool{},
	}
}

func selfOf(set *Settings) membership.Identity {
	return membership.Identity{
		Name:          ids.Node(set.Name),
		Role:          cardamomyokev1.NodeRole_NODE_ROLE_ENTRY,
		DataCentre:    set.DataCentre,
		DigestAddress: set.Digests.Address,
	}
}

// receiveDigest processes a digest and reports whether it was new; a late or duplicate digest is dropped.
func (s *state) receiveDigest(d *cardamomyokev1.Digest, now time.Time) bool {
	isNew := s.members.Receive(d, now)
	if isNew && d.GetRole() == cardamomyokev1.NodeRole_NODE_ROLE_SLOT {
		s.receiveSlotDigest(d, now)
	}
	return isNew
}

func (s *state) receiveSlotDigest(d *cardamomyokev1.Digest, now time.Time) {
	id := ids.Upstream(d.GetNode())
	u, ok := s.upstreams[id]
	if !ok {
		u = &upstream{work: &routing.Work{}, cached: prefix.NewBlockSet(cachedBlocks)}
		s.upstreams[id] = u
	}
	if u.digest.GetIncarnation() != d.GetIncarnation() {
		u.cached.Clear()
	}
	u.digest = d
	u.receivedAt = now
	s.tracker.Apply(slotReportOf(d), now)
}

func slotReportOf(d *cardamomyokev1.Digest) health.SlotReport {
	return health.SlotReport{
		Upstream:    ids.Upstream(d.GetNode()),
		Service:     ids.Service(d.GetSlot().GetService()),
		Incarnation: ids.Incarnation(d.GetIncarnation()),
		Draining:    d.GetState() == cardamomyokev1.NodeState_NODE_STATE_LEAVING,
		Steps:       d.GetSlot().GetSteps(),
		Running:     int(d.GetSlot().GetTotal().GetRunning()),
		StepTime:    time.Duration(d.GetSlot().GetStepTimeUs()) * time.Microsecond,
	}
}

// applySnapshot switches to a configuration. Pools and their queues are retained unless the priority classes changed;
// requests that wait in a dropped queue are still served from it.
func (s *state) applySnapshot(snap *config.Snapshot) {
	old := s.snapshot
	s.snapshot = snap
	s.tracker.SetEjectionPercent(int(snap.Proto.GetPolicies().GetEjectionPercent()))
	if old != nil && !sameClasses(old, snap) {
		clear(s.pools)
	}
}

func sameClasses(a, b *config.Snapshot) bool {
	return slices.EqualFunc(a.Proto.GetClasses(), b.Proto.GetClasses(), func(x, y *cardamomyokev1.PriorityClass) bool {
		return proto.Equal(x, y)
	})
}

// applyRoster updates the member list to the members listed in the configuration log.
func (s *state) applyRoster(r *revision.Roster, now time.Time) {
	if r == nil || r == s.roster {
		return
	}
	s.roster = r
	s.members.SetRoster(membership.FromRevision(r.Members()), now)
}

// missingDigests is the number of consecutive slot digests that may be missing before the slot counts as unresponsive.
const missingDigests = 3.5

// tick evaluates health and removes upstreams that have long been unresponsive. The more entries there are, the less
// often a slot sends each a digest, so the timeout follows the digest interval; a fixed timeout would eject healthy
// upstreams in a large deployment.
func (s *state) tick(now time.Time) {
	interval := s.members.SlotInterval()
	s.tracker.SetSilentAfter(max(health.Defaults().SilentAfter, time.Duration(missingDigests*float64(interval))))
	for _, c := range s.tracker.Evaluate(now) {
		_ = level.Info(s.logger).Log("msg", "upstream changed", "upstream", c.Upstream, "from", c.From, "to", c.To, "reason", c.Reason)
		s.record(now, &audit.Row{
			Kind: audit.KindUpstream, Subject: string(c.Upstream), Before: string(c.From), After: string(c.To), Reason: string(c.Reason),
		})
	}
	for id := range s.upstreams {
		if _, known := s.tracker.Status(id, now); !known {
			delete(s.upstreams, id)
		}
	}
	for _, c := range s.members.Tick(now) {
		_ = level.Info(s.logger).Log("msg", "member changed", "member", c.Node, "from", c.From, "to", c.To)
	}
}

// build returns a view of the current state.
func (s *state) build(serving bool, now time.Time) *view {
	v := &view{
		config:       s.snapshot,
		serving:      serving && s.snapshot != nil,
		pools:        map[ids.Service]*pool{},
		addresses:    s.addresses(),
		incarnations: map[ids.Upstream]ids.Incarnation{},
	}
	if s.snapshot == nil {
		return v
	}
	for id, u := range s.upstreams {
		v.incarnations[id] = ids.Incarnation(u.digest.GetIncarnation())
	}
	for _, service := range s.snapshot.Proto.GetServices() {
		v.pools[ids.Service(service.GetName())] = s.pool(service, now)
	}
	return v
}

// pool returns the service's pool with a new picker and capacity. The gate and the budget are reused from view to view.
func (s *state) pool(service *cardamomyokev1.Service, now time.Time) *pool {
	name := ids.Service(service.GetName())
	list := s.routes(name, now)
	old, ok := s.pools[name]
	if !ok {
		old = s.newPool(service)
		s.pools[name] = old
	}
	next := &pool{
		picker: expectedwait.New(list, expectedwait.Defaults()),
		gate:   old.gate,
		budget: old.budget,

		upstreams: list,
		stepTime:  meanStepTime(list),
	}
	next.budget.SetPercent(int(service.GetRetryBudgetPercent()))
	next.gate.SetCapacity(s.capacity(list, next.stepTime, now))
	s.pools[name] = next
	return next
}

func (s *state) newPool(service *cardamomyokev1.Service) *pool {
	return &pool{
		gate:   admission.NewGate(admission.NewQueue(s.queueOptions(), admission.Capacity{})),
		budget: retry.NewBudget(int(service.GetRetryBudgetPercent())),
	}
}

func (s *state) queueOptions() admission.Options {
	o := admission.Options{Reserve: admission.DefaultReserve, MaxWait: admission.DefaultMaxWait, Share: s.localShare}
	for _, c := range s.snapshot.Proto.GetClasses() {
		o.Classes = append(o.Classes, admission.Class{
			Name: c.GetName(), Priority: int(c.GetRank()), QueueLimit: int(c.GetQueueLimit()),
		})
	}
	return o
}

// routes returns the service's upstreams, sorted by name.
func (s *state) routes(service ids.Service, now time.Time) []*routing.Upstream {
	var list []*routing.Upstream
	for _, id := range slices.Sorted(maps.Keys(s.upstreams)) {
		u := s.upstreams[id]
		if ids.Service(u.digest.GetSlot().GetService()) == service {
			list = append(list, s.route(id, u, now))
		}
	}
	return list
}

func (s *state) route(id ids.Upstream, u *upstream, now time.Time) *routing.Upstream {
	status, _ := s.tracker.Status(id, now)
	if s.snapshot.Drained(id) || u.digest.GetSlot().GetUpstreamDown() {
		status.Weight = 0
	}
	load := u.digest.GetSlot()
	return &routing.Upstream{
		ID:         id,
		DataCentre: ids.DataCentre(u.digest.GetDataCentre()),
		Address:    u.digest.GetHttpAddress(),
		Weight:     status.Weight,
		Batch:      int(load.GetBatch()),
		Latency:    s.latencyTo(ids.DataCentre(u.digest.GetDataCentre())),
		Load: routing.Load{
			TakenAt:         u.receivedAt,
			Total:           countsOf(load.GetTotal()),
			Yours:           countsOf(load.GetYours()),
			StepTime:        time.Duration(load.GetStepTimeUs()) * time.Microsecond,
			PromptTokenTime: time.Duration(load.GetPromptTokenNs()),
		},
		Versions: load.GetVersions(),
		Adapters: load.GetAdapters(),
		Work:     u.work,
		Cached:   u.cached,
	}
}

func countsOf(c *cardamomyokev1.WorkCounts) routing.Counts {
	return routing.Counts{
		Waiting:      int(c.GetWaiting()),
		Running:      int(c.GetRunning()),
		PromptTokens: int(c.GetPromptTokens()),
		OutputTokens: int(c.GetOutputTokens()),

		FirstWaiting:      int(c.GetFirstWaiting()),
		FirstPromptTokens: int(c.GetFirstPromptTokens()),
	}
}

func (s *state) latencyTo(dc ids.DataCentre) time.Duration {
	if dc == s.settings.DataCentre {
		return 0
	}
	d, ok := s.settings.DataCentres[dc]
	if !ok {
		return defaultLatency
	}
	return d.Std()
}

func meanStepTime(list []*routing.Upstream) float64 {
	sum := 0.0
	n := 0
	for _, u := range list {
		if u.Load.StepTime > 0 {
			sum += u.Load.StepTime.Seconds()
			n++
		}
	}
	if n == 0 {
		return 0
	}
	return sum / float64(n)
}

// minLocalShare keeps the local share of a client above 0 where almost none of its usage was seen.
const minLocalShare = 0.01

// localShare returns a client's configured share times the fraction of its usage that arrives at this entry, so that the
// client gets its share across all entries rather than at each of them.
func (s *state) localShare(c ids.Client) float64 {
	return s.share(c) * max(minLocalShare, s.limits.LocalShare(c, time.Now()))
}

// share returns a client's share in the configuration in force, at least 1.
func (s *state) share(c ids.Client) float64 {
	return float64(max(1, s.config.Current().Client(c).GetShare()))
}

// capacity returns the limit on the work that this entry runs concurrently: a fraction of the capacity of all upstreams.
// The fraction is this entry's share of the work that all clients' fair shares allow. It is the same for all entries
// while there is no usage, or if there are too many entries to exchange usage in full.
func (s *state) capacity(list []*routing.Upstream, stepTime float64, now time.Time) admission.Capacity {
	total := 0.0
	for _, u := range list {
		total += u.Weight * float64(u.Batch)
	}
	rate := 0.0
	if stepTime > 0 {
		rate = total / stepTime
	}
	fraction := s.limits.Quota(rate, s.share, now)
	return admission.Capacity{Concurrency: max(1, int(fraction*total)), TokensPerSecond: fraction * rate}
}
