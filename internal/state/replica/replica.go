package replica

import (
	"sync"

	"github.com/cardamomyoke/cardamomyoke/internal/state/platform"
)

// Replica is a node's copy of one table of the platform's store. It is safe for concurrent use.
type Replica struct {
	name string
	mu   sync.Mutex
	rows map[string]platform.Change
	// version is the version up to which the copy is complete.
	version uint64
	// newest is the version of the latest change in the copy.
	newest uint64
	// removedSince is the version since which the copy retains every removed row.
	removedSince uint64
	loaded       bool
}

// maxRemoved is the number of removed rows that are retained for nodes that are behind. Beyond it such nodes get the
// full table. At the size that the system is built for, it covers some minutes of the registry's changes.
const maxRemoved = 1024

// NewReplica returns an empty copy, which counts as not loaded.
func NewReplica(name string) *Replica {
	return &Replica{name: name, rows: map[string]platform.Change{}}
}

// Name returns the table's name in the store.
func (r *Replica) Name() string { return r.name }

// Position returns the version up to which the copy is complete; ok is false before the first load.
func (r *Replica) Position() (version uint64, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.version, r.loaded
}

// Newest returns the version of the latest change in the copy.
func (r *Replica) Newest() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.newest
}

// Has reports whether the copy includes the change at a version: it has that or a later change, or is complete up to
// that version.
//
// The second condition is needed after a full read, which includes no rows that were removed before. If the latest
// change of the peers is such a removal, the copy would otherwise request it with each digest, forever.
func (r *Replica) Has(version uint64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return version <= r.newest || r.loaded && version <= r.version
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

// Load replaces the copy with a full table as of a version, and reports whether a row changed or this was the first
// load. A table older than the copy is ignored.
//
// A peer that is behind must not bring back a replaced configuration. Versions are assigned by the store and only
// grow.
func (r *Replica) Load(rows []platform.Row, version uint64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.loaded && version < r.version {
		return false
	}
	first := !r.loaded
	r.loaded = true
	changed := r.removeMissing(rows, version)
	for _, row := range rows {
		changed = r.put(platform.Change{Row: row}) || changed
	}
	// A row that was created and removed between two full reads is not in the copy, so removals are complete only
	// from this version on.
	r.removedSince = version
	r.version = version
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
			changed = r.put(platform.Change{Row: platform.Row{Key: key, Version: version}, Removed: true}) || changed
		}
	}
	return changed
}

// Apply applies changes that follow a version up to which the copy is complete. It reports whether a row changed.
func (r *Replica) Apply(changes []platform.Change, version uint64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	changed := false
	for _, c := range changes {
		// The copy includes all changes up to its version. Applying one of them from a late response would bring back
		// a row that was removed before the last full read, since that removal is not retained.
		if c.Version > r.version {
			changed = r.put(c) || changed
		}
	}
	r.version = max(r.version, version)
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
	r.removedSince = r.version
}

// Delta is what a copy lacks from another one.
type Delta struct {
	// Full is set if Changes is the full table.
	Full    bool
	Version uint64
	Changes []platform.Change
}

// Since returns what a copy that is complete up to a version lacks. It is empty if this copy is not loaded.
func (r *Replica) Since(version uint64) Delta {
	r.mu.Lock()
	defer r.mu.Unlock()
	d := Delta{Version: r.version, Full: version < r.removedSince}
	if !r.loaded {
		return Delta{}
	}
	for _, c := range r.rows {
		if d.Full && !c.Removed || !d.Full && c.Version > version {
			d.Changes = append(d.Changes, c)
		}
	}
	return d
}

// Merge applies another copy's delta and reports whether a row changed.
//
// All changes since version 0 amount to the full table, so the copy counts as loaded afterwards: a peer returns a
// delta only from a complete copy. If it did not count as loaded, the gateway would announce updates but return
// nothing to peers that pull them.
func (r *Replica) Merge(d Delta) bool {
	if !d.Full {
		if d.Version == 0 {
			return false
		}
		changed := r.Apply(d.Changes, d.Version)
		r.mu.Lock()
		defer r.mu.Unlock()
		r.loaded = true
		return changed
	}
	rows := make([]platform.Row, 0, len(d.Changes))
	for _, c := range d.Changes {
		rows = append(rows, c.Row)
	}
	return r.Load(rows, d.Version)
}
