package registry

import (
	"slices"
	"time"

	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
	"github.com/cardamomyoke/cardamomyoke/internal/state/catalog"
	"github.com/cardamomyoke/cardamomyoke/internal/state/platform"
	"github.com/cardamomyoke/cardamomyoke/internal/state/replica"
)

const (
	// rewriteTime is the time after the store came back older within which upstreams write again what it has lost. An
	// entry that is missing for longer is gone.
	rewriteTime = 2 * time.Second
	// expiryHeartbeats is the number of heartbeats after which the platform removes the entry of a silent upstream.
	expiryHeartbeats = 3
)

// HoldTime returns how long after the store came back older rows of earlier eras may count: an entry that had been removed is
// shown again until the platform must have removed it as that of a silent upstream.
func HoldTime(heartbeat time.Duration) time.Duration {
	return rewriteTime + expiryHeartbeats*heartbeat
}

// Table is the registry as the store shows it, with what is known from before the store came back older.
type Table struct {
	Rows []platform.Row
	// Earlier holds rows of earlier eras, and EraAge is how long ago the store came back.
	Earlier []replica.EarlierRow
	EraAge  time.Duration
	// Heartbeat is the interval at which upstreams write to the registry.
	Heartbeat time.Duration
}

// earlierFacts is what rows of earlier eras say about the entries that the store shows now.
type earlierFacts struct {
	// left holds the keys of entries that had been removed. Their upstreams may be gone.
	left map[string]bool
	// draining holds the incarnations that had said that they leave.
	draining map[ids.UpstreamIncarnation]bool
	// missing holds the upstreams whose entries the store has lost, by key.
	missing map[string]*catalog.Upstream
	// restarted holds the upstreams of later incarnations than the ones whose entries the store shows, by key.
	restarted map[string]*catalog.Upstream
	// kinds holds what was found about each key.
	kinds map[string]Kind
}

// apply returns the upstream of the entry with the key as it counts, or nil if it must not be used.
func (k *earlierFacts) apply(key string, up *catalog.Upstream) *catalog.Upstream {
	if later := k.restarted[key]; later != nil {
		up = later
	}
	switch {
	case up == nil || k.left[key]:
		return nil
	case k.draining[up.Incarnation()]:
		leaving := *up
		leaving.State = catalog.StateDraining
		return &leaving
	}
	return up
}

// readEarlier evaluates the rows of earlier eras, and returns those that no longer count as settled.
//
// An upstream that left before the store came back older stays left until it writes another entry; the entry that the store
// shows is from before. One that had been removed as silent may be alive, and does not write an entry that looks current: if
// it were not alive, the platform would remove its entry again within some heartbeats. An upstream whose entry is missing is
// used until it must have written it again. One whose entry is shown as it was before a restart counts as restarted, also for a
// gateway that starts later and takes it for warm.
func (r *Registry) readEarlier(t Table) (k earlierFacts, settled []replica.EarlierRow) {
	k = earlierFacts{
		left: map[string]bool{}, draining: map[ids.UpstreamIncarnation]bool{}, missing: map[string]*catalog.Upstream{},
		restarted: map[string]*catalog.Upstream{}, kinds: map[string]Kind{},
	}
	slices.SortFunc(t.Earlier, func(a, b replica.EarlierRow) int { return a.Position().Compare(b.Position()) })
	for _, row := range t.Earlier {
		if !k.add(r, row, t) {
			settled = append(settled, row)
		}
	}
	return k, settled
}

// newFindings returns the findings about rows of earlier eras that were not returned before.
func (r *Registry) newFindings(t Table, kinds map[string]Kind) []Finding {
	var out []Finding
	for _, row := range t.Earlier {
		if kind := kinds[row.Key]; kind != "" && r.reported[row.Key] != kind {
			out = append(out, Finding{Key: row.Key, Version: row.Position(), Kind: kind})
		}
	}
	r.reported = kinds
	return out
}

// add evaluates one row, and reports whether it still counts.
func (k *earlierFacts) add(r *Registry, row replica.EarlierRow, t Table) bool {
	shown := r.entries[row.Key]
	switch {
	case !row.Unwritten:
		return false
	case row.Removed:
		if t.EraAge >= HoldTime(t.Heartbeat) {
			return false
		}
		k.left[row.Key], k.kinds[row.Key] = true, RemovedBefore
		return true
	case shown == nil:
		return k.addMissing(r, row, t.EraAge)
	}
	return k.addRestarted(r, row, t) || k.addDraining(r, row, shown)
}

func (k *earlierFacts) addMissing(r *Registry, row replica.EarlierRow, age time.Duration) bool {
	up, err := r.decode(row.Row)
	if err != nil || age >= rewriteTime {
		return false
	}
	if up.State == catalog.StateDraining {
		k.draining[up.Incarnation()] = true
	}
	k.missing[row.Key], k.kinds[row.Key] = up, MissingSince
	return true
}

func (k *earlierFacts) addRestarted(r *Registry, row replica.EarlierRow, t Table) bool {
	at := slices.IndexFunc(t.Rows, func(shown platform.Row) bool { return shown.Key == row.Key })
	if at < 0 || t.EraAge >= HoldTime(t.Heartbeat) {
		return false
	}
	before, err := r.decode(t.Rows[at])
	if err != nil {
		return false
	}
	up, err := r.decode(row.Row)
	if err != nil || up.StartedAtMS <= before.StartedAtMS {
		return false
	}
	k.restarted[row.Key], k.kinds[row.Key] = up, RestartedBefore
	return true
}

func (k *earlierFacts) addDraining(r *Registry, row replica.EarlierRow, shown *entry) bool {
	up, err := r.decode(row.Row)
	if err != nil || shown.up == nil || up.State != catalog.StateDraining || shown.up.State == catalog.StateDraining {
		return false
	}
	if up.Incarnation() != shown.up.Incarnation() {
		return false
	}
	k.draining[up.Incarnation()], k.kinds[row.Key] = true, DrainingBefore
	return true
}
