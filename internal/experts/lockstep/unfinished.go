package lockstep

import "slices"

// UnfinishedSwitch describes a held group: the switch that a leader started and that is not finished or, if Ahead is
// set, a hold that is left although the switch is complete.
type UnfinishedSwitch struct {
	// Holders are the ranks that hold Pass, the earliest held pass.
	Holders []int
	Pass    uint64
	// Version is the version that ranks are armed for at that pass or, as long as none is, the one that they may be
	// armed for next.
	Version uint64
	// Pending is set if ranks are armed for another pass. If that pass is before the held one, its switch is complete
	// and takes effect there.
	Pending bool
	// Ahead is set if all ranks are armed for one version at one pass after the held one, so that no rank is, or can
	// be, armed for the held pass.
	Ahead bool
}

// FindUnfinishedSwitch returns the unfinished switch that the reports show, or nil if no rank holds the group.
func FindUnfinishedSwitch(reports []Report) *UnfinishedSwitch {
	u := &UnfinishedSwitch{}
	for _, r := range reports {
		switch {
		case r.HeldPass == nil:
		case len(u.Holders) == 0 || *r.HeldPass < u.Pass:
			u.Holders, u.Pass = []int{r.Rank}, *r.HeldPass
		case *r.HeldPass == u.Pass:
			u.Holders = append(u.Holders, r.Rank)
		}
	}
	if len(u.Holders) == 0 {
		return nil
	}
	armed := uint64(0)
	for _, r := range reports {
		u.Version = max(u.Version, r.Prepared)
		if r.Armed == nil {
			continue
		}
		if r.Armed.Pass != u.Pass {
			u.Pending = true
			continue
		}
		armed = r.Armed.Version
	}
	if armed != 0 {
		u.Version = armed
	}
	u.Ahead = armedAhead(reports, u.Pass)
	return u
}

// armedAhead reports whether all ranks are armed for the same version at the same pass after the given one.
func armedAhead(reports []Report, pass uint64) bool {
	first := reports[0].Armed
	if first == nil || first.Pass <= pass {
		return false
	}
	return !slices.ContainsFunc(reports, func(r Report) bool { return r.Armed == nil || *r.Armed != *first })
}

// Task returns t as the task of undoing the switch: the version to undo and, if there is one, a rank to hold the
// group that does not hold it yet.
func (u *UnfinishedSwitch) Task(t Task) Task {
	t.Version = u.Version
	for slices.Contains(u.Holders, t.HoldRank) && len(u.Holders) < t.Ranks {
		t.HoldRank = (t.HoldRank + 1) % t.Ranks
	}
	return t
}
