package lockstep

// maxAhead is the maximum number of passes by which a switch may hold a pass ahead of the last one that has begun. All
// leaders share it.
const maxAhead = 5

// HeldPasses chooses the passes that the switches of one leader hold in one epoch of a group. No two switches of an
// epoch hold the same pass, whichever leaders they belong to. The zero value has chosen none.
//
// A copy of an order to release a pass may be executed at any later time, and it ends any hold of that pass at its rank.
// If a later switch held that pass, the group could begin it while only some ranks are armed. In an idle group no pass
// begins, so the number of the last one does not keep the passes of two switches apart.
//
// The leader's passes are beyond those of all leaders with lower fencing tokens, and of earlier controllers under its own. Once
// all ranks have loaded a map of this leader, they refuse the lower versions of these, and a switch of theirs that reads a report
// of the newer version ends before it chooses a pass. So each of them has chosen its passes from reports in which no rank had
// loaded that map yet, at most maxAhead passes ahead; however old reports are, each rank's is from before its load. A zero value
// in place of one that has chosen passes is safe for the same reason.
type HeldPasses struct {
	// loaded is set once all ranks have loaded a map of this leader. By then, no pass after begunAtLoad had begun when a leader
	// before it read the reports by which it chose.
	loaded      bool
	begunAtLoad uint64
	// last is the last pass chosen, 0 if there is none.
	last uint64
}

// Load records that all ranks have loaded a map of the leader, according to reports by which pass begun was the last one.
func (p *HeldPasses) Load(begun uint64) {
	if !p.loaded {
		p.loaded, p.begunAtLoad = true, begun
	}
}

// Loaded reports whether all ranks have loaded a map of the leader.
func (p *HeldPasses) Loaded() bool { return p.loaded }

// Available reports whether a pass may be chosen, given the last one that has begun. It may not before Load, and after it
// at times not until an idle group has begun another pass.
func (p *HeldPasses) Available(begun uint64) bool { return p.loaded && p.first() <= begun+maxAhead }

// first returns the first pass that no switch has held.
func (p *HeldPasses) first() uint64 { return max(p.last, p.begunAtLoad+maxAhead) + 1 }

// Choose returns the pass that a switch is to hold, which is wanted if possible, given the last one that has begun. It
// returns false if none is available.
func (p *HeldPasses) Choose(begun, wanted uint64) (pass uint64, ok bool) {
	if !p.Available(begun) {
		return 0, false
	}
	p.last = min(max(wanted, p.first()), begun+maxAhead)
	return p.last, true
}
