package replica

import (
	"sync"

	"github.com/cardamomyoke/cardamomyoke/internal/state/platform"
)

// Table is the copy of one table. It is safe for concurrent use.
type Table struct {
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

// NewTable returns an empty copy that nothing was loaded into.
func NewTable(name string) *Table {
	return &Table{name: name, rows: map[string]platform.Change{}}
}

// Name returns the table's name in the store.
func (t *Table) Name() string { return t.name }

// Position returns the version up to which the copy is complete; ok is false before the first load.
func (t *Table) Position() (version uint64, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.version, t.loaded
}

// Newest returns the version of the latest change that the copy holds.
func (t *Table) Newest() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.newest
}

// Has reports whether the copy holds what was changed at a version: it has a later change, or is complete up to there.
//
// A copy that was read whole knows nothing of rows that were removed before. If the latest change of others is such a removal,
// it would ask for it with each digest, for good.
func (t *Table) Has(version uint64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return version <= t.newest || t.loaded && version <= t.version
}

// Rows returns the rows that exist, in no order.
func (t *Table) Rows() []platform.Row {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]platform.Row, 0, len(t.rows))
	for _, c := range t.rows {
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
func (t *Table) Load(rows []platform.Row, version uint64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.loaded && version < t.version {
		return false
	}
	first := !t.loaded
	t.loaded = true
	changed := t.removeMissing(rows, version)
	for _, r := range rows {
		changed = t.put(platform.Change{Row: r}) || changed
	}
	// A row that came and went between two whole reads left no trace here.
	t.removedSince = version
	t.version = version
	return changed || first
}

func (t *Table) removeMissing(rows []platform.Row, version uint64) bool {
	present := make(map[string]bool, len(rows))
	for _, r := range rows {
		present[r.Key] = true
	}
	changed := false
	for key, c := range t.rows {
		if !present[key] && !c.Removed {
			changed = t.put(platform.Change{Row: platform.Row{Key: key, Version: version}, Removed: true}) || changed
		}
	}
	return changed
}

// Apply takes in changes that follow a version up to which the copy is complete. It reports whether a row changed.
func (t *Table) Apply(changes []platform.Change, version uint64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	changed := false
	for _, c := range changes {
		// What is not newer than the copy is in it already. An answer that comes late would bring back a row that was
		// removed before the last whole read, of which nothing is remembered.
		if c.Version > t.version {
			changed = t.put(c) || changed
		}
	}
	t.version = max(t.version, version)
	t.forget()
	return changed
}

// put takes in one row unless the copy has a newer one.
func (t *Table) put(c platform.Change) bool {
	old, known := t.rows[c.Key]
	if known && c.Version <= old.Version {
		return false
	}
	if c.Removed {
		c.Value = nil
	}
	t.rows[c.Key] = c
	t.newest = max(t.newest, c.Version)
	return known || !c.Removed
}

// forget drops the removed rows once there are too many.
func (t *Table) forget() {
	removed := 0
	for _, c := range t.rows {
		if c.Removed {
			removed++
		}
	}
	if removed <= maxRemoved {
		return
	}
	for key, c := range t.rows {
		if c.Removed {
			delete(t.rows, key)
		}
	}
	t.removedSince = t.version
}

// Delta is what one copy gives another that is complete up to an older version.
type Delta struct {
	// Whole says that Changes is the whole table.
	Whole   bool
	Version uint64
	Changes []platform.Change
}

// Since returns what a copy that is complete up to a version lacks.
func (t *Table) Since(version uint64) Delta {
	t.mu.Lock()
	defer t.mu.Unlock()
	d := Delta{Version: t.version, Whole: version < t.removedSince}
	if !t.loaded {
		return Delta{}
	}
	for _, c := range t.rows {
		if d.Whole && !c.Removed || !d.Whole && c.Version > version {
			d.Changes = append(d.Changes, c)
		}
	}
	return d
}

// Merge takes in another copy's delta. It reports whether a row changed.
//
// All changes from the beginning are the whole table. A gateway that got them from a peer has a complete copy: a peer gives a
// delta only from one. Not counted as loaded, it would tell of news and have nothing for those that ask.
func (t *Table) Merge(d Delta) bool {
	if !d.Whole {
		if d.Version == 0 {
			return false
		}
		changed := t.Apply(d.Changes, d.Version)
		t.mu.Lock()
		defer t.mu.Unlock()
		t.loaded = true
		return changed
	}
	rows := make([]platform.Row, 0, len(d.Changes))
	for _, c := range d.Changes {
		rows = append(rows, c.Row)
	}
	return t.Load(rows, d.Version)
}
