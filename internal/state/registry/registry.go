package registry

import (
	"slices"

	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
	"github.com/cardamomyoke/cardamomyoke/internal/state/catalog"
	"github.com/cardamomyoke/cardamomyoke/internal/state/platform"
)

// Decode reads one row.
type Decode func(platform.Row) (*catalog.Upstream, error)

// Registry follows the registry's rows. It is not safe for concurrent use.
type Registry struct {
	decode  Decode
	entries map[string]*entry
	// rejected are lives whose address answered as another upstream.
	rejected map[ids.UpstreamIncarnation]bool
}

// entry is what is known of one row's key.
type entry struct {
	// version is that of the row that was read last.
	version uint64
	// up is the newest life that the entry named, nil if the row cannot be read.
	up *catalog.Upstream
	// ended are the starts of the lives before it, the latest last.
	ended []int64
}

// keptIncarnations is how many ended lives are remembered of one id: a late entry is of one of the last few.
const keptIncarnations = 8

// New returns a registry without rows.
func New(decode Decode) *Registry {
	return &Registry{decode: decode, entries: map[string]*entry{}, rejected: map[ids.UpstreamIncarnation]bool{}}
}

// Update takes in all rows that the registry has now, and returns the upstreams that may be used for the services. Rows that
// did not change since the last call are not decoded again: the whole registry is passed with each change of one row.
func (r *Registry) Update(rows []platform.Row, services map[ids.Service]*catalog.Service) (*catalog.Upstreams, []Finding) {
	next := make(map[string]*entry, len(rows))
	var findings []Finding
	var list []*catalog.Upstream
	for _, row := range rows {
		e, f := r.read(row)
		next[row.Key] = e
		if f != nil {
			findings = append(findings, *f)
		}
		if r.usable(e, services) {
			list = append(list, e.up)
		}
	}
	r.entries = next
	r.forget()
	return catalog.NewUpstreams(list), findings
}

// usable reports whether the entry names an upstream that requests may go to.
//
// An entry of a service that nobody configured, or one whose address answered as another upstream, may name the address of a
// healthy one, which would get nothing: of two entries with one address the later counts.
func (r *Registry) usable(e *entry, services map[ids.Service]*catalog.Service) bool {
	return e.up != nil && services[e.up.Service] != nil && !r.rejected[e.up.Incarnation()]
}

// Reject notes that the life's address answered as another upstream, which is proof that the entry is not the address's
// owner's. It reports whether that is news.
//
// What is left: a false entry that is well formed costs each gateway one attempt, which did not run, for each id that it is
// written under.
func (r *Registry) Reject(i ids.UpstreamIncarnation) bool {
	if r.rejected[i] {
		return false
	}
	r.rejected[i] = true
	return true
}

// forget drops what is known of lives whose entries are gone.
func (r *Registry) forget() {
	for i := range r.rejected {
		e := r.entries[string(i.Upstream)]
		if e == nil || e.up == nil || e.up.Incarnation() != i {
			delete(r.rejected, i)
		}
	}
}

// read takes in one row and says what is worth a line in the log.
func (r *Registry) read(row platform.Row) (*entry, *Finding) {
	old := r.entries[row.Key]
	if old != nil && old.version == row.Version {
		return old, nil
	}
	e := &entry{version: row.Version}
	if old != nil {
		e.ended = old.ended
	}
	up, err := r.decode(row)
	if err != nil {
		return e.without(old), &Finding{Key: row.Key, Version: row.Version, Kind: Unreadable, Err: err}
	}
	e.up = up
	if old == nil || old.up == nil {
		return e, nil
	}
	return e.after(old)
}

// without is an entry that cannot be read after one that could: what lives it named stays known.
func (e *entry) without(old *entry) *entry {
	if old != nil && old.up != nil {
		e.end(old.up.StartedAtMS)
	}
	return e
}

// after follows an entry of the same id.
//
// The last heartbeat of an ended life may come after the first of the next. Starts do not order lives, as a clock may have
// been set back, but a life that was replaced never comes back.
func (e *entry) after(old *entry) (*entry, *Finding) {
	was, is := old.up.Incarnation(), e.up.Incarnation()
	if was == is {
		return e, nil
	}
	f := &Finding{Key: string(is.Upstream), Version: e.version, Incarnation: is, Previous: was, Kind: Restarted}
	if is.StartedAtMS == 0 || slices.Contains(e.ended, is.StartedAtMS) {
		f.Kind = Late
		e.up = old.up
		return e, f
	}
	e.end(was.StartedAtMS)
	return e, f
}

func (e *entry) end(born int64) {
	if born == 0 {
		return
	}
	e.ended = append(slices.Clone(e.ended[max(0, len(e.ended)+1-keptIncarnations):]), born)
}
