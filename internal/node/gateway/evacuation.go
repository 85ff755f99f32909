package gateway

import (
	"fmt"
	"time"

	"github.com/go-kit/log/level"

	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
	"github.com/cardamomyoke/cardamomyoke/internal/policy/dispatch"
	"github.com/cardamomyoke/cardamomyoke/internal/state/catalog"
	"github.com/cardamomyoke/cardamomyoke/internal/state/evacuation"
	"github.com/cardamomyoke/cardamomyoke/internal/state/platform"
	"github.com/cardamomyoke/cardamomyoke/internal/state/registry"
)

// moveAfterShare is the part of the bound after which streams that still run in an evacuated data centre are moved. Most streams
// end by themselves within 2 s, and a move costs a retry and another prefill.
const moveAfterShare = 0.5

// EvacuatedUpstreamError reports that a request was placed at an upstream, but not written to it, because the upstream's data
// centre has been evacuated meanwhile.
type EvacuatedUpstreamError struct {
	Upstream   ids.Upstream
	DataCentre ids.DataCentre
}

// Error implements error.
func (e *EvacuatedUpstreamError) Error() string {
	return fmt.Sprintf("nothing was written to %s: data centre %s is evacuated", e.Upstream, e.DataCentre)
}

// evacuationStatus is what a gateway knows about one evacuated data centre. It is immutable.
type evacuationStatus struct {
	catalog.Evacuation
	// upstreams is the number of registered upstreams there.
	upstreams int
	// running is the number of requests of this gateway that run there, and others that which the other gateways have last
	// reported.
	running, others int
	// idleSince is when the last request of this gateway there ended; zero if one is running.
	idleSince time.Time
	// busy lists, by service, the upstreams at which requests of this gateway run.
	busy map[ids.Service][]ids.UpstreamIncarnation
}

// evacuates reports whether the operator may evacuate data centres.
func (g *Gateway) evacuates() bool {
	return g.Settings().Bounds.Evacuate > 0 && !g.disabled(mechanismEvacuation)
}

// evacuations returns the status of the evacuated data centres, sorted by data centre.
func (g *Gateway) evacuations() []evacuationStatus {
	if list := g.evacuationStatus.Load(); list != nil {
		return *list
	}
	return nil
}

// isEvacuation reports whether a row of the operator's table is about an evacuation.
func (g *Gateway) isEvacuation(row platform.Row) bool {
	if !g.evacuates() {
		return false
	}
	_, is, _ := g.decoder.Evacuation(row)
	return is
}

// readEvacuations returns the set of evacuated data centres by the replica of the operator's table.
func (g *Gateway) readEvacuations(now time.Time) *catalog.Evacuations {
	if !g.evacuates() {
		return nil
	}
	r := g.configFollower.Replica
	// The rows are read first: if the store comes back older in between, an evacuation is in both or in one of them.
	rows := r.Rows()
	earlier, age := r.Earlier()
	table := evacuation.Table{Rows: rows, Earlier: earlier, EraAge: age, Hold: registry.HoldTime(g.Settings().Bounds.heartbeat())}
	set, findings, settled := g.control.evacuations.Update(table, now)
	r.Forget(settled)
	for i, f := range findings {
		if i < maxFindings {
			_ = level.Warn(g.logger).Log("msg", f.Kind, "row", f.Key, "version", f.Version, "era_age_ms", age.Milliseconds(), "err", f.Err)
		}
	}
	return set
}

