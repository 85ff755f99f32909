// Package manager acquires and renews the duties of one process: it runs a lease.Contender for each against the platform's
// table, and provides the operators' actions on leases.
package manager

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"google.golang.org/protobuf/proto"

	"github.com/cardamomyoke/cardamomyoke/internal/base/control"
	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
	cardamomyokev1 "github.com/cardamomyoke/cardamomyoke/internal/gen/cardamomyoke/v1"
	"github.com/cardamomyoke/cardamomyoke/internal/state/lease"
	"github.com/cardamomyoke/cardamomyoke/internal/state/platform"
)

// DefaultLength is the default length of a lease. A dead holder is replaced after this length plus an eighth.
const DefaultLength = 10 * time.Second

const listLimit = 1000

// Config configures a Manager.
type Config struct {
	Name        string
	Incarnation ids.Incarnation
	Length      time.Duration
	Table       platform.Table
	Loop        *control.Loop
	Rand        *rand.Rand
	Logger      log.Logger
	// HolderDead reports whether a holder is known to be dead; see lease.Contender.SetHolderDead. It may be nil.
	HolderDead func(holder string, incarnation ids.Incarnation) bool
	// OnAcquired is called on the control loop when this node has acquired a duty, for the audit log. It may be nil.
	OnAcquired func(now time.Time, h lease.HeldLease)
}

// Manager acquires and renews the duties of one process. SetWanted, Tick, NewestFenceOfOthers and PendingFor must be called
// on the control loop; Held is safe for concurrent use.
type Manager struct {
	config  Config
	holders map[lease.Duty]*lease.Contender
	view    atomic.Pointer[map[lease.Duty]lease.HeldLease]
}

// New returns a manager that contends for no duty yet.
func New(c Config) *Manager {
	if c.Length == 0 {
		c.Length = DefaultLength
	}
	if c.Logger == nil {
		c.Logger = log.NewNopLogger()
	}
	m := &Manager{config: c, holders: map[lease.Duty]*lease.Contender{}}
	m.view.Store(&map[lease.Duty]lease.HeldLease{})
	return m
}

// Held returns the lease of a duty that this node holds. Check its ValidAt before each action, and include lease.FenceCheck
// in each write.
func (m *Manager) Held(d lease.Duty) lease.HeldLease { return (*m.view.Load())[d] }

// NewestFenceOfOthers returns the fencing token of a duty as last read, or 0 if this node holds the duty or has not read the
// token.
func (m *Manager) NewestFenceOfOthers(d lease.Duty) ids.Fence {
	if h := m.holders[d]; h != nil {
		return h.NewestFenceOfOthers()
	}
	return 0
}

// PendingFor returns how long the call in flight for a duty has waited for the table's response; 0 if there is none.
func (m *Manager) PendingFor(now time.Time, d lease.Duty) time.Duration {
	if h := m.holders[d]; h != nil {
		return h.PendingFor(now)
	}
	return 0
}

// SetWanted sets whether this node contends for a duty; see lease.Candidates.
func (m *Manager) SetWanted(now time.Time, d lease.Duty, want bool) {
	h := m.holders[d]
	if h == nil {
		h = lease.NewContender(d, m.config.Name, m.config.Incarnation, m.config.Length, m.config.Rand)
		h.SetHolderDead(m.config.HolderDead)
		m.holders[d] = h
	}
	m.execute(now, d, h, h.SetWanted(now, want))
}

// Tick advances all contenders to now; the control loop calls it.
func (m *Manager) Tick(now time.Time) {
	for d, h := range m.holders {
		m.execute(now, d, h, h.Tick(now))
	}
}

func (m *Manager) execute(now time.Time, d lease.Duty, h *lease.Contender, effects []lease.Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case *lease.Read:
			go m.read(d, h, h.CallID())
		case *lease.Write:
			go m.write(d, h, h.CallID(), e)
		}
	}
	m.publish(now, d, h.Held())
}

func (m *Manager) publish(now time.Time, d lease.Duty, held lease.HeldLease) {
	old := *m.view.Load()
	if old[d] == held {
		return
	}
	next := make(map[lease.Duty]lease.HeldLease, len(old)+1)
	for key, v := range old {
		next[key] = v
	}
	next[d] = held
	m.view.Store(&next)
	if held.Fence == old[d].Fence {
		return
	}
	_ = level.Info(m.config.Logger).Log("msg", "lease changed", "duty", d, "fence", held.Fence, "held", held.ValidAt(now))
	if held.ValidAt(now) && m.config.OnAcquired != nil {
		m.config.OnAcquired(now, held)
	}
}

