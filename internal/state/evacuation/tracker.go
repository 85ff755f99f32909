package evacuation

import (
	"cmp"
	"slices"
	"time"

	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
	"github.com/cardamomyoke/cardamomyoke/internal/state/catalog"
	"github.com/cardamomyoke/cardamomyoke/internal/state/platform"
	"github.com/cardamomyoke/cardamomyoke/internal/state/replica"
)

// Decode returns the data centre that a row evacuates; is is false if the row is about something else. It returns an error if
// the row names no data centre.
type Decode func(row platform.Row) (d ids.DataCentre, is bool, err error)

// Table is the operator's table as the store shows it, with what is known from before the store came back older.
type Table struct {
	Rows []platform.Row
	// Earlier holds rows of earlier eras, and EraAge is how long ago the store came back.
	Earlier []replica.EarlierRow
	EraAge  time.Duration
	// Hold is how long after the store came back older rows of earlier eras count.
	Hold time.Duration
}

// Kind classifies a finding about a row.
type Kind string

const (
	// Unnamed rows request an evacuation without the name of a data centre.
	Unnamed Kind = "evacuation names no data centre"
	// WithdrawnBefore rows had been removed before the store came back older and showed them again.
	WithdrawnBefore Kind = "evacuation was withdrawn before the store came back older"
	// MissingSince rows are missing since the store came back older; their data centres stay evacuated for a limited time.
	MissingSince Kind = "evacuation is missing since the store came back older"
)

// Finding is an observation about a row, to be logged. It is returned once for as long as it holds.
type Finding struct {
	Kind    Kind
	Key     string
	Version platform.Position
	// Err is the reason why the row is Unnamed.
	Err error
}

// Tracker keeps the set of evacuated data centres. It is not safe for concurrent use.
type Tracker struct {
	decode   Decode
	current  *catalog.Evacuations
	reported map[string]Kind
}

// New returns a tracker without evacuations.
func New(decode Decode) *Tracker {
	return &Tracker{decode: decode, current: catalog.NewEvacuations(nil), reported: map[string]Kind{}}
}

// update is the state of one call of Update.
type update struct {
	decode Decode
	// rows holds the rows that count, by data centre.
	rows     map[ids.DataCentre]platform.Row
	findings []Finding
}

// Update evaluates the table and returns the set of evacuated data centres at a time. settled are the rows of earlier eras
// about evacuations that no longer count.
func (t *Tracker) Update(table Table, now time.Time) (set *catalog.Evacuations, found []Finding, settled []replica.EarlierRow) {
	u := &update{decode: t.decode, rows: map[ids.DataCentre]platform.Row{}}
	for _, row := range table.Rows {
		if d, ok := u.read(row); ok {
			u.rows[d] = row
		}
	}
	settled = u.applyEarlier(table)
	list := make([]catalog.Evacuation, 0, len(u.rows))
	for d, row := range u.rows {
		e := catalog.Evacuation{DataCentre: d, Written: row.Position(), Since: now}
		if old, found := t.current.Get(d); found {
			e.Since = old.Since
		}
		list = append(list, e)
	}
	t.current = catalog.NewEvacuations(list)
	return t.current, t.newFindings(u.findings), settled
}

// read returns the data centre that a row evacuates; false if it evacuates none.
func (u *update) read(row platform.Row) (ids.DataCentre, bool) {
	d, is, err := u.decode(row)
	if err != nil {
		u.findings = append(u.findings, Finding{Kind: Unnamed, Key: row.Key, Version: row.Position(), Err: err})
	}
	return d, is && err == nil
}

// applyEarlier applies the latest row of earlier eras of each key and returns the rows that no longer count.
//
// The operator writes again what the store has lost, but some time later. Until something is written to the key, or for Hold,
// an evacuation that the store has lost remains in force, and one whose removal it has lost remains withdrawn.
func (u *update) applyEarlier(table Table) (settled []replica.EarlierRow) {
	latest := map[string]replica.EarlierRow{}
	for _, row := range table.Earlier {
		if _, is, err := u.decode(row.Row); !is && err == nil {
			continue
		}
		old, found := latest[row.Key]
		switch {
		case !row.Unwritten || table.EraAge >= table.Hold:
			settled = append(settled, row)
		case !found || old.Position().Before(row.Position()):
			latest[row.Key] = row
		}
	}
	for _, row := range latest {
		if !u.applyRow(row) {
			settled = append(settled, row)
		}
	}
	return settled
}

// applyRow applies a row of an earlier era and reports whether the store shows something else.
func (u *update) applyRow(row replica.EarlierRow) bool {
	d, _, err := u.decode(row.Row)
	if err != nil {
		return false
	}
	_, shown := u.rows[d]
	switch {
	case row.Removed && shown:
		delete(u.rows, d)
		u.findings = append(u.findings, Finding{Kind: WithdrawnBefore, Key: row.Key, Version: row.Position()})
		return true
	case !row.Removed && !shown:
		u.rows[d] = row.Row
		u.findings = append(u.findings, Finding{Kind: MissingSince, Key: row.Key, Version: row.Position()})
		return true
	}
	return false
}

// newFindings returns the findings that were not returned before, sorted by key.
func (t *Tracker) newFindings(all []Finding) (found []Finding) {
	reported := make(map[string]Kind, len(all))
	for _, f := range all {
		reported[f.Key] = f.Kind
		if t.reported[f.Key] != f.Kind {
			found = append(found, f)
		}
	}
	t.reported = reported
	slices.SortFunc(found, func(a, b Finding) int { return cmp.Compare(a.Key, b.Key) })
	return found
}
