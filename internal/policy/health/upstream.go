package health

import (
	"time"

	"github.com/cardamomyoke/cardamomyoke/internal/base/charts"
	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
)

const (
	stateJoining   charts.State = "joining"
	stateReturning charts.State = "returning"
	stateReady     charts.State = "ready"
	stateSuspect   charts.State = "suspect"
	stateEjected   charts.State = "ejected"
	stateDraining  charts.State = "leaving"

	eventHeard     charts.Event = "heard"
	eventSuspected charts.Event = "suspected"
	eventCleared   charts.Event = "cleared"
	eventEject     charts.Event = "eject"
	eventReadmit   charts.Event = "readmit"
	eventProbation charts.Event = "probation"
	eventWarmed    charts.Event = "warmed"
	eventDrain     charts.Event = "leave"
	eventForget    charts.Event = "forget"

	actionStartRamp     charts.Action = "start-ramp"
	actionStartEjection charts.Action = "start-ejection"
)

// incarnationKey identifies a past incarnation of an upstream.
type incarnationKey struct {
	upstream    ids.Upstream
	incarnation ids.Incarnation
}

// upstreamHealth is the health of one incarnation of an upstream, from its slot's start to its end.
type upstreamHealth struct {
	id          ids.Upstream
	service     ids.Service
	incarnation ids.Incarnation
	machine     charts.Machine
	since       time.Time
	reason      Reason

	// hasPredecessor is set if the tracker already had state for an earlier incarnation of the same upstream.
	// firstSeenAt is when this incarnation was first listed or reported.
	hasPredecessor bool
	firstSeenAt    time.Time
	listed         bool
	lastSeenAt     time.Time
	lastStepAt     time.Time
	steps          uint64
	running        int
	stepTime       time.Duration
	slowSince      time.Time
	failures       int

	rampStartedAt time.Time
	ejections     int
	ejectUntil    time.Time
}

func (t *Tracker) addUpstream(id ids.Upstream, service ids.Service, now time.Time) *upstreamHealth {
	u := &upstreamHealth{id: id, service: service, machine: t.chart.Start(), since: now, firstSeenAt: now, lastSeenAt: now, lastStepAt: now}
	t.upstreams[id] = u
	return u
}

// fire applies an event to an upstream, runs the chart's actions and records the change of state.
func (t *Tracker) fire(u *upstreamHealth, ev charts.Event, now time.Time) {
	from := u.machine.State()
	actions, err := u.machine.Fire(ev)
	if err != nil {
		panic(err) // The chart does not declare the event: a bug in this package.
	}
	if u.machine.State() == from {
		return
	}
	u.since = now
	for _, a := range actions {
		t.runAction(u, a, now)
	}
	t.changes = append(t.changes, Change{Upstream: u.id, From: from, To: u.machine.State(), Reason: u.reason})
}

func (t *Tracker) runAction(u *upstreamHealth, a charts.Action, now time.Time) {
	switch a {
	case actionStartRamp:
		u.rampStartedAt = now
		u.failures = 0
	case actionStartEjection:
		u.ejections++
		u.ejectUntil = now.Add(t.ejectionTime(u.ejections))
	}
}

func (t *Tracker) ejectionTime(n int) time.Duration {
	d := t.opts.EjectFor
	for i := 1; i < n && d < t.opts.MaxEjectFor; i++ {
		d *= 2
	}
	return min(d, t.opts.MaxEjectFor)
}

func (t *Tracker) applyReport(ev SlotReport, now time.Time) {
	if _, dead := t.forgotten[incarnationKey{ev.Upstream, ev.Incarnation}]; dead {
		return
	}
	u := t.upstreams[ev.Upstream]
	if u != nil && u.incarnation > ev.Incarnation {
		return // A late report of an earlier incarnation; incarnations sort by start time.
	}
	if u == nil || (u.incarnation != "" && u.incarnation != ev.Incarnation) {
		u = t.replaceIncarnation(u, ev, now)
	}
	u.incarnation = ev.Incarnation
	u.service = ev.Service
	u.lastSeenAt = now
	u.running = ev.Running
	u.stepTime = ev.StepTime
	if ev.Steps != u.steps || ev.Running == 0 {
		u.steps = ev.Steps
		u.lastStepAt = now
	}
	if ev.Draining {
		t.fire(u, eventDrain, now)
		return
	}
	t.admit(u, now)
}

// replaceIncarnation replaces the state of an upstream whose slot has restarted. The draining state is not carried
// over, because it belongs to the old incarnation.
func (t *Tracker) replaceIncarnation(old *upstreamHealth, ev SlotReport, now time.Time) *upstreamHealth {
	u := t.addUpstream(ev.Upstream, ev.Service, now)
	if old != nil {
		t.forgotten[incarnationKey{old.id, old.incarnation}] = now
		u.listed = old.listed
		u.hasPredecessor = true
	}
	return u
}

// admit makes an upstream usable on its first report. Shortly after the start of this entry all upstreams are new to it,
// and none of them is ramped: a ramp only makes sense if other upstreams carry the load in the meantime.
func (t *Tracker) admit(u *upstreamHealth, now time.Time) {
	if u.machine.State() != stateJoining {
		return
	}
	t.fire(u, eventHeard, now)
	if now.Sub(t.started) < 2*t.opts.SilentAfter {
		t.fire(u, eventWarmed, now)
	}
}

func (t *Tracker) applyHostList(ev HostList, now time.Time) {
	for _, u := range t.upstreams {
		u.listed = false
	}
	for _, h := range ev.Hosts {
		u := t.upstreams[h.Upstream]
		if u == nil {
			u = t.addUpstream(h.Upstream, h.Service, now)
		}
		u.listed = true
		if h.Draining && !u.predates(ev) {
			t.fire(u, eventDrain, now)
		}
	}
}

// predates reports whether the host list was made before this incarnation was first seen. The list lags and may still
// mark a host as draining when its replacement is already running. Applied to the new incarnation, that mark would keep
// a healthy upstream unused.
func (u *upstreamHealth) predates(ev HostList) bool {
	return u.hasPredecessor && !ev.TakenAt.After(u.firstSeenAt)
}

func (t *Tracker) applyResponse(ev Responded, now time.Time) {
	if u := t.upstreams[ev.Upstream]; u != nil {
		u.lastSeenAt = now
		u.failures = 0
	}
}

func (t *Tracker) applyFailure(ev Failed) {
	if u := t.upstreams[ev.Upstream]; u != nil {
		u.failures++
	}
}

func (t *Tracker) applyRefusal(ev RefusedDraining, now time.Time) {
	u := t.upstreams[ev.Upstream]
	if u == nil || u.incarnation > ev.Incarnation {
		return
	}
	t.fire(u, eventDrain, now)
}
