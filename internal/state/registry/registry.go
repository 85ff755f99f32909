package registry

import (
	"slices"

	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
	"github.com/cardamomyoke/cardamomyoke/internal/state/catalog"
	"github.com/cardamomyoke/cardamomyoke/internal/state/platform"
	"github.com/cardamomyoke/cardamomyoke/internal/state/replica"
)

// Decode decodes one row.
type Decode func(platform.Row) (*catalog.Upstream, error)

// Registry tracks the rows of the registry. It is not safe for concurrent use.
type Registry struct {
	decode  Decode
	entries map[string]*entry
	// rejected holds incarnations at whose address another upstream responded.
	rejected map[ids.UpstreamIncarnation]bool
	// reported holds the last finding about each key of which there are rows of earlier eras.
	reported map[string]Kind
}

// entry is the state of one row's key.
type entry struct {
	// position is the position of the last row that was read.
	position platform.Position
	// up is the newest incarnation that the registry entry named; nil if the row cannot be decoded.
	up *catalog.Upstream
	// pastStarts holds the start times of the incarnations before it, the latest last.
	pastStarts []int64
}

// keptIncarnations is the number of past incarnations remembered per ID. A late registry entry belongs to one of the
// last few.
const keptIncarnations = 8

// New returns an empty registry.
func New(decode Decode) *Registry {
	return &Registry{decode: decode, entries: map[string]*entry{}, rejected: map[ids.UpstreamIncarnation]bool{}}
}

// Update is UpdateTable for a store that has one era.
func (r *Registry) Update(rows []platform.Row, services map[ids.Service]*catalog.Service) (*catalog.Upstreams, []Finding) {
	upstreams, findings, _ := r.UpdateTable(Table{Rows: rows}, services)
	return upstreams, findings
}

// UpdateTable processes all rows of the registry, and returns the usable upstreams of the given services. Only rows that
// changed since the last call are decoded, because each call passes the whole registry even if only one row changed.
//
// settled are the rows of earlier eras that no longer count.
func (r *Registry) UpdateTable(t Table, services map[ids.Service]*catalog.Service) (u *catalog.Upstreams, f []Finding, settled []replica.EarlierRow) {
	next := make(map[string]*entry, len(t.Rows))
	for _, row := range t.Rows {
		e, finding := r.readRow(row)
		next[row.Key] = e
		if finding != nil {
			f = append(f, *finding)
		}
	}
	r.entries = next
	r.dropRejected()
	known, settled := r.readEarlier(t)
	f = append(f, r.newFindings(t, known.kinds)...)
	var list []*catalog.Upstream
	for key, e := range next {
		if up := known.apply(key, e.up); r.usable(up, services) {
			list = append(list, up)
		}
	}
	for key, up := range known.missing {
		if up = known.apply(key, up); r.usable(up, services) {
			list = append(list, up)
		}
	}
	return catalog.NewUpstreams(list), f, settled
}

// usable reports whether the registry entry names an upstream to which requests may be sent.
//
// A registry entry is not usable if its service is not configured, or if another upstream responded at its address.
// Such a registry entry may name the address of a healthy upstream. Because only the later of two registry entries with
// the same address counts, the healthy upstream would then get no requests.
func (r *Registry) usable(up *catalog.Upstream, services map[ids.Service]*catalog.Service) bool {
	return up != nil && services[up.Service] != nil && !r.rejected[up.Incarnation()]
}

// Reject records that another upstream responded at the address of the incarnation, which proves that the registry
// entry is false. It returns false if that was recorded before.
//
// A well-formed false registry entry still costs one attempt per gateway and per ID under which it is written. The
// upstream that receives such an attempt does not run it.
func (r *Registry) Reject(i ids.UpstreamIncarnation) bool {
	if r.rejected[i] {
		return false
	}
	r.rejected[i] = true
	return true
}

// dropRejected drops rejected incarnations that no registry entry names any more.
func (r *Registry) dropRejected() {
	for i := range r.rejected {
		e := r.entries[string(i.Upstream)]
		if e == nil || e.up == nil || e.up.Incarnation() != i {
			delete(r.rejected, i)
		}
	}
}

// readRow processes one row and returns its registry entry and a finding, if there is one to log.
func (r *Registry) readRow(row platform.Row) (*entry, *Finding) {
	old := r.entries[row.Key]
	if old != nil && old.position == row.Position() {
		return old, nil
	}
	e := &entry{position: row.Position()}
	if old != nil {
		e.pastStarts = old.pastStarts
	}
	up, err := r.decode(row)
	if err != nil {
		return e.keepHistory(old), &Finding{Key: row.Key, Version: row.Position(), Kind: Unreadable, Err: err}
	}
	e.up = up
	if old == nil || old.up == nil {
		return e, nil
	}
	e.keepAge(old)
	return e.resolveIncarnation(old)
}

// keepAge keeps the position at which an entry was written if the store only shows it again in another era. Otherwise it
// would count as later than one that was written to the same address before the store came back older.
func (e *entry) keepAge(old *entry) {
	same := *e.up
	same.Written = old.up.Written
	if e.position.Era != old.position.Era && same == *old.up {
		e.up = &same
	}
}

// keepHistory returns e, the unreadable successor of old. It adds the incarnation that old named to the past ones, so
// that a late heartbeat cannot bring that incarnation back.
func (e *entry) keepHistory(old *entry) *entry {
	if old != nil && old.up != nil {
		e.addPastStart(old.up.StartedAtMS)
	}
	return e
}

// resolveIncarnation returns e, the successor of old under the same ID, with the incarnation in force, and a finding if
// the two registry entries name different incarnations.
//
// The last heartbeat of a past incarnation may arrive after the first one of the next. Incarnations are not ordered
// by start time, because a clock may have been set back, but a replaced incarnation never returns.
func (e *entry) resolveIncarnation(old *entry) (*entry, *Finding) {
	previous, current := old.up.Incarnation(), e.up.Incarnation()
	if previous == current {
		return e, nil
	}
	f := &Finding{Key: string(current.Upstream), Version: e.position, Incarnation: current, Previous: previous, Kind: Restarted}
	if current.StartedAtMS == 0 || slices.Contains(e.pastStarts, current.StartedAtMS) || e.restoredOver(old) {
		f.Kind = Late
		e.up = old.up
		return e, f
	}
	e.addPastStart(previous.StartedAtMS)
	return e, f
}

// restoredOver reports whether e seems to be a copy of an entry from before old: the first one of its key in another era, with an
// earlier start.
//
// A store that comes back older shows entries of incarnations that were replaced before, and a gateway that started later does not
// know that they were. If it took them for new ones, the running incarnation would count as ended, and with it that it is cold.
// An upstream that did restart with its clock set back writes its entry again a heartbeat later, in the same era.
func (e *entry) restoredOver(old *entry) bool {
	return e.position.Era != old.position.Era && e.up.StartedAtMS < old.up.StartedAtMS
}

func (e *entry) addPastStart(startedAtMS int64) {
	if startedAtMS == 0 {
		return
	}
	e.pastStarts = append(slices.Clone(e.pastStarts[max(0, len(e.pastStarts)+1-keptIncarnations):]), startedAtMS)
}
