package quarantine

import (
	"maps"
	"slices"
	"time"

	"github.com/cardamomyoke/cardamomyoke/internal/ids"
	"github.com/cardamomyoke/cardamomyoke/internal/quarantine"
)

// arrive hands a request to an upstream's slot.
func (w *world) arrive(r *request, u *upstream) {
	if !u.up {
		w.later(r)
		return
	}
	turn := u.guard.Ask(w.now, quarantine.Running{Fingerprint: r.print}, r.level)
	if turn.Admission != quarantine.Wait {
		w.turn(r, u, turn)
		return
	}
	u.waits[turn.Ticket] = r
	w.in(max(0, r.deadline.Sub(w.now)), func() {
		if u.waits[turn.Ticket] == r {
			delete(u.waits, turn.Ticket)
			w.turns(u, u.guard.GiveUp(turn.Ticket))
			w.answer(r, false)
		}
	})
}

func (w *world) turns(u *upstream, turns []quarantine.Turn) {
	for _, t := range turns {
		if r := u.waits[t.Ticket]; r != nil {
			delete(u.waits, t.Ticket)
			w.turn(r, u, t)
		}
	}
}

func (w *world) turn(r *request, u *upstream, t quarantine.Turn) {
	switch {
	case t.Admission == quarantine.Enter:
		w.start(r, u, t)
	case t.Level == quarantine.Refused:
		w.refused(r)
	default:
		w.later(r)
	}
}

func (w *world) start(r *request, u *upstream, t quarantine.Turn) {
	if !u.up {
		w.turns(u, u.guard.Leave(w.now, t.Ticket, quarantine.Stopped))
		w.later(r)
		return
	}
	if t.Level == quarantine.Alone && r.number != poison {
		w.found.RanAlone++
	}
	u.runs[t.Ticket] = r
	life := u.life
	if r.number == poison {
		after := poisonMin + time.Duration(w.rng.Float64()*float64(poisonSpread))
		w.in(after, func() {
			if u.life == life {
				w.found.Taken++
				w.die(u)
			}
		})
		return
	}
	w.in(runShortest+time.Duration(w.rng.Int64N(int64(runLongest-runShortest))), func() {
		if u.life != life {
			return
		}
		delete(u.runs, t.Ticket)
		r.entry.tracker.Completed(w.now, r.print)
		w.turns(u, u.guard.Leave(w.now, t.Ticket, quarantine.Whole))
		w.answer(r, !w.now.After(r.deadline))
	})
}

// die ends an upstream's life: what ran is broken off and tried again, and the slot reports it.
func (w *world) die(u *upstream) {
	w.found.Deaths++
	u.life++
	u.up = false
	w.in(restartTime, func() { u.up = true })
	if !w.sc.Off {
		turns, _ := u.guard.Died(w.now)
		w.turns(u, turns)
		w.tellEntries(u)
	} else {
		u.guard = quarantine.NewGuard(ids.Incarnation(u.id), period)
	}
	for _, ticket := range slices.Sorted(maps.Keys(u.runs)) {
		r := u.runs[ticket]
		r.broke = true
		w.in(time.Millisecond, func() { w.route(r) })
	}
	u.runs = map[quarantine.Ticket]*request{}
}

// ownDeath plans the next death of an upstream that no request causes.
func (w *world) ownDeath(u *upstream) {
	if w.sc.OwnDeaths == 0 {
		return
	}
	w.in(w.exp(w.sc.OwnDeaths), func() {
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
	w.in(time.Duration(w.rng.Float64()*float64(digestLate)), do)
}

func (w *world) slotDigest(u *upstream) {
	w.tellEntries(u)
	w.in(digestEvery, func() { w.slotDigest(u) })
}

func (w *world) tellEntries(u *upstream) {
	news := u.guard.Tracker().Digest(w.now, digestLimit)
	down := !u.up
	for _, e := range w.entries {
		w.deliver(func() {
			e.tracker.Merge(w.now, news...)
			e.down[u.id] = down
		})
	}
}

func (w *world) entryDigest(e *entry) {
	news := e.tracker.Digest(w.now, digestLimit)
	for _, other := range w.entries {
		if other != e {
			w.deliver(func() { other.tracker.Merge(w.now, news...) })
		}
	}
	for _, u := range w.upstreams {
		w.deliver(func() { w.turns(u, u.guard.Learn(w.now, news...)) })
	}
	w.in(digestEvery, func() { w.entryDigest(e) })
}
