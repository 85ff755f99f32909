package lockstep

// maxAhead is the maximum number of passes by which a switch may hold a pass ahead of the last one that has begun. All
// leaders share it.
const maxAhead = 8

// HeldPasses chooses the passes that the switches of one leader hold in one epoch of a group. No two switches of an
// epoch hold the same pass, whichever leaders they belong to. The zero value has chosen none.
//
// A copy of an order to release a pass may be executed at any later time, and it ends any hold of that pass at its rank.
// If a later switch held that pass, the group could begin it while only some ranks are armed. In an idle group no pass
// begins, so the number of the last one does not keep the passes of two switches apart.
//
// The leader's first pass is beyond those of all leaders with lower fencing tokens. Once all ranks have loaded its first
// map, they refuse the maps of these leaders, so each of them has chosen its passes from reports of an earlier time, at
// most maxAhead passes ahead. The group then begins another pass, and maxAhead passes ahead of that one is a pass that
// none of them has chosen. This is not needed if a rank has never loaded another map, since a leader chooses a pass only
// after all ranks have loaded its map.
type HeldPasses struct {
	// loaded is set once all ranks have loaded a map of this leader, at a time when pass loadedAt had begun.
	loaded   bool
	loadedAt uint64
	// only is set if the leader's map was the first one that some rank has loaded in this epoch.
	only bool
	// last is the last pass chosen, 0 if there is none.
	last uint64
}

// Available reports whether a switch that starts now may choose a pass, given the last pass that has begun. It reports
// false for an idle group until it begins another pass, if all passes that may be chosen have been.
func (p *HeldPasses) Available(begun uint64) bool {
	return !p.loaded || (p.only || begun > p.loadedAt) && p.last < begun+maxAhead
}

// Choose returns the pass that a switch is to hold, which is wanted if possible. It must be called only with reports
// according to which all ranks have loaded the switch's map; begun is the last pass that has begun by these reports, and
// only is set if some rank has never loaded another map in this epoch. It returns false if no pass may be chosen before
// another one has begun.
func (p *HeldPasses) Choose(begun, wanted uint64, only bool) (pass uint64, ok bool) {
	if !p.loaded {
		p.loaded, p.loadedAt, p.only = true, begun, only
	}
	if !p.Available(begun) {
		return 0, false
	}
	if p.last == 0 && !p.only {
		wanted = begun + maxAhead
	}
	p.last = min(max(wanted, p.last+1), begun+maxAhead)
	return p.last, true
}
