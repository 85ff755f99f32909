// Package memtable is a platform table in memory, for tests of failures and for experiments.
//
// Apply is the table itself: whole transactions, versions, operations that are applied at most once. Table puts faults
// between it and its caller: outages, slowness, and answers that are lost before or after the write took effect.
package memtable

import (
	"bytes"
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
	"github.com/cardamomyoke/cardamomyoke/internal/state/platform"
)

// Memory holds the rows. It is not safe for concurrent use.
type Memory struct {
	rows    map[string]platform.Row
	applied map[ids.Operation]platform.Result
	// Writes counts transactions that were applied, RowsWritten the rows in them.
	Writes, RowsWritten int
}

// NewMemory returns an empty table.
func NewMemory() *Memory {
	return &Memory{rows: map[string]platform.Row{}, applied: map[ids.Operation]platform.Result{}}
}

// Row returns one row; an absent one has version 0.
func (m *Memory) Row(key string) platform.Row {
	row, ok := m.rows[key]
	if !ok || row.Value == nil {
		return platform.Row{Key: key}
	}
	return platform.Row{Key: key, Version: row.Version, Value: bytes.Clone(row.Value)}
}

// List returns up to limit rows with the prefix and a key larger than after, in key order.
func (m *Memory) List(prefix, after string, limit int) []platform.Row {
	var keys []string
	for k, row := range m.rows {
		if strings.HasPrefix(k, prefix) && k > after && row.Value != nil {
			keys = append(keys, k)
		}
	}
	slices.Sort(keys)
	var out []platform.Row
	for _, k := range keys[:min(limit, len(keys))] {
		out = append(out, m.Row(k))
	}
	return out
}

// Apply applies a transaction as platform.Table describes. The only error is *platform.ConflictError.
func (m *Memory) Apply(t platform.Txn) (platform.Result, error) {
	if res, ok := m.applied[t.Operation]; ok {
		return res, nil
	}
	var taken []platform.Row
	for _, c := range t.Checks {
		if row := m.Row(c.Key); row.Version != c.Version {
			taken = append(taken, row)
		}
	}
	if len(taken) > 0 {
		return platform.Result{}, &platform.ConflictError{Rows: taken}
	}
	res := platform.Result{}
	for _, p := range t.Puts {
		res.Versions = append(res.Versions, m.put(p))
	}
	m.applied[t.Operation] = res
	m.Writes++
	m.RowsWritten += len(t.Puts)
	return res, nil
}

// put keeps the version of a deleted row, so that a new row of that key never repeats a version.
func (m *Memory) put(p platform.Put) uint64 {
	version := m.rows[p.Key].Version + 1
	m.rows[p.Key] = platform.Row{Key: p.Key, Version: version, Value: bytes.Clone(p.Value)}
	return version
}

// Fault is what happens to one call.
type Fault int

// The faults of a call.
const (
	// None lets the call through.
	None Fault = iota
	// Unavailable refuses the call; a write is not applied.
	Unavailable
	// AnswerLost applies a write and loses the answer. A read is refused.
	AnswerLost
	// RequestLost loses a write before it was applied; the caller cannot tell. A read is refused.
	RequestLost
	// Late is RequestLost, but the write arrives at the next ReleaseLate.
	Late
)

// Plan decides over the next call: its fault, and how long it takes. It is called with the table's lock held.
type Plan func() (Fault, time.Duration)

// Table is a Memory with faults. It is safe for concurrent use.
type Table struct {
	mu   sync.Mutex
	mem  *Memory
	plan Plan
	late []platform.Txn
}

// New returns an empty table; a nil plan means no fault.
func New(plan Plan) *Table { return &Table{mem: NewMemory(), plan: plan} }

// SetPlan replaces the plan.
func (t *Table) SetPlan(p Plan) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.plan = p
}

// Memory calls f with the rows, under the lock.
func (t *Table) Memory(f func(m *Memory)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	f(t.mem)
}

// ReleaseLate delivers the writes that were held back as Late.
func (t *Table) ReleaseLate() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, txn := range t.late {
		_, _ = t.mem.Apply(txn) // A late write that conflicts simply does not take effect; nobody waits for it.
	}
	t.late = nil
}

func (t *Table) next() (Fault, time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.plan == nil {
		return None, 0
	}
	return t.plan()
}

// CutError is the cause of the faults that Table injects.
type CutError struct{ Fault Fault }

// Error implements error.
func (e *CutError) Error() string { return "memtable: injected fault" }

// wait sleeps for the call's delay or until ctx ends.
func wait(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Get implements platform.Table.
func (t *Table) Get(ctx context.Context, keys ...string) ([]platform.Row, error) {
	if err := t.read(ctx); err != nil {
		return nil, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []platform.Row
	for _, k := range keys {
		out = append(out, t.mem.Row(k))
	}
	return out, nil
}

// List implements platform.Table.
func (t *Table) List(ctx context.Context, prefix, after string, limit int) ([]platform.Row, error) {
	if err := t.read(ctx); err != nil {
		return nil, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.mem.List(prefix, after, limit), nil
}

func (t *Table) read(ctx context.Context) error {
	fault, delay := t.next()
	if err := wait(ctx, delay); err != nil {
		return &platform.UnavailableError{Op: "read", Cause: err}
	}
	if fault != None {
		return &platform.UnavailableError{Op: "read", Cause: &CutError{fault}}
	}
	return nil
}

// Commit implements platform.Table. A write that ctx cuts off while it is slow is applied later, at its time.
func (t *Table) Commit(ctx context.Context, txn platform.Txn) (platform.Result, error) {
	fault, delay := t.next()
	cut := &platform.UnknownOutcomeError{Operation: txn.Operation, Cause: &CutError{fault}}
	if fault == Unavailable {
		return platform.Result{}, &platform.UnavailableError{Op: "commit", Cause: &CutError{fault}}
	}
	if err := wait(ctx, delay); err != nil {
		t.hold(txn)
		cut.Cause = err
		return platform.Result{}, cut
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	switch fault {
	case RequestLost:
		return platform.Result{}, cut
	case Late:
		t.late = append(t.late, txn)
		return platform.Result{}, cut
	}
	res, err := t.mem.Apply(txn)
	if fault == AnswerLost {
		return platform.Result{}, cut
	}
	return res, err
}

func (t *Table) hold(txn platform.Txn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.late = append(t.late, txn)
}
