package lockstep

import "slices"

// Left is a switch that a leader began and that is not over.
type Left struct {
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

// FindLeft returns the switch that the reports show, or nil if no rank holds the group.
func FindLeft(reports []Report) *Left {
	l := &Left{}
	for _, r := range reports {
		switch {
		case r.Held == nil:
		case len(l.Holders) == 0 || *r.Held < l.Pass:
			l.Holders, l.Pass = []int{r.Rank}, *r.Held
		case *r.Held == l.Pass:
			l.Holders = append(l.Holders, r.Rank)
		}
	}
	if len(l.Holders) == 0 {
		return nil
	}
	armed := uint64(0)
	for _, r := range reports {
		l.Version = max(l.Version, r.Prepared)
		if r.Armed == nil {
			continue
		}
		if r.Armed.Pass != l.Pass {
			l.Pending = true
			continue
		}
		armed = r.Armed.Version
	}
	if armed != 0 {
		l.Version = armed
	}
	l.Ahead = armedAhead(reports, l.Pass)
	return l
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
func (l *Left) Task(t Task) Task {
	t.Version = l.Version
	for slices.Contains(l.Holders, t.HoldAt) && len(l.Holders) < t.Ranks {
		t.HoldAt = (t.HoldAt + 1) % t.Ranks
	}
	return t
}
