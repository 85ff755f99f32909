package lockstep

import "time"

// restarted reports whether a rank has restarted since the switch started.
//
// A rank that restarts after it has acknowledged an order may be in a group of the same epoch. Its acknowledgement
// must not count; otherwise the group would be released with one rank that has no map to switch to.
func (s *Switch) restarted(rank int, r *Report) bool {
	return rank < len(s.task.StartTimes) && r.StartedAtMS != s.task.StartTimes[rank]
}

// superseded reports whether a rank has a map of a later leader before this switch has held the group.
//
// A leader that stalled in stateHolding would otherwise hold the group for a switch whose orders all ranks refuse.
func (s *Switch) superseded(r *Report) bool {
	state := s.machine.State()
	return (state == statePreparing || state == stateHolding) && max(r.Version, r.Prepared) > max(s.task.Version, s.task.Fallback)
}

// ReportsDue reports whether the next step depends on a rank's state, so that OnReports is to be called soon. It reports
// so once for each such step.
func (s *Switch) ReportsDue() bool {
	due := s.reportsDue
	s.reportsDue = false
	return due
}

// clearArmed has a rank disarmed that is armed for the pass being cleared. A rank that is armed for a later pass belongs
// to a later switch. That one may be complete, and then no hold keeps a pass from beginning with only some ranks
// disarmed.
func (s *Switch) clearArmed(rank int, r *Report) {
	switch {
	case s.machine.State() != stateClearing || s.acked[rank] > 0 || r.Armed == nil:
	case r.Armed.Pass == s.pass:
		s.armed[rank] = r.Armed.Version
	case r.Armed.Pass > s.pass:
		s.fire(evLate)
	}
}

// OnReports processes the reports of all ranks from one concurrent round, by rank; nil means no response. It returns
// the orders that follow.
//
// If a rank's host pauses during the switch, the leader cannot determine whether the rank is armed, and the group
// stays held until the host resumes. The group is therefore held only right after a round in which every rank
// responded.
func (s *Switch) OnReports(now time.Time, reports []*Report) []Order {
	prepared := 0
	for rank, r := range reports {
		if r == nil {
			continue
		}
		if r.Epoch != s.task.Epoch || s.restarted(rank, r) {
			s.fire(evEpochChanged)
			return nil
		}
		if s.superseded(r) {
			s.fire(evLate)
			return nil
		}
		s.observePass(r)
		s.clearArmed(rank, r)
		if r.Prepared == s.task.Version {
			prepared++
		}
	}
	if s.machine.State() == statePreparing && prepared == s.task.Ranks {
		s.onLoaded()
	}
	return s.Tick(now)
}

// onLoaded continues once all ranks have loaded the map. It ends the switch if no pass may be held yet.
func (s *Switch) onLoaded() {
	s.task.Passes.Load(s.begunPass)
	if s.task.LoadOnly || !s.choosePass(s.latestPass+s.holdLead()) {
		s.fire(evLate)
		return
	}
	s.fire(evAllPrepared)
}

func (s *Switch) observePass(r *Report) {
	s.begunPass = max(s.begunPass, r.Pass)
	latest := r.Pass
	if !r.Fresh {
		latest += s.task.LagPasses
	}
	s.latestPass = max(s.latestPass, latest)
}
