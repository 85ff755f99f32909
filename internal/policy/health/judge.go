package health

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
)

// judge looks for evidence against one upstream and moves its state accordingly.
func (t *Tracker) judge(l *life, now time.Time) {
	if l.machine.State() == stateJoining {
		return
	}
	found := t.evidence(l, now)
	switch l.machine.State() {
	case stateReady, stateReturning:
		if found != ReasonNone {
			l.reason = found
			t.fire(l, eventSuspected, now)
			return
		}
		t.warm(l, now)
	case stateSuspect:
		if found == ReasonNone {
			t.fire(l, eventCleared, now)
			l.reason = ReasonNone
			return
		}
		l.reason = found
	case stateEjected:
		t.probation(l, found, now)
	}
}

// warm ends a ramp that is over. A ramp without a fault also ends the row of ejections.
func (t *Tracker) warm(l *life, now time.Time) {
	if l.machine.State() == stateReturning && now.Sub(l.rampAt) >= t.opts.RampFor {
		t.fire(l, eventWarmed, now)
		l.ejections = 0
	}
}

// probation lets an ejected upstream return once its time is over. One that is still silent or stalled stays out. A
// slow or failing one is given work again, because without work it cannot show that it has recovered.
func (t *Tracker) probation(l *life, found Reason, now time.Time) {
	if found == ReasonSilent || found == ReasonStalled {
		l.reason = found
		return
	}
	if now.Before(l.ejectUntil) {
		return
	}
	l.slowSince = time.Time{}
	t.fire(l, eventProbation, now)
	l.reason = ReasonNone
}

// evidence returns the worst that speaks against an upstream now.
func (t *Tracker) evidence(l *life, now time.Time) Reason {
	slow := t.isSlow(l, now)
	switch {
	case now.Sub(l.heardAt) >= t.opts.SilentAfter:
		return ReasonSilent
	case l.running > 0 && now.Sub(l.steppedAt) >= t.opts.StalledAfter:
		return ReasonStalled
	case l.failures >= t.opts.FailuresInRow:
		return ReasonFailing
	case slow:
		return ReasonSlow
	}
	return ReasonNone
}

func (t *Tracker) isSlow(l *life, now time.Time) bool {
	reference := t.peerStepTime(l)
	if reference == 0 || l.running == 0 || float64(l.stepTime) < t.opts.SlowFactor*float64(reference) {
		l.slowSince = time.Time{}
		return false
	}
	if l.slowSince.IsZero() {
		l.slowSince = now
	}
	return now.Sub(l.slowSince) >= t.opts.SlowFor
}

// minPeers is how many peers a median needs.
const minPeers = 2

// peerStepTime is the median step time of the peers that carry at least as much work. A step takes longer with more
// requests in it; without this choice of peers a busy upstream among idle ones would be called slow.
func (t *Tracker) peerStepTime(l *life) time.Duration {
	var times []time.Duration
	for _, p := range t.lives {
		if p != l && p.service == l.service && p.running >= l.running && p.stepTime > 0 {
			times = append(times, p.stepTime)
		}
	}
	if len(times) < minPeers {
		return 0
	}
	slices.Sort(times)
	return times[len(times)/2]
}

// eject chooses, in each service, which suspects are out, worst first and up to the cap.
func (t *Tracker) eject(now time.Time) {
	candidates := make(map[ids.Service][]*life)
	known := make(map[ids.Service]int)
	for _, l := range t.sorted() {
		switch l.machine.State() {
		case stateSuspect, stateEjected:
			candidates[l.service] = append(candidates[l.service], l)
			known[l.service]++
		case stateReady, stateReturning:
			known[l.service]++
		}
	}
	for _, service := range slices.Sorted(maps.Keys(candidates)) {
		list := candidates[service]
		slices.SortFunc(list, worstFirst)
		t.ejectUpTo(list, t.limit(known[service]), now)
	}
}

func (t *Tracker) ejectUpTo(list []*life, limit int, now time.Time) {
	for i, l := range list {
		if i < limit {
			t.fire(l, eventEject, now)
		} else {
			t.fire(l, eventReadmit, now)
		}
	}
}

// limit is the cap for a service of n upstreams: the percentage rounded down, but one of several may always go, so
// that a small service can lose its dead upstream, unless the operator forbids ejection with 0.
func (t *Tracker) limit(n int) int {
	if t.opts.EjectionPercent == 0 || n < 2 {
		return 0
	}
	return max(1, n*t.opts.EjectionPercent/100)
}

// worstFirst orders by severity, then keeps out what is out, then takes the one that has been suspect for longest.
func worstFirst(a, b *life) int {
	if c := cmp.Compare(severity[b.reason], severity[a.reason]); c != 0 {
		return c
	}
	aOut, bOut := a.machine.State() == stateEjected, b.machine.State() == stateEjected
	if aOut != bOut {
		if aOut {
			return -1
		}
		return 1
	}
	if c := a.since.Compare(b.since); c != 0 {
		return c
	}
	return cmp.Compare(a.id, b.id)
}

// bury forgets upstreams that are silent for long and either leaving or not listed. Their incarnation is remembered
// for as long again: a report that is late by more than that is no longer under way.
func (t *Tracker) bury(now time.Time) {
	for _, l := range t.sorted() {
		over := l.machine.State() == stateLeaving || !l.listed
		if over && now.Sub(l.heardAt) >= t.opts.GoneAfter {
			t.fire(l, eventForget, now)
			t.buried[grave{l.id, l.incarnation}] = now
			delete(t.lives, l.id)
		}
	}
	for g, at := range t.buried {
		if now.Sub(at) >= 2*t.opts.GoneAfter {
			delete(t.buried, g)
		}
	}
}
