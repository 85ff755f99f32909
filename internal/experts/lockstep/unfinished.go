package lockstep

import "slices"

// UnfinishedSwitch describes a held group: the switch that a leader started and that is not finished or, if Superseded is
// set, a hold that is left from an earlier switch.
type UnfinishedSwitch struct {
	// Holders are the ranks that hold Pass, the earliest held pass.
	Holders []int
	Pass    uint64
	// Armed are the versions, by rank, that ranks are armed for at that pass.
	Armed map[int]uint64
	// Pending is set if a rank is armed for an earlier pass. Its switch is complete and takes effect there.
	Pending bool
	// Superseded is set if a rank is armed for a later pass or holds one. No rank is, or can be, armed for Pass: later
	// switches have later passes, and by the time one of them held a pass, all ranks had loaded its map.
	Superseded bool
}

// FindUnfinishedSwitch returns the unfinished switch that the reports show, or nil if no rank holds the group.
func FindUnfinishedSwitch(reports []Report) *UnfinishedSwitch {
	u := &UnfinishedSwitch{Armed: map[int]uint64{}}
	for _, r := range reports {
		if r.HeldPass != nil && (u.Pass == 0 || *r.HeldPass < u.Pass) {
			u.Pass = *r.HeldPass
		}
	}
	if u.Pass == 0 {
		return nil
	}
	for _, r := range reports {
		switch {
		case r.HeldPass == nil:
		case *r.HeldPass == u.Pass:
			u.Holders = append(u.Holders, r.Rank)
		default:
			u.Superseded = true
		}
		switch {
		case r.Armed == nil:
		case r.Armed.Pass == u.Pass:
			u.Armed[r.Rank] = r.Armed.Version
		case r.Armed.Pass < u.Pass:
			u.Pending = true
		default:
			u.Superseded = true
		}
	}
	return u
}

// Version returns the version that ranks are armed for at the held pass, 0 if none is.
func (u *UnfinishedSwitch) Version() uint64 {
	version := uint64(0)
	for _, v := range u.Armed {
		version = max(version, v)
	}
	return version
}

// Task returns t as the task of undoing the switch: the version to undo and, if there is one, a rank to hold the
// group that does not hold it yet.
func (u *UnfinishedSwitch) Task(t Task) Task {
	t.Version = u.Version()
	for slices.Contains(u.Holders, t.HoldRank) && len(u.Holders) < t.Ranks {
		t.HoldRank = (t.HoldRank + 1) % t.Ranks
	}
	return t
}
