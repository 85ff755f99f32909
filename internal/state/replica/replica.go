package replica

import (
	"sync"
	"time"

	"github.com/cardamomyoke/cardamomyoke/internal/state/platform"
)

// Replica is a node's copy of one table of the platform's store. It is safe for concurrent use.
type Replica struct {
	name string
	mu   sync.Mutex
	rows map[string]platform.Change
	// position is the position up to which the copy is complete. All rows are of its era.
	position platform.Position
	// newest is the version of the latest change in the copy.
	newest uint64
	// removedSince is the version since which the copy retains every removed row.
	removedSince uint64
	loaded       bool
	// earlier holds rows of earlier eras by key.
	earlier map[string][]EarlierRow
	// eraSince is when the copy moved to its era from an earlier one, or when the peer did from which it got the era; zero
	// if it has seen one era only.
	eraSince time.Time
}

// maxRemoved is the number of removed rows that are retained for nodes that are behind. Beyond it such nodes get the
// full table. At the size that the system is built for, it covers some minutes of the registry's changes.
const maxRemoved = 1024

// NewReplica returns an empty copy, which counts as not loaded.
func NewReplica(name string) *Replica {
	return &Replica{name: name, rows: map[string]platform.Change{}, earlier: map[string][]EarlierRow{}}
}

// Name returns the table's name in the store.
func (r *Replica) Name() string { return r.name }

// Position returns the position up to which the copy is complete; ok is false before the first load.
func (r *Replica) Position() (p platform.Position, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.position, r.loaded
}

// Newest returns the position of the latest change in the copy.
func (r *Replica) Newest() platform.Position {
	r.mu.Lock()
	defer r.mu.Unlock()
	return platform.Position{Era: r.position.Era, Version: r.newest}
}

// Has reports whether the copy includes the change at a position: it has that or a later change, or is complete up to
// that position. A copy of a later era includes all changes of earlier ones that the store still has.
//
// The second condition is needed after a full read, which includes no rows that were removed before. If the latest
// change of the peers is such a removal, the copy would otherwise request it with each digest, forever.
func (r *Replica) Has(p platform.Position) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if p.Era != r.position.Era {
		return p.Era < r.position.Era
	}
	return p.Version <= r.newest || r.loaded && p.Version <= r.position.Version
}

// Rows returns the existing rows in unspecified order.
func (r *Replica) Rows() []platform.Row {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make([]platform.Row, 0, len(r.rows))
	for _, c := range r.rows {
		if !c.Removed {
			out = append(out, c.Row)
		}
	}
	return out
}

// Load replaces the copy with a full table as of a position, and reports whether a row changed or this was the first
// load of the position's era. A table older than the copy is ignored.
//
// A peer that is behind must not bring back a replaced configuration.
func (r *Replica) Load(rows []platform.Row, to platform.Position) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.load(rows, to)
}

func (r *Replica) load(rows []platform.Row, to platform.Position) bool {
	if r.loaded && to.Before(r.position) {
		return false
	}
	first := !r.loaded
	if !first && to.Era > r.position.Era {
		r.beginEra(rows, to)
		first = true
	}
	r.loaded = true
	r.position.Era = to.Era
	changed := r.removeMissing(rows, to.Version)
	for _, row := range rows {
		row.Era = to.Era
		changed = r.put(platform.Change{Row: row}) || changed
	}
	// A row that was created and removed between two full reads is not in the copy, so removals are complete only
	// from this version on.
	r.removedSince = to.Version
	r.position = to
	return changed || first
}

func (r *Replica) removeMissing(rows []platform.Row, version uint64) bool {
	present := make(map[string]bool, len(rows))
	for _, row := range rows {
		present[row.Key] = true
	}
	changed := false
	for key, c := range r.rows {
		if !present[key] && !c.Removed {
			removed := platform.Row{Key: key, Version: version, Era: r.position.Era}
			changed = r.put(platform.Change{Row: removed, Removed: true}) || changed
		}
	}
	return changed
}

// Apply applies changes that follow a position up to which the copy is complete. It reports whether a row changed.
// Changes of another era than the copy's are ignored.
func (r *Replica) Apply(changes []platform.Change, to platform.Position) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.apply(changes, to)
}

func (r *Replica) apply(changes []platform.Change, to platform.Position) bool {
	if to.Era != r.position.Era {
		return false
	}
	changed := false
	for _, c := range changes {
		// The copy includes all changes up to its version. Applying one of them from a late response would bring back
		// a row that was removed before the last full read, since that removal is not retained.
		if c.Version > r.position.Version {
			c.Era = to.Era
			changed = r.put(c) || changed
		}
	}
	r.position = r.position.Max(to)
	r.dropRemoved()
	return changed
}

// put stores one row unless the copy has a newer version of it. It reports whether the row changed. The removal of a
// row that the copy never had is stored but does not count as a change.
func (r *Replica) put(c platform.Change) bool {
	old, found := r.rows[c.Key]
	if found && c.Version <= old.Version {
		return false
	}
	if c.Removed {
		c.Value = nil
	}
	r.rows[c.Key] = c
	r.newest = max(r.newest, c.Version)
	return found || !c.Removed
}

// dropRemoved drops all removed rows once there are more than maxRemoved.
func (r *Replica) dropRemoved() {
	removed := 0
	for _, c := range r.rows {
		if c.Removed {
			removed++
		}
	}
	if removed <= maxRemoved {
		return
	}
	for key, c := range r.rows {
		if c.Removed {
			delete(r.rows, key)
		}
	}
	r.removedSince = r.position.Version
}

// Delta is what a copy lacks from another one.
type Delta struct {
	// Full is set if Changes is the full table.
	Full    bool
	To      platform.Position
	Changes []platform.Change
	// Earlier holds rows of earlier eras, and EraAge how long ago the sender noticed its era.
	Earlier []EarlierRow
	EraAge  time.Duration
}

// Since returns what a copy that is complete up to a position lacks: the full table if that is of an earlier era. It is
// empty if this copy is not loaded or is of an earlier era itself.
func (r *Replica) Since(p platform.Position) Delta {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.loaded || p.Era > r.position.Era {
		return Delta{}
	}
	d := Delta{To: r.position, Full: p.Era < r.position.Era || p.Version < r.removedSince}
	for _, c := range r.rows {
		if d.Full && !c.Removed || !d.Full && c.Version > p.Version {
			d.Changes = append(d.Changes, c)
		}
	}
	d.Earlier = r.allEarlier()
	d.EraAge = r.eraAge(time.Now())
	return d
}

// Merge applies another copy's delta and reports whether a row changed.
//
// All changes since version 0 amount to the full table, so the copy counts as loaded afterwards: a peer returns a
// delta only from a complete copy. If it did not count as loaded, the gateway would announce updates but return
// nothing to peers that pull them.
func (r *Replica) Merge(d Delta) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if d.To == (platform.Position{}) || r.loaded && d.To.Era < r.position.Era {
		return false
	}
	changed := r.mergeRows(d)
	return r.mergeEarlier(d) || changed
}

func (r *Replica) mergeRows(d Delta) bool {
	if !d.Full {
		changed := r.apply(d.Changes, d.To)
		r.loaded = r.loaded || d.To.Era == r.position.Era
		return changed
	}
	rows := make([]platform.Row, 0, len(d.Changes))
	for _, c := range d.Changes {
		rows = append(rows, c.Row)
	}
	return r.load(rows, d.To)
}
