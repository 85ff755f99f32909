package health

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cardamomyoke/cardamomyoke/internal/base/charts"
	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
)

// Options configures a Tracker.
type Options struct {
	// SilentAfter is the time without a message after which an upstream is silent: three report intervals.
	SilentAfter time.Duration
	// StalledAfter is the time without a step after which an engine with work is stalled.
	StalledAfter time.Duration
	// SlowFactor and SlowFor define a slow upstream: its step time is at least SlowFactor times the peers' median for
	// at least SlowFor.
	SlowFactor float64
	SlowFor    time.Duration
	// ConsecutiveFailures is the number of consecutive failed attempts from which an upstream is failing.
	ConsecutiveFailures int
	// EjectionPercent is the maximum percentage of a service's upstreams that may be ejected at the same time. Unless
	// it is 0, one of two or more upstreams may always be ejected.
	EjectionPercent int
	// EjectFor is the duration of the first ejection; each consecutive one lasts twice as long, up to MaxEjectFor.
	EjectFor, MaxEjectFor time.Duration
	// RampFor is the time in which the share of a returning upstream grows from RampFrom to 1.
	RampFor  time.Duration
	RampFrom float64
	// SuspectWeight is the share of a suspect upstream that the cap keeps from being ejected.
	SuspectWeight float64
	// ForgetAfter is the time without a message after which an upstream that is draining or not listed is forgotten.
	ForgetAfter time.Duration
	// PauseThreshold is the time between two Evaluate calls from which the tracker assumes that its own process was
	// paused.
	PauseThreshold time.Duration
}

// Defaults returns the default options. EjectionPercent comes from the configuration; see SetEjectionPercent.
func Defaults() Options {
	return Options{
		SilentAfter:         1500 * time.Millisecond,
		StalledAfter:        time.Second,
		SlowFactor:          1.8,
		SlowFor:             2 * time.Second,
		ConsecutiveFailures: 3,
		EjectionPercent:     30,
		EjectFor:            5 * time.Second,
		MaxEjectFor:         2 * time.Minute,
		RampFor:             10 * time.Second,
		RampFrom:            0.1,
		SuspectWeight:       0.2,
		ForgetAfter:         30 * time.Second,
		PauseThreshold:      time.Second,
	}
}

// Status is the tracker's state for one upstream.
type Status struct {
	Upstream    ids.Upstream
	Service     ids.Service
	Incarnation ids.Incarnation
	State       charts.State
	Reason      Reason
	// Weight is the fraction of its normal share that the upstream may get, from 0 to 1.
	Weight float64
	// Since is when the upstream entered the state.
	Since time.Time
}

// Change is a change of an upstream's state, for logs and metrics.
type Change struct {
	Upstream ids.Upstream
	From, To charts.State
	Reason   Reason
}

// Tracker holds the health of all upstreams that one entry is aware of. It belongs to the control goroutine.
type Tracker struct {
	opts          Options
	chart         *charts.Chart
	upstreams     map[ids.Upstream]*upstreamHealth
	forgotten     map[incarnationKey]time.Time
	changes       []Change
	started       time.Time
	lastEvaluated time.Time
}

// New returns an empty tracker.
func New(opts Options, now time.Time) *Tracker {
	return &Tracker{
		opts:          opts,
		chart:         charts.MustLoad("upstream"),
		upstreams:     make(map[ids.Upstream]*upstreamHealth),
		forgotten:     make(map[incarnationKey]time.Time),
		started:       now,
		lastEvaluated: now,
	}
}

// SetEjectionPercent changes the ejection cap to the configured one.
func (t *Tracker) SetEjectionPercent(percent int) { t.opts.EjectionPercent = percent }

// SetSilentAfter changes the time without a message after which an upstream is silent; it depends on the interval of
// the slots' reports.
func (t *Tracker) SetSilentAfter(d time.Duration) { t.opts.SilentAfter = d }

// Apply processes one event. The first report of an incarnation changes the state of its upstream immediately, and so
// does a report, list or refusal that marks it as draining. All other changes of state happen in the next Evaluate.
func (t *Tracker) Apply(ev Event, now time.Time) {
	switch ev := ev.(type) {
	case SlotReport:
		t.applyReport(ev, now)
	case HostList:
		t.applyHostList(ev, now)
	case Responded:
		t.applyResponse(ev, now)
	case Failed:
		t.applyFailure(ev)
	case RefusedDraining:
		t.applyRefusal(ev, now)
	}
}

// Evaluate updates the state of all upstreams and returns the changes since the last call. It is called several times a
// second.
func (t *Tracker) Evaluate(now time.Time) []Change {
	t.compensateOwnPause(now)
	for _, u := range t.sorted() {
		t.classify(u, now)
	}
	t.eject(now)
	t.forgetDead(now)
	t.lastEvaluated = now
	changes := t.changes
	t.changes = nil
	return changes
}

// compensateOwnPause moves the recorded times forward by the time for which this process was paused. Without it, an
// entry whose host was paused would find every upstream silent when it resumes and eject as many as the cap allows,
// although the entry itself was unresponsive.
func (t *Tracker) compensateOwnPause(now time.Time) {
	gap := now.Sub(t.lastEvaluated)
	if gap < t.opts.PauseThreshold {
		return
	}
	for _, u := range t.upstreams {
		u.lastSeenAt = u.lastSeenAt.Add(gap)
		u.lastStepAt = u.lastStepAt.Add(gap)
		if !u.slowSince.IsZero() {
			u.slowSince = u.slowSince.Add(gap)
		}
	}
}

// Status returns the state of one upstream, or false if the tracker has none for it.
func (t *Tracker) Status(id ids.Upstream, now time.Time) (Status, bool) {
	u, ok := t.upstreams[id]
	if !ok {
		return Status{}, false
	}
	return t.status(u, now), true
}

// Statuses returns the state of all upstreams, sorted by name.
func (t *Tracker) Statuses(now time.Time) []Status {
	all := make([]Status, 0, len(t.upstreams))
	for _, u := range t.sorted() {
		all = append(all, t.status(u, now))
	}
	return all
}

// sorted returns the upstreams by name, so that the same events always give the same changes in the same sequence.
func (t *Tracker) sorted() []*upstreamHealth {
	return slices.SortedFunc(maps.Values(t.upstreams), func(a, b *upstreamHealth) int { return cmp.Compare(a.id, b.id) })
}

func (t *Tracker) status(u *upstreamHealth, now time.Time) Status {
	return Status{
		Upstream: u.id, Service: u.service, Incarnation: u.incarnation, State: u.machine.State(), Reason: u.reason,
		Weight: t.weight(u, now), Since: u.since,
	}
}

func (t *Tracker) weight(u *upstreamHealth, now time.Time) float64 {
	switch u.machine.State() {
	case stateReady:
		return 1
	case stateSuspect:
		return t.opts.SuspectWeight
	case stateReturning:
		done := float64(now.Sub(u.rampStartedAt)) / float64(t.opts.RampFor)
		return min(1, t.opts.RampFrom+(1-t.opts.RampFrom)*done)
	default:
		return 0
	}
}
