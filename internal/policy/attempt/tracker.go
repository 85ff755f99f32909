package attempt

import (
	"fmt"
	"sync"
	"time"

	"github.com/cardamomyoke/cardamomyoke/internal/base/charts"
	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
)

// Retention is the minimum time for which a finished or fenced attempt is remembered. It is longer than any deadline
// that a service may have.
const Retention = 15 * time.Minute

var chart = charts.MustLoad("attempt")

// Events, actions and the state of the attempt chart that this package names.
const (
	eventBegin   charts.Event  = "begin"
	eventFence   charts.Event  = "fence"
	eventFinish  charts.Event  = "finish"
	actionStart  charts.Action = "start"
	actionFenced charts.Action = "promise"
	stateFenced  charts.State  = "fenced"
	// stateForgotten is that of an attempt that may have been dropped from memory. It is not in the chart.
	stateForgotten charts.State = "forgotten"
)

// RefusedError reports that an attempt was not started by this call.
type RefusedError struct {
	Attempt ids.Attempt
	// State is the attempt's state: fenced, running, finished or forgotten.
	State charts.State
}

// Error implements error.
func (e *RefusedError) Error() string { return fmt.Sprintf("attempt %s is %s", e.Attempt, e.State) }

// NeverStarts reports whether the attempt was fenced and has not been started by another call either.
func (e *RefusedError) NeverStarts() bool { return e.State == stateFenced }

// Tracker remembers the attempts that a slot started or promised never to start. It is safe for concurrent use.
type Tracker struct {
	mu      sync.Mutex
	records map[ids.Attempt]*record
	// aged is the older of two generations that each cover Retention, so that expired records are dropped by replacing
	// one map every quarter of an hour.
	aged    map[ids.Attempt]*record
	rotated time.Time
	// forgotten holds the highest sequence number of the dropped records, by entry. Entries number attempts in the order in which
	// they make them, so an attempt up to that number is past its deadline.
	forgotten map[ids.Incarnation]uint64
}

type record struct{ machine charts.Machine }

// NewTracker returns an empty tracker.
func NewTracker(now time.Time) *Tracker {
	return &Tracker{
		records: map[ids.Attempt]*record{}, aged: map[ids.Attempt]*record{}, rotated: now, forgotten: map[ids.Incarnation]uint64{},
	}
}

// Begin marks an attempt as started. It returns *RefusedError if the attempt was started or fenced before; the caller
// must not start it then.
func (t *Tracker) Begin(a ids.Attempt, now time.Time) error {
	actions, state := t.fire(a, eventBegin, now)
	if !contains(actions, actionStart) {
		return &RefusedError{a, state}
	}
	return nil
}

// Fence promises never to start the attempt and returns true, or returns false if it was started before.
func (t *Tracker) Fence(a ids.Attempt, now time.Time) bool {
	actions, _ := t.fire(a, eventFence, now)
	return contains(actions, actionFenced)
}

// Finish marks a started attempt as finished.
func (t *Tracker) Finish(a ids.Attempt, now time.Time) { t.fire(a, eventFinish, now) }

func (t *Tracker) fire(a ids.Attempt, ev charts.Event, now time.Time) ([]charts.Action, charts.State) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.rotate(now)
	r := t.find(a)
	if r == nil {
		return nil, stateForgotten
	}
	actions, err := r.machine.Fire(ev)
	if err != nil {
		return nil, r.machine.State()
	}
	return actions, r.machine.State()
}

// find returns the record of a, nil if it may have been dropped. It creates a missing record and moves an aged one to the current
// generation.
func (t *Tracker) find(a ids.Attempt) *record {
	if r, ok := t.records[a]; ok {
		return r
	}
	r, ok := t.aged[a]
	if !ok && a.Seq <= t.forgotten[a.Entry] {
		return nil
	}
	if !ok {
		r = &record{chart.Start()}
	}
	t.records[a] = r
	return r
}

func (t *Tracker) rotate(now time.Time) {
	if now.Sub(t.rotated) < Retention {
		return
	}
	t.rotated = now
	for a := range t.aged {
		t.forgotten[a.Entry] = max(t.forgotten[a.Entry], a.Seq)
	}
	t.aged = t.records
	t.records = map[ids.Attempt]*record{}
}

func contains(list []charts.Action, a charts.Action) bool {
	for _, v := range list {
		if v == a {
			return true
		}
	}
	return false
}
