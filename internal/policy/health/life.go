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
	stateLeaving   charts.State = "leaving"

	eventHeard     charts.Event = "heard"
	eventSuspected charts.Event = "suspected"
	eventCleared   charts.Event = "cleared"
	eventEject     charts.Event = "eject"
	eventReadmit   charts.Event = "readmit"
	eventProbation charts.Event = "probation"
	eventWarmed    charts.Event = "warmed"
	eventLeave     charts.Event = "leave"
	eventForget    charts.Event = "forget"

	actionStartRamp     charts.Action = "start-ramp"
	actionStartEjection charts.Action = "start-ejection"
)

// grave names a life that is over.
type grave struct {
	upstream    ids.Upstream
	incarnation ids.Incarnation
}

// life is one life of an upstream, from its slot's start to its end.
type life struct {
	id          ids.Upstream
	service     ids.Service
	incarnation ids.Incarnation
	machine     charts.Machine
	since       time.Time
	reason      Reason

	// successor is true if an earlier life of the same upstream was known; bornAt is when this one was first heard.
	successor bool
	bornAt    time.Time
	listed    bool
	heardAt   time.Time
	steppedAt time.Time
	steps     uint64
	running   int
	stepTime  time.Duration
	slowSince time.Time
	failures  int

	rampAt     time.Time
	ejections  int
	ejectUntil time.Time
}

func (t *Tracker) newLife(id ids.Upstream, service ids.Service, now time.Time) *life {
	l := &life{id: id, service: service, machine: t.chart.Start(), since: now, bornAt: now, heardAt: now, steppedAt: now}
	t.lives[id] = l
	return l
}

// fire applies an event to a life, carries out the chart's actions and records the change.
func (t *Tracker) fire(l *life, ev charts.Event, now time.Time) {
	from := l.machine.State()
	actions, err := l.machine.Fire(ev)
	if err != nil {
		panic(err) // Only for an event that the chart does not declare, which is a fault of this package.
	}
	if l.machine.State() == from {
		return
	}
	l.since = now
	for _, a := range actions {
		t.act(l, a, now)
	}
	t.changes = append(t.changes, Change{Upstream: l.id, From: from, To: l.machine.State(), Reason: l.reason})
}

func (t *Tracker) act(l *life, a charts.Action, now time.Time) {
	switch a {
	case actionStartRamp:
		l.rampAt = now
		l.failures = 0
	case actionStartEjection:
		l.ejections++
		l.ejectUntil = now.Add(t.ejectionTime(l.ejections))
	}
}

func (t *Tracker) ejectionTime(n int) time.Duration {
	d := t.opts.EjectFor
	for i := 1; i < n && d < t.opts.EjectMost; i++ {
		d *= 2
	}
	return min(d, t.opts.EjectMost)
}

func (t *Tracker) heard(ev Heard, now time.Time) {
	if _, dead := t.buried[grave{ev.Upstream, ev.Incarnation}]; dead {
		return
	}
	l := t.lives[ev.Upstream]
	if l != nil && l.incarnation > ev.Incarnation {
		return // A late report of an earlier life; incarnations sort by time of birth.
	}
	if l == nil || (l.incarnation != "" && l.incarnation != ev.Incarnation) {
		l = t.nextLife(l, ev, now)
	}
	l.incarnation = ev.Incarnation
	l.service = ev.Service
	l.heardAt = now
	l.running = ev.Running
	l.stepTime = ev.StepTime
	if ev.Steps != l.steps || ev.Running == 0 {
		l.steps = ev.Steps
		l.steppedAt = now
	}
	if ev.Leaving {
		t.fire(l, eventLeave, now)
		return
	}
	t.welcome(l, now)
}

// nextLife replaces what is known of an upstream when its slot has started anew. A leaving mark is not taken over,
// because it was made about the life before.
func (t *Tracker) nextLife(old *life, ev Heard, now time.Time) *life {
	l := t.newLife(ev.Upstream, ev.Service, now)
	if old != nil {
		t.buried[grave{old.id, old.incarnation}] = now
		l.listed = old.listed
		l.successor = true
	}
	return l
}

// welcome takes in a slot that is heard for the first time. While this entry itself is new, all are, and none is
// ramped: a ramp only makes sense beside others that carry the load meanwhile.
func (t *Tracker) welcome(l *life, now time.Time) {
	if l.machine.State() != stateJoining {
		return
	}
	t.fire(l, eventHeard, now)
	if now.Sub(t.started) < 2*t.opts.SilentAfter {
		t.fire(l, eventWarmed, now)
	}
}

func (t *Tracker) listed(ev Listed, now time.Time) {
	for _, l := range t.lives {
		l.listed = false
	}
	for _, h := range ev.Hosts {
		l := t.lives[h.Upstream]
		if l == nil {
			l = t.newLife(h.Upstream, h.Service, now)
		}
		l.listed = true
		if h.Leaving && !l.predates(ev) {
			t.fire(l, eventLeave, now)
		}
	}
}

// predates reports whether the list is older than this life of the upstream. The list lags, so it still marks a host
// as leaving when its replacement already runs; taking that for the new life would keep a healthy upstream unused.
func (l *life) predates(ev Listed) bool { return l.successor && !ev.TakenAt.After(l.bornAt) }

func (t *Tracker) answered(ev Answered, now time.Time) {
	if l := t.lives[ev.Upstream]; l != nil {
		l.heardAt = now
		l.failures = 0
	}
}

func (t *Tracker) failed(ev Failed) {
	if l := t.lives[ev.Upstream]; l != nil {
		l.failures++
	}
}

func (t *Tracker) refusedLeaving(ev RefusedLeaving, now time.Time) {
	l := t.lives[ev.Upstream]
	if l == nil || l.incarnation > ev.Incarnation {
		return
	}
	t.fire(l, eventLeave, now)
}
