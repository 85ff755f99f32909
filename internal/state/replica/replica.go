package replica

import (
	"sync"

	"github.com/cardamomyoke/cardamomyoke/internal/state/platform"
)

// Replica is the copy of one table. It is safe for concurrent use.
type Replica struct {
	name string
	mu   sync.Mutex
	rows map[string]platform.Change
	// version is the one up to which the copy is complete.
	version uint64
	// newest is the version of the latest change that the copy holds.
	newest uint64
	// removedSince is the version since which the copy remembers every removed row.
	removedSince uint64
	loaded       bool
}

// maxRemoved is how many removed rows are remembered for nodes that are behind; with more of them they get the whole
// table. It is some minutes of the registry's changes at the size that the system is built for.
const maxRemoved = 1024

// NewReplica returns an empty copy that nothing was loaded into.
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

// Newest returns the version of the latest change that the copy holds.
func (r *Replica) Newest() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.newest
}

// Has reports whether the copy holds what was changed at a version: it has a later change, or is complete up to there.
//
// A copy that was read whole knows nothing of rows that were removed before. If the latest change of others is such a removal,
// it would ask for it with each digest, for good.
func (r *Replica) Has(version uint64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return version <= r.newest || r.loaded && version <= r.version
}

// Rows returns the rows that exist, in no order.
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

// Load replaces the copy by a whole table as of a version. A table that is older than the copy changes nothing. It
// reports whether a row changed.
//
// A peer that is behind must not bring back a configuration that was replaced. Versions are the store's own and only grow.
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
	// A row that came and went between two whole reads left no trace here.
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

// Apply takes in changes that follow a version up to which the copy is complete. It reports whether a row changed.
func (r *Replica) Apply(changes []platform.Change, version uint64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	changed := false
	for _, c := range changes {
		// What is not newer than the copy is in it already. An answer that comes late would bring back a row that was
		// removed before the last whole read, of which nothing is remembered.
		if c.Version > r.version {
			changed = r.put(c) || changed
		}
	}
	r.version = max(r.version, version)
	r.forget()
	return changed
}

// put takes in one row unless the copy has a newer one.
func (r *Replica) put(c platform.Change) bool {
	old, known := r.rows[c.Key]
	if known && c.Version <= old.Version {
		return false
	}
	if c.Removed {
		c.Value = nil
	}
	r.rows[c.Key] = c
	r.newest = max(r.newest, c.Version)
	return known || !c.Removed
}

// forget drops the removed rows once there are too many.
func (r *Replica) forget() {
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

// Delta is what one copy gives another that is complete up to an older version.
type Delta struct {
	// Full says that Changes is the whole table.
	Full    bool
	Version uint64
	Changes []platform.Change
}

// Since returns what a copy that is complete up to a version lacks.
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

// Merge takes in another copy's delta. It reports whether a row changed.
//
// All changes from the beginning are the whole table. A gateway that got them from a peer has a complete copy: a peer gives a
// delta only from one. Not counted as loaded, it would tell of news and have nothing for those that ask.
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
