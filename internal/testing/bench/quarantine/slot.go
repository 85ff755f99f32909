package quarantine

import (
	"maps"
	"slices"
	"time"

	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
	"github.com/cardamomyoke/cardamomyoke/internal/policy/quarantine"
)

// arrive submits a request to the guard of an upstream's slot. It cancels one that still waits at its deadline.
func (w *world) arrive(r *request, u *upstream) {
	if !u.up {
		w.retry(r)
		return
	}
	decision := u.guard.Submit(w.Now(), quarantine.Running{Fingerprint: r.fingerprint}, r.level)
	if decision.Admission != quarantine.Wait {
		w.handleDecision(r, u, decision)
		return
	}
	u.waiting[decision.Ticket] = r
	w.In(max(0, r.deadline.Sub(w.Now())), func() {
		if u.waiting[decision.Ticket] == r {
			delete(u.waiting, decision.Ticket)
			w.handleDecisions(u, u.guard.Cancel(decision.Ticket))
			w.finish(r, false)
		}
	})
}

func (w *world) handleDecisions(u *upstream, decisions []quarantine.Decision) {
	for _, d := range decisions {
		if r := u.waiting[d.Ticket]; r != nil {
			delete(u.waiting, d.Ticket)
			w.handleDecision(r, u, d)
		}
	}
}

// handleDecision starts, refuses or reroutes a request as the guard decided.
func (w *world) handleDecision(r *request, u *upstream, d quarantine.Decision) {
	switch {
	case d.Admission == quarantine.Admit:
		w.start(r, u, d)
	case d.Level == quarantine.Refused:
		w.refuse(r)
	default:
		w.retry(r)
	}
}

// start runs a request on its upstream: a poisonous one crashes it, any other completes.
func (w *world) start(r *request, u *upstream, d quarantine.Decision) {
	if !u.up {
		w.handleDecisions(u, u.guard.Release(w.Now(), d.Ticket, quarantine.Stopped))
		w.retry(r)
		return
	}
	if d.Level == quarantine.Alone && r.number != poisonNumber {
		w.result.RanAlone++
	}
	u.running[d.Ticket] = r
	incarnation := u.incarnation
	if r.number == poisonNumber {
		after := crashDelayMin + time.Duration(w.rng.Float64()*float64(crashDelaySpread))
		w.In(after, func() {
			if u.incarnation == incarnation {
				w.result.PoisonCrashes++
				w.crash(u)
			}
		})
		return
	}
	w.In(runTimeMin+time.Duration(w.rng.Int64N(int64(runTimeMax-runTimeMin))), func() {
		if u.incarnation != incarnation {
			return
		}
		delete(u.running, d.Ticket)
		r.entry.tracker.Completed(w.Now(), r.fingerprint)
		w.handleDecisions(u, u.guard.Release(w.Now(), d.Ticket, quarantine.Complete))
		w.finish(r, !w.Now().After(r.deadline))
	})
}

// crash ends an upstream's incarnation: the slot reports the crash, and the entries retry the requests that ran.
func (w *world) crash(u *upstream) {
	w.result.Crashes++
	u.incarnation++
	u.up = false
	w.In(restartTime, func() { u.up = true })
	if !w.scenario.Disabled {
		decisions, _ := u.guard.UpstreamCrashed(w.Now())
		w.handleDecisions(u, decisions)
		w.sendToEntries(u)
	} else {
		u.guard = quarantine.NewGuard(ids.Incarnation(u.id), quarantinePeriod)
	}
	for _, ticket := range slices.Sorted(maps.Keys(u.running)) {
		r := u.running[ticket]
		r.interrupted = true
		w.In(time.Millisecond, func() { w.route(r) })
	}
	u.running = map[quarantine.Ticket]*request{}
}

// planOtherCrash schedules the next crash of an upstream that no request causes.
func (w *world) planOtherCrash(u *upstream) {
	if w.scenario.OtherCrashInterval == 0 {
		return
	}
	w.In(w.exponential(w.scenario.OtherCrashInterval), func() {
		if u.up {
			w.crash(u)
		}
		w.planOtherCrash(u)
	})
}

// deliver schedules the delivery of a digest. It is delayed and may get lost.
func (w *world) deliver(receive func()) {
	if w.rng.Float64() < digestLoss {
		return
	}
	w.In(time.Duration(w.rng.Float64()*float64(digestDelayMax)), receive)
}

// sendSlotDigests sends the digests of a slot to all entries at the digest interval.
func (w *world) sendSlotDigests(u *upstream) {
	w.sendToEntries(u)
	w.In(digestInterval, func() { w.sendSlotDigests(u) })
}

// sendToEntries sends the slot's suspects and the state of its upstream to all entries.
func (w *world) sendToEntries(u *upstream) {
	suspects := u.guard.Tracker().Digest(w.Now(), digestLimit)
	down := !u.up
	for _, e := range w.entries {
		w.deliver(func() {
			e.tracker.Merge(w.Now(), suspects...)
			e.down[u.id] = down
		})
	}
}

// sendEntryDigests sends the digests of an entry to all other entries and all slots at the digest interval.
func (w *world) sendEntryDigests(e *entry) {
	suspects := e.tracker.Digest(w.Now(), digestLimit)
	for _, other := range w.entries {
		if other != e {
			w.deliver(func() { other.tracker.Merge(w.Now(), suspects...) })
		}
	}
	for _, u := range w.upstreams {
		w.deliver(func() { w.handleDecisions(u, u.guard.Merge(w.Now(), suspects...)) })
	}
	w.In(digestInterval, func() { w.sendEntryDigests(e) })
}
