package replica

import (
	"bytes"
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cardamomyoke/cardamomyoke/internal/state/platform"
)

// maxEarlierPerKey is the number of rows of earlier eras that are kept for a key: one for each of several returns in quick
// succession.
const maxEarlierPerKey = 4

// EarlierRow is a row of an earlier era, as the store had acknowledged it, that the store showed differently or not at all
// when it came back older.
type EarlierRow struct {
	platform.Change
	// Over is the position of the row that the store showed instead; zero if it showed none.
	Over platform.Position
	// Unwritten is set while nothing has been written to the key since the store came back. Only Earlier sets it.
	Unwritten bool
}

// same reports whether two rows are the same row of the same era.
func (e EarlierRow) same(o EarlierRow) bool {
	return e.Key == o.Key && e.Position() == o.Position() && e.Removed == o.Removed
}

// beginEra keeps the rows that the store shows differently in a new era, and empties the copy but for marks of removed rows.
//
// A store that only begins to name its era has not come back older as far as the copy can tell, unless its version is lower.
// A row that it does not show is then a removed one.
func (r *Replica) beginEra(next []platform.Row, to platform.Position) {
	shown := make(map[string]platform.Row, len(next))
	for _, row := range next {
		row.Era = to.Era
		shown[row.Key] = row
	}
	cameBack := r.position.Era > 0 || to.Version < r.position.Version
	before := r.rows
	r.moveEarlier(shown)
	r.rows, r.newest, r.eraSince = map[string]platform.Change{}, 0, time.Now()
	for key, old := range before {
		row, found := shown[key]
		if !found {
			r.rows[key] = platform.Change{Row: platform.Row{Key: key, Era: to.Era}, Removed: true}
		}
		if r.differs(old, row, found) && (found || cameBack) {
			r.addEarlier(EarlierRow{Change: old, Over: row.Position()})
		}
	}
}

// differs reports whether the store shows another state of a row than it had before, if it shows the row.
//
// A row that was missing in the last era, and is still expected to be written again, does not count as removed there.
func (r *Replica) differs(old platform.Change, shown platform.Row, found bool) bool {
	switch {
	case !old.Removed:
		return !found || !bytes.Equal(shown.Value, old.Value)
	case old.Version == 0:
		return found && len(r.earlier[old.Key]) == 0
	}
	return found
}

// moveEarlier makes the rows of earlier eras to whose keys nothing was written since refer to the rows that the store shows
// in the next era.
func (r *Replica) moveEarlier(shown map[string]platform.Row) {
	for key, list := range r.earlier {
		at := r.shownAt(key)
		for i := range list {
			if list[i].Over == at {
				list[i].Over = shown[key].Position()
			}
		}
	}
}

// shownAt returns the position of the row that the copy has for a key, which may be that of its removal; zero if the store
// has shown no row in this era.
func (r *Replica) shownAt(key string) platform.Position {
	c := r.rows[key]
	if c.Version == 0 {
		return platform.Position{}
	}
	return c.Position()
}

func (r *Replica) addEarlier(e EarlierRow) bool {
	list := r.earlier[e.Key]
	for _, known := range list {
		if known.same(e) {
			return false
		}
	}
	kept := append([]EarlierRow{}, list[max(0, len(list)+1-maxEarlierPerKey):]...)
	r.earlier[e.Key] = append(kept, e)
	return true
}

// ObserveEraAge records how long ago a peer noticed its era, 0 if it has seen no other. It ignores another era than the
// copy's.
func (r *Replica) ObserveEraAge(era uint64, age time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.observeEraAge(era, age)
}

func (r *Replica) observeEraAge(era uint64, age time.Duration) {
	if era != r.position.Era || age <= 0 {
		return
	}
	if since := time.Now().Add(-age); r.eraSince.IsZero() || since.Before(r.eraSince) {
		r.eraSince = since
	}
}

// mergeEarlier adds a peer's rows of earlier eras and reports whether there was a new one.
func (r *Replica) mergeEarlier(d Delta) bool {
	r.observeEraAge(d.To.Era, d.EraAge)
	changed := false
	for _, e := range d.Earlier {
		if e.Era < r.position.Era {
			changed = r.addEarlier(e) || changed
		}
	}
	return changed
}

// Earlier returns the rows of earlier eras, and how long ago the store came back older; that is as long as the copy, or the
// peer that it got the era from, has been of this era.
func (r *Replica) Earlier() ([]EarlierRow, time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.allEarlier(), r.eraAge(time.Now())
}

func (r *Replica) allEarlier() []EarlierRow {
	var out []EarlierRow
	for key, list := range r.earlier {
		for _, e := range list {
			e.Unwritten = r.shownAt(key) == e.Over
			out = append(out, e)
		}
	}
	return out
}

// EraAge returns how long ago the copy's era began, at most maxEraAge; 0 if neither the copy nor a peer has seen another one.
func (r *Replica) EraAge() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.eraAge(time.Now())
}

// maxEraAge bounds the age of an era, so that it fits a digest. It is far longer than rows of earlier eras are kept.
const maxEraAge = time.Hour

func (r *Replica) eraAge(now time.Time) time.Duration {
	if r.eraSince.IsZero() {
		return 0
	}
	return min(max(time.Millisecond, now.Sub(r.eraSince)), maxEraAge)
}

// Forget drops rows of earlier eras.
func (r *Replica) Forget(rows []EarlierRow) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, e := range rows {
		list := r.earlier[e.Key]
		kept := make([]EarlierRow, 0, len(list))
		for _, known := range list {
			if !known.same(e) {
				kept = append(kept, known)
			}
		}
		r.earlier[e.Key] = kept
		if len(kept) == 0 {
			delete(r.earlier, e.Key)
		}
	}
}

// EarlierFingerprint identifies the set of rows of earlier eras; it is 0 if there are none. Copies whose fingerprints differ
// have different rows.
func (r *Replica) EarlierFingerprint() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	sum := uint64(0)
	for _, list := range r.earlier {
		for _, e := range list {
			sum ^= e.hash()
		}
	}
	return sum
}

func (e EarlierRow) hash() uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(e.Key)
	var numbers [16]byte
	binary.LittleEndian.PutUint64(numbers[:8], e.Era)
	binary.LittleEndian.PutUint64(numbers[8:], e.Version)
	_, _ = d.Write(numbers[:])
	return d.Sum64()
}
