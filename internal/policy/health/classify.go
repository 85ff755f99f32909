package health

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
)

// classify updates the state of one upstream from the evidence against it.
func (t *Tracker) classify(u *upstreamHealth, now time.Time) {
	if u.machine.State() == stateJoining {
		return
	}
	found := t.worstReason(u, now)
	switch u.machine.State() {
	case stateReady, stateReturning:
		if found != ReasonNone {
			u.reason = found
			t.fire(u, eventSuspected, now)
			return
		}
		t.finishRamp(u, now)
	case stateSuspect:
		if found == ReasonNone {
			t.fire(u, eventCleared, now)
			u.reason = ReasonNone
			return
		}
		u.reason = found
	case stateEjected:
		t.endEjection(u, found, now)
	}
}

// finishRamp ends a ramp whose time is over. A ramp without a fault also resets the count of consecutive ejections.
func (t *Tracker) finishRamp(u *upstreamHealth, now time.Time) {
	if u.machine.State() == stateReturning && now.Sub(u.rampStartedAt) >= t.opts.RampFor {
		t.fire(u, eventWarmed, now)
		u.ejections = 0
	}
}

// endEjection lets an ejected upstream return once its ejection time is over. An upstream that is still silent or
// stalled stays ejected. A slow or failing one gets work again, because it cannot show its recovery without work.
func (t *Tracker) endEjection(u *upstreamHealth, found Reason, now time.Time) {
	if found == ReasonSilent || found == ReasonStalled {
		u.reason = found
		return
	}
	if now.Before(u.ejectUntil) {
		return
	}
	u.slowSince = time.Time{}
	t.fire(u, eventProbation, now)
	u.reason = ReasonNone
}

// worstReason returns the most severe reason to suspect an upstream at now, or ReasonNone.
func (t *Tracker) worstReason(u *upstreamHealth, now time.Time) Reason {
	slow := t.isSlow(u, now)
	switch {
	case now.Sub(u.lastSeenAt) >= t.opts.SilentAfter:
		return ReasonSilent
	case u.running > 0 && now.Sub(u.lastStepAt) >= t.opts.StalledAfter:
		return ReasonStalled
	case u.failures >= t.opts.ConsecutiveFailures:
		return ReasonFailing
	case slow:
		return ReasonSlow
	}
	return ReasonNone
}

func (t *Tracker) isSlow(u *upstreamHealth, now time.Time) bool {
	reference := t.peerStepTime(u)
	if reference == 0 || u.running == 0 || float64(u.stepTime) < t.opts.SlowFactor*float64(reference) {
		u.slowSince = time.Time{}
		return false
	}
	if u.slowSince.IsZero() {
		u.slowSince = now
	}
	return now.Sub(u.slowSince) >= t.opts.SlowFor
}

// minPeers is the minimum number of peers for a median.
const minPeers = 2

// peerStepTime returns the median step time of the peers that have at least as many running requests, or 0 if there are
// too few of them. A step takes longer with more requests in it, so a busy upstream that is compared with idle peers
// would be classified as slow.
func (t *Tracker) peerStepTime(u *upstreamHealth) time.Duration {
	var times []time.Duration
	for _, p := range t.upstreams {
		if p != u && p.service == u.service && p.running >= u.running && p.stepTime > 0 {
			times = append(times, p.stepTime)
		}
	}
	if len(times) < minPeers {
		return 0
	}
	slices.Sort(times)
	return times[len(times)/2]
}

// eject decides for each service which suspects are ejected: the worst first, up to the cap.
func (t *Tracker) eject(now time.Time) {
	candidates := make(map[ids.Service][]*upstreamHealth)
	known := make(map[ids.Service]int)
	for _, u := range t.sorted() {
		switch u.machine.State() {
		case stateSuspect, stateEjected:
			candidates[u.service] = append(candidates[u.service], u)
			known[u.service]++
		case stateReady, stateReturning:
			known[u.service]++
		}
	}
	for _, service := range slices.Sorted(maps.Keys(candidates)) {
		list := candidates[service]
		slices.SortFunc(list, worstFirst)
		t.ejectUpTo(list, t.ejectionLimit(known[service]), now)
	}
}

func (t *Tracker) ejectUpTo(list []*upstreamHealth, limit int, now time.Time) {
	for i, u := range list {
		if i < limit {
			t.fire(u, eventEject, now)
		} else {
			t.fire(u, eventReadmit, now)
		}
	}
}

// ejectionLimit returns how many of the n upstreams of a service may be ejected: the percentage, rounded down. With two
// or more upstreams at least one may be ejected, so that a small service can eject a dead upstream, unless the operator
// disables ejection with 0.
func (t *Tracker) ejectionLimit(n int) int {
	if t.opts.EjectionPercent == 0 || n < 2 {
		return 0
	}
	return max(1, n*t.opts.EjectionPercent/100)
}

// worstFirst compares by severity. At equal severity it puts ejected upstreams first, then those that have been in
// their state the longest.
func worstFirst(a, b *upstreamHealth) int {
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

// forgetDead removes upstreams that have sent nothing for ForgetAfter and are either draining or not listed. Their
// incarnations are remembered for twice that time, so that a late report does not add them again. No report is in
// transit for longer than that.
func (t *Tracker) forgetDead(now time.Time) {
	for _, u := range t.sorted() {
		removable := u.machine.State() == stateDraining || !u.listed
		if removable && now.Sub(u.lastSeenAt) >= t.opts.ForgetAfter {
			t.fire(u, eventForget, now)
			t.forgotten[incarnationKey{u.id, u.incarnation}] = now
			delete(t.upstreams, u.id)
		}
	}
	for key, at := range t.forgotten {
		if now.Sub(at) >= 2*t.opts.ForgetAfter {
			delete(t.forgotten, key)
		}
	}
}
