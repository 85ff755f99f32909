package quarantine

import (
	"maps"
	"slices"
	"time"

	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
	"github.com/cardamomyoke/cardamomyoke/internal/policy/quarantine"
)

// arrive hands a request to an upstream's slot.
func (w *world) arrive(r *request, u *upstream) {
	if !u.up {
		w.later(r)
		return
	}
	decision := u.guard.Submit(w.Now(), quarantine.Running{Fingerprint: r.print}, r.level)
	if decision.Admission != quarantine.Wait {
		w.turn(r, u, decision)
		return
	}
	u.waits[decision.Ticket] = r
	w.In(max(0, r.deadline.Sub(w.Now())), func() {
		if u.waits[decision.Ticket] == r {
			delete(u.waits, decision.Ticket)
			w.turns(u, u.guard.Cancel(decision.Ticket))
			w.answer(r, false)
		}
	})
}

func (w *world) turns(u *upstream, decisions []quarantine.Decision) {
	for _, d := range decisions {
		if r := u.waits[d.Ticket]; r != nil {
			delete(u.waits, d.Ticket)
			w.turn(r, u, d)
		}
	}
}

func (w *world) turn(r *request, u *upstream, d quarantine.Decision) {
	switch {
	case d.Admission == quarantine.Admit:
		w.start(r, u, d)
	case d.Level == quarantine.Refused:
		w.refused(r)
	default:
		w.later(r)
	}
}

func (w *world) start(r *request, u *upstream, d quarantine.Decision) {
	if !u.up {
		w.turns(u, u.guard.Release(w.Now(), d.Ticket, quarantine.Stopped))
		w.later(r)
		return
	}
	if d.Level == quarantine.Alone && r.number != poison {
		w.found.RanAlone++
	}
	u.runs[d.Ticket] = r
	life := u.life
	if r.number == poison {
		after := poisonMin + time.Duration(w.rng.Float64()*float64(poisonSpread))
		w.In(after, func() {
			if u.life == life {
				w.found.Taken++
				w.die(u)
			}
		})
		return
	}
	w.In(runShortest+time.Duration(w.rng.Int64N(int64(runLongest-runShortest))), func() {
		if u.life != life {
			return
		}
		delete(u.runs, d.Ticket)
		r.entry.tracker.Completed(w.Now(), r.print)
		w.turns(u, u.guard.Release(w.Now(), d.Ticket, quarantine.Complete))
		w.answer(r, !w.Now().After(r.deadline))
	})
}

// die ends an upstream's life: what ran is broken off and tried again, and the slot reports it.
func (w *world) die(u *upstream) {
	w.found.Deaths++
	u.life++
	u.up = false
	w.In(restartTime, func() { u.up = true })
	if !w.sc.Off {
		decisions, _ := u.guard.UpstreamCrashed(w.Now())
		w.turns(u, decisions)
		w.tellEntries(u)
	} else {
		u.guard = quarantine.NewGuard(ids.Incarnation(u.id), period)
	}
	for _, ticket := range slices.Sorted(maps.Keys(u.runs)) {
		r := u.runs[ticket]
		r.broke = true
		w.In(time.Millisecond, func() { w.route(r) })
	}
	u.runs = map[quarantine.Ticket]*request{}
}

// ownDeath plans the next death of an upstream that no request causes.
func (w *world) ownDeath(u *upstream) {
	if w.sc.OwnDeaths == 0 {
		return
	}
	w.In(w.exp(w.sc.OwnDeaths), func() {
		if u.up {
			w.die(u)
		}
		w.ownDeath(u)
	})
}

// deliver plans a digest, late or never.
func (w *world) deliver(do func()) {
	if w.rng.Float64() < digestLoss {
		return
	}
	w.In(time.Duration(w.rng.Float64()*float64(digestLate)), do)
}

func (w *world) slotDigest(u *upstream) {
	w.tellEntries(u)
	w.In(digestInterval, func() { w.slotDigest(u) })
}

func (w *world) tellEntries(u *upstream) {
	news := u.guard.Tracker().Digest(w.Now(), digestLimit)
	down := !u.up
	for _, e := range w.entries {
		w.deliver(func() {
			e.tracker.Merge(w.Now(), news...)
			e.down[u.id] = down
		})
	}
}

func (w *world) entryDigest(e *entry) {
	news := e.tracker.Digest(w.Now(), digestLimit)
	for _, other := range w.entries {
		if other != e {
			w.deliver(func() { other.tracker.Merge(w.Now(), news...) })
		}
	}
	for _, u := range w.upstreams {
		w.deliver(func() { w.turns(u, u.guard.Merge(w.Now(), news...)) })
	}
	w.In(digestInterval, func() { w.entryDigest(e) })
}
