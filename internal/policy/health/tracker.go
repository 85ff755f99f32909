package health

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cardamomyoke/cardamomyoke/internal/base/charts"
	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
)

// Options are the settings of a Tracker.
type Options struct {
	// SilentAfter is how long nothing may be heard; three reports' worth.
	SilentAfter time.Duration
	// StalledAfter is how long an engine with work may take no step.
	StalledAfter time.Duration
	// SlowFactor is how many times the peers' median step time is slow, if it lasts for SlowFor.
	SlowFactor float64
	SlowFor    time.Duration
	// FailuresInRow make an upstream failing.
	FailuresInRow int
	// EjectionPercent caps how many upstreams of a service may be ejected at once, but one always may unless it is 0.
	EjectionPercent int
	// EjectFor is the time of the first ejection; it doubles with each further one in a row up to EjectMost.
	EjectFor, EjectMost time.Duration
	// RampFor is the time in which a returning upstream's share grows from RampFrom to 1.
	RampFor  time.Duration
	RampFrom float64
	// SuspectWeight is the share of a suspect that the cap keeps in use.
	SuspectWeight float64
	// GoneAfter is how long an upstream that is not listed, or is leaving, may be silent before it is forgotten.
	GoneAfter time.Duration
	// OwnPause is a time between two Evaluate calls that means that this process itself was paused.
	OwnPause time.Duration
}

// Defaults returns the settings in use, but for EjectionPercent, which is configuration.
func Defaults() Options {
	return Options{
		SilentAfter:     1500 * time.Millisecond,
		StalledAfter:    time.Second,
		SlowFactor:      1.8,
		SlowFor:         2 * time.Second,
		FailuresInRow:   3,
		EjectionPercent: 30,
		EjectFor:        5 * time.Second,
		EjectMost:       2 * time.Minute,
		RampFor:         10 * time.Second,
		RampFrom:        0.1,
		SuspectWeight:   0.2,
		GoneAfter:       30 * time.Second,
		OwnPause:        time.Second,
	}
}

// Status is what the tracker says of one upstream.
type Status struct {
	Upstream    ids.Upstream
	Service     ids.Service
	Incarnation ids.Incarnation
	State       charts.State
	Reason      Reason
	// Weight is the part of its usual share that the upstream may get, from 0 to 1.
	Weight float64
	// Since is when the state was entered.
	Since time.Time
}

// Change is a change of state, for logs and metrics.
type Change struct {
	Upstream ids.Upstream
	From, To charts.State
	Reason   Reason
}

// Tracker holds the health of all upstreams that one entry knows. It belongs to the control goroutine.
type Tracker struct {
	opts    Options
	chart   *charts.Chart
	lives   map[ids.Upstream]*life
	buried  map[grave]time.Time
	changes []Change
	started time.Time
	last    time.Time
}

// New returns a tracker that knows nothing yet.
func New(opts Options, now time.Time) *Tracker {
	return &Tracker{
		opts:    opts,
		chart:   charts.MustLoad("upstream"),
		lives:   make(map[ids.Upstream]*life),
		buried:  make(map[grave]time.Time),
		started: now,
		last:    now,
	}
}

// SetEjectionPercent changes the cap, which is configuration.
func (t *Tracker) SetEjectionPercent(percent int) { t.opts.EjectionPercent = percent }

// SetSilentAfter changes how long nothing may be heard; it follows the time between two reports.
func (t *Tracker) SetSilentAfter(d time.Duration) { t.opts.SilentAfter = d }

// Apply takes in one event. What follows from it is seen by the next Evaluate, except for leaving, which takes
// effect at once.
func (t *Tracker) Apply(ev Event, now time.Time) {
	switch ev := ev.(type) {
	case Heard:
		t.heard(ev, now)
	case Listed:
		t.listed(ev, now)
	case Answered:
		t.answered(ev, now)
	case Failed:
		t.failed(ev)
	case RefusedLeaving:
		t.refusedLeaving(ev, now)
	}
}

// Evaluate looks at all upstreams and returns what changed since the last call. It is called several times a second.
func (t *Tracker) Evaluate(now time.Time) []Change {
	t.forgiveOwnPause(now)
	for _, l := range t.sorted() {
		t.judge(l, now)
	}
	t.eject(now)
	t.bury(now)
	t.last = now
	changes := t.changes
	t.changes = nil
	return changes
}

// forgiveOwnPause moves what was heard by the time that this process stood still. Without it, an entry whose host was
// paused wakes up, finds every upstream silent and drops all of them at once, although it is the one that was away.
func (t *Tracker) forgiveOwnPause(now time.Time) {
	gap := now.Sub(t.last)
	if gap < t.opts.OwnPause {
		return
	}
	for _, l := range t.lives {
		l.heardAt = l.heardAt.Add(gap)
		l.steppedAt = l.steppedAt.Add(gap)
	}
}

// Status returns what is known of one upstream; false if it is not known.
func (t *Tracker) Status(id ids.Upstream, now time.Time) (Status, bool) {
	l, ok := t.lives[id]
	if !ok {
		return Status{}, false
	}
	return t.status(l, now), true
}

// Statuses returns all upstreams, sorted by name.
func (t *Tracker) Statuses(now time.Time) []Status {
	all := make([]Status, 0, len(t.lives))
	for _, l := range t.sorted() {
		all = append(all, t.status(l, now))
	}
	return all
}

// sorted returns the lives by name, so that the same events always give the same changes in the same order.
func (t *Tracker) sorted() []*life {
	return slices.SortedFunc(maps.Values(t.lives), func(a, b *life) int { return cmp.Compare(a.id, b.id) })
}

func (t *Tracker) status(l *life, now time.Time) Status {
	return Status{
		Upstream: l.id, Service: l.service, Incarnation: l.incarnation, State: l.machine.State(), Reason: l.reason,
		Weight: t.weight(l, now), Since: l.since,
	}
}

func (t *Tracker) weight(l *life, now time.Time) float64 {
	switch l.machine.State() {
	case stateReady:
		return 1
	case stateSuspect:
		return t.opts.SuspectWeight
	case stateReturning:
		done := float64(now.Sub(l.rampAt)) / float64(t.opts.RampFor)
		return min(1, t.opts.RampFrom+(1-t.opts.RampFrom)*done)
	default:
		return 0
	}
}