// recordEvacuations publishes the status after the set has been replaced, and logs what began and what ended.
func (g *Gateway) recordEvacuations(before *catalog.Evacuations, now time.Time) {
	after := g.control.evacuated
	if before.Len() == 0 && after.Len() == 0 {
		return
	}
	for _, s := range g.evacuations() {
		if !after.Has(s.DataCentre) {
			_ = level.Info(g.logger).Log("msg", "evacuation ended", "data_centre", s.DataCentre, "version", s.Written, "upstreams", s.upstreams,
				"running", s.running, "running_elsewhere", s.others, "lasted_ms", ageOf(s.Since, now))
		}
	}
	g.updateEvacuationStatus(now)
	for _, s := range g.evacuations() {
		if !before.Has(s.DataCentre) {
			g.metrics.addEvacuationGauges(g, s.DataCentre)
			_ = level.Info(g.logger).Log("msg", "data centre evacuated", "data_centre", s.DataCentre, "version", s.Written, "upstreams", s.upstreams,
				"running", s.running, "running_elsewhere", s.others, "following", g.configFollower.Following(), "bound_ms", g.Settings().Bounds.Evacuate.Std().Milliseconds())
		}
	}
}

// tickEvacuations updates the status, logs where the last request has ended, and moves the streams that are left.
func (g *Gateway) tickEvacuations(now time.Time) {
	if g.control.evacuated.Len() == 0 {
		return
	}
	before := g.evacuations()
	room := map[ids.Service]int{}
	for name, s := range g.control.services {
		room[name] = s.gate.MoveRoom()
	}
	g.updateEvacuationStatus(now)
	for i, s := range g.evacuations() {
		if !s.idleSince.IsZero() && i < len(before) && before[i].idleSince.IsZero() {
			_ = level.Info(g.logger).Log("msg", "no request runs in evacuated data centre", "data_centre", s.DataCentre, "version", s.Written,
				"running_elsewhere", s.others, "took_ms", ageOf(s.Since, now))
		}
		g.moveEvacuated(s, room, now)
	}
}

// updateEvacuationStatus counts the requests that run in evacuated data centres.
func (g *Gateway) updateEvacuationStatus(now time.Time) {
	idleSince := map[ids.DataCentre]time.Time{}
	for _, s := range g.evacuations() {
		idleSince[s.DataCentre] = s.idleSince
	}
	work := map[ids.Service]map[ids.DataCentre]dispatch.EvacuatedWork{}
	for name, s := range g.control.services {
		work[name] = s.gate.EvacuatedWork()
	}
	var list []evacuationStatus
	for _, e := range g.control.evacuated.All() {
		s := evacuationStatus{Evacuation: e, idleSince: idleSince[e.DataCentre], busy: map[ids.Service][]ids.UpstreamIncarnation{}}
		for name, byDataCentre := range work {
			w := byDataCentre[e.DataCentre]
			s.upstreams, s.running, s.others = s.upstreams+w.Upstreams, s.running+w.Own, s.others+w.Others
			s.busy[name] = w.Busy
		}
		switch {
		case s.running > 0:
			s.idleSince = time.Time{}
		case s.idleSince.IsZero():
			s.idleSince = now
		}
		list = append(list, s)
	}
	g.evacuationStatus.Store(&list)
}

// moveEvacuated begins to move the streams that are left in an evacuated data centre after a part of the bound, as far as there is room
// elsewhere for a service's streams. It subtracts them from that room.
func (g *Gateway) moveEvacuated(s evacuationStatus, room map[ids.Service]int, now time.Time) {
	if now.Sub(s.Since) < time.Duration(moveAfterShare*float64(g.Settings().Bounds.Evacuate)) {
		return
	}
	for name, busy := range s.busy {
		for _, u := range busy {
			room[name] -= g.moves.moveFrom(u, moveEvacuated, room[name], now)
		}
	}
}

// mayMoveSlow reports whether streams may be moved away from slow upstreams of a service. While data centres are evacuated, there
// may be no other upstream.
func (g *Gateway) mayMoveSlow(s *service) bool {
	return !g.disabled(mechanismMoves) && (g.control.evacuated.Len() == 0 || s.gate.MoveRoom() > 0)
}

// checkEvacuated returns *EvacuatedUpstreamError if a request must not be written to an upstream by the present view. The
// request may have been placed there before the evacuation was known, and this process may have been paused since.
func (g *Gateway) checkEvacuated(u *catalog.Upstream) error {
	if g.view.Load().evacuated.Has(u.DataCentre) {
		return &EvacuatedUpstreamError{u.ID, u.DataCentre}
	}
	return nil
}