func (m *Manager) read(d lease.Duty, h *lease.Contender, call uint64) {
	ctx, cancel := context.WithTimeout(context.Background(), m.config.Length/2)
	defer cancel()
	row, err := readRow(ctx, m.config.Table, d)
	m.config.Loop.Post(func(now time.Time) { m.execute(now, d, h, h.OnRead(now, call, row, err == nil)) })
}

func readRow(ctx context.Context, table platform.Table, d lease.Duty) (lease.Row, error) {
	rows, err := table.Get(ctx, d.Key(), d.FenceKey())
	if err != nil {
		return lease.Row{}, err
	}
	l := &cardamomyokev1.Lease{}
	if err := proto.Unmarshal(rows[0].Value, l); err != nil {
		return lease.Row{}, &RowError{d, err}
	}
	return lease.Row{Lease: l, Version: rows[0].Position(), Fence: rows[1].Position()}, nil
}

// RowError reports that the row of a duty cannot be decoded or encoded.
type RowError struct {
	Duty  lease.Duty
	Cause error
}

// Error implements error.
func (e *RowError) Error() string { return "lease " + string(e.Duty) + ": " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *RowError) Unwrap() error { return e.Cause }

func (m *Manager) write(d lease.Duty, h *lease.Contender, call uint64, w *lease.Write) {
	ctx, cancel := context.WithTimeout(context.Background(), m.config.Length/2)
	defer cancel()
	out := commit(ctx, m.config.Table, d, w)
	m.config.Loop.Post(func(now time.Time) { m.execute(now, d, h, h.OnWrite(now, call, out)) })
}

func commit(ctx context.Context, table platform.Table, d lease.Duty, w *lease.Write) lease.WriteResult {
	value, err := proto.Marshal(w.Lease)
	if err != nil {
		return lease.WriteResult{Conflict: true}
	}
	t := platform.Txn{
		Operation: ids.NewOperation(),
		Checks:    []platform.Check{platform.CheckAt(d.Key(), w.Version), platform.CheckAt(d.FenceKey(), w.Fence)},
		Puts:      []platform.Put{{Key: d.Key(), Value: value}},
	}
	if w.NewFence {
		t.Puts = append(t.Puts, platform.Put{Key: d.FenceKey(), Value: []byte(w.Lease.GetHolder())})
	}
	res, err := table.Commit(ctx, t)
	var conflict *platform.ConflictError
	switch {
	case errors.As(err, &conflict):
		return lease.WriteResult{Conflict: true}
	case err != nil:
		return lease.WriteResult{}
	}
	out := lease.WriteResult{OK: true, Version: res.Position(0), Fence: w.Fence}
	if w.NewFence {
		out.Fence = res.Position(1)
	}
	if _, err := out.Fence.Fence(); err != nil {
		return lease.WriteResult{}
	}
	return out
}

// Release lets another node acquire a duty immediately, at an operator's request. It raises the fencing token, so that the
// old holder's writes and orders are rejected from then on, even if the holder is alive and not aware of the release.
func Release(ctx context.Context, table platform.Table, d lease.Duty, op ids.Operation) (ids.Fence, error) {
	row, err := readRow(ctx, table, d)
	if err != nil {
		return 0, err
	}
	value, err := proto.Marshal(&cardamomyokev1.Lease{LengthMs: row.Lease.GetLengthMs()})
	if err != nil {
		return 0, &RowError{d, err}
	}
	res, err := table.Commit(ctx, platform.Txn{
		Operation: op,
		Checks:    []platform.Check{platform.CheckAt(d.FenceKey(), row.Fence)},
		Puts:      []platform.Put{{Key: d.Key(), Value: value}, {Key: d.FenceKey(), Value: []byte(op)}},
	})
	if err != nil {
		return 0, err
	}
	return res.Position(1).Fence()
}

// List returns the lease status of all duties, for operators.
func List(ctx context.Context, table platform.Table) ([]*cardamomyokev1.LeaseStatus, error) {
	rows, err := table.List(ctx, lease.Duty("").Key(), "", listLimit)
	if err != nil {
		return nil, err
	}
	var out []*cardamomyokev1.LeaseStatus
	for _, r := range rows {
		d := lease.Duty(r.Key[len(lease.Duty("").Key()):])
		row, err := readRow(ctx, table, d)
		if err != nil {
			return nil, err
		}
		fence, err := row.Fence.Fence()
		if err != nil {
			return nil, err
		}
		out = append(out, &cardamomyokev1.LeaseStatus{
			Duty: string(d), Holder: row.Lease.GetHolder(), Fence: uint64(fence), LengthMs: row.Lease.GetLengthMs(),
		})
	}
	return out, nil
}
