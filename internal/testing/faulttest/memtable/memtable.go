// Package memtable is an in-memory platform table for fault tests and simulations.
//
// Memory implements the table: atomic transactions, row versions, and operations that are applied at most once. Table adds
// faults between a Memory and its caller: outages, delays, and writes whose request or response is lost.
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
	// Writes is the number of applied transactions, RowsWritten the number of rows in them.
	Writes, RowsWritten int
}

// NewMemory returns an empty table.
func NewMemory() *Memory {
	return &Memory{rows: map[string]platform.Row{}, applied: map[ids.Operation]platform.Result{}}
}

// Row returns one row; its version is 0 if the row does not exist.
func (m *Memory) Row(key string) platform.Row {
	row, ok := m.rows[key]
	if !ok || row.Value == nil {
		return platform.Row{Key: key}
	}
	return platform.Row{Key: key, Version: row.Version, Value: bytes.Clone(row.Value)}
}

// List returns up to limit rows with the prefix and a key greater than after, sorted by key.
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
	if res, ok := m.applied[t.Operation]; ok && t.Operation != "" {
		return res, nil
	}
	var conflicts []platform.Row
	for _, c := range t.Checks {
		if row := m.Row(c.Key); row.Version != c.Version {
			conflicts = append(conflicts, row)
		}
	}
	if len(conflicts) > 0 {
		return platform.Result{}, &platform.ConflictError{Rows: conflicts}
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

// put writes a row and returns its version. The version of a deleted row is retained, so that a new row with that key never
// repeats a version.
func (m *Memory) put(p platform.Put) uint64 {
	version := m.rows[p.Key].Version + 1
	m.rows[p.Key] = platform.Row{Key: p.Key, Version: version, Value: bytes.Clone(p.Value)}
	return version
}

// Fault is the failure injected into one call.
type Fault int

// The faults of a call.
const (
	// None executes the call normally.
	None Fault = iota
	// Unavailable refuses the call; a write is not applied.
	Unavailable
	// ResponseLost applies a write and loses the response. A read is refused.
	ResponseLost
	// RequestLost loses a write before it is applied; to the caller this looks like ResponseLost. A read is refused.
	RequestLost
	// Late is RequestLost, except that the write is applied at the next ReleaseLate.
	Late
)

// Plan returns the fault and the delay of the next call. It is called with the table's lock held.
type Plan func() (Fault, time.Duration)

// Table is a Memory with injected faults. It is safe for concurrent use.
type Table struct {
	mu   sync.Mutex
	mem  *Memory
	plan Plan
	late []platform.Txn
}

// New returns an empty table; a nil plan injects no faults.
func New(plan Plan) *Table { return &Table{mem: NewMemory(), plan: plan} }

// SetPlan replaces the plan; nil injects no faults.
func (t *Table) SetPlan(p Plan) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.plan = p
}

// Memory calls f with the underlying Memory while it holds the lock.
func (t *Table) Memory(f func(m *Memory)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	f(t.mem)
}

// ReleaseLate applies the delayed writes: those of fault Late and those whose ctx was done during their delay.
func (t *Table) ReleaseLate() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, txn := range t.late {
		_, _ = t.mem.Apply(txn) // A late write that conflicts has no effect, and no caller waits for its result.
	}
	t.late = nil
}

func (t *Table) nextFault() (Fault, time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.plan == nil {
		return None, 0
	}
	return t.plan()
}

// InjectedFaultError is the cause in the errors of injected faults.
type InjectedFaultError struct{ Fault Fault }

// Error implements error.
func (e *InjectedFaultError) Error() string { return "memtable: injected fault" }

// wait sleeps for d or until ctx is done, and then returns the error of ctx.
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
	fault, delay := t.nextFault()
	if err := wait(ctx, delay); err != nil {
		return &platform.UnavailableError{Op: "read", Cause: err}
	}
	if fault != None {
		return &platform.UnavailableError{Op: "read", Cause: &InjectedFaultError{fault}}
	}
	return nil
}

// Commit implements platform.Table. If ctx is done during the injected delay, the write is applied at the next
// ReleaseLate.
func (t *Table) Commit(ctx context.Context, txn platform.Txn) (platform.Result, error) {
	fault, delay := t.nextFault()
	unknown := &platform.UnknownOutcomeError{Operation: txn.Operation, Cause: &InjectedFaultError{fault}}
	if fault == Unavailable {
		return platform.Result{}, &platform.UnavailableError{Op: "commit", Cause: &InjectedFaultError{fault}}
	}
	if err := wait(ctx, delay); err != nil {
		t.applyLate(txn)
		unknown.Cause = err
		return platform.Result{}, unknown
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	switch fault {
	case RequestLost:
		return platform.Result{}, unknown
	case Late:
		t.late = append(t.late, txn)
		return platform.Result{}, unknown
	}
	res, err := t.mem.Apply(txn)
	if fault == ResponseLost {
		return platform.Result{}, unknown
	}
	return res, err
}

func (t *Table) applyLate(txn platform.Txn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.late = append(t.late, txn)
}
