package lockstep

import "slices"

// UnfinishedSwitch is a switch that a leader began and that is not over.
type UnfinishedSwitch struct {
	// Holders are the ranks that hold Pass, the earliest pass that is held.
	Holders []int
	Pass    uint64
	// Version is what ranks are armed for at that pass or, as long as none is, what they may be armed for next.
	Version uint64
	// Pending says that ranks are armed for another pass: a switch that is complete, and begins before the held pass.
	Pending bool
	// Ahead says that all ranks are armed for one version at one pass after the held one, so that none is, or can be, armed
	// for the held pass.
	Ahead bool
}

// FindUnfinishedSwitch returns the switch that the reports show, or nil if no rank holds the group.
func FindUnfinishedSwitch(reports []Report) *UnfinishedSwitch {
	u := &UnfinishedSwitch{}
	for _, r := range reports {
		switch {
		case r.Held == nil:
		case len(u.Holders) == 0 || *r.Held < u.Pass:
			u.Holders, u.Pass = []int{r.Rank}, *r.Held
		case *r.Held == u.Pass:
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

// armedAhead reports whether all ranks are armed for one version at one pass after the given one.
func armedAhead(reports []Report, pass uint64) bool {
	first := reports[0].Armed
	if first == nil || first.Pass <= pass {
		return false
	}
	return !slices.ContainsFunc(reports, func(r Report) bool { return r.Armed == nil || *r.Armed != *first })
}

// Task returns the task of undoing it: t for another rank to hold the group at, and the version to take back.
func (u *UnfinishedSwitch) Task(t Task) Task {
	t.Version = u.Version
	for slices.Contains(u.Holders, t.HoldRank) && len(u.Holders) < t.Ranks {
		t.HoldRank = (t.HoldRank + 1) % t.Ranks
	}
	return t
}
