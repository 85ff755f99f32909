package catalog

import (
	"cmp"
	"slices"
	"time"

	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
	"github.com/cardamomyoke/cardamomyoke/internal/state/platform"
)

// Evacuation is the operator's request that the upstreams of a data centre get no new requests.
type Evacuation struct {
	DataCentre ids.DataCentre
	// Written is the position of the row, or of the row of an earlier era that remains in force.
	Written platform.Position
	// Since is when this process learned of the evacuation. A row that is written again does not change it.
	Since time.Time
}

// Evacuations is the set of evacuated data centres. It is immutable; nil is the empty set.
type Evacuations struct {
	byDataCentre map[ids.DataCentre]Evacuation
}

// NewEvacuations returns a set, which may be empty. A data centre must not be listed twice.
func NewEvacuations(list []Evacuation) *Evacuations {
	e := &Evacuations{byDataCentre: make(map[ids.DataCentre]Evacuation, len(list))}
	for _, v := range list {
		e.byDataCentre[v.DataCentre] = v
	}
	return e
}

// Has reports whether the data centre is evacuated.
func (e *Evacuations) Has(d ids.DataCentre) bool {
	_, found := e.Get(d)
	return found
}

// Get returns the evacuation of a data centre; false if there is none.
func (e *Evacuations) Get(d ids.DataCentre) (Evacuation, bool) {
	if e == nil {
		return Evacuation{}, false
	}
	v, found := e.byDataCentre[d]
	return v, found
}

// Len returns the number of evacuated data centres.
func (e *Evacuations) Len() int {
	if e == nil {
		return 0
	}
	return len(e.byDataCentre)
}

// All returns the evacuations, sorted by data centre.
func (e *Evacuations) All() []Evacuation {
	out := make([]Evacuation, 0, e.Len())
	if e != nil {
		for _, v := range e.byDataCentre {
			out = append(out, v)
		}
	}
	slices.SortFunc(out, func(a, b Evacuation) int { return cmp.Compare(a.DataCentre, b.DataCentre) })
	return out
}
