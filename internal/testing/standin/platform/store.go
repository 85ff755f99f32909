package platform

import (
	"bytes"
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
	api "github.com/cardamomyoke/cardamomyoke/internal/state/platform"
)

// Limits bounds the load on the platform. A call over the limit waits. Zero means no limit.
type Limits struct {
	ReadsPerSecond  float64
	WritesPerSecond float64
	// WeightBytesPerSecond is the total for all groups that load weights.
	WeightBytesPerSecond uint64
}

// Usage is the number of calls since the start.
type Usage struct {
	Reads  uint64 `json:"reads"`
	Writes uint64 `json:"writes"`
}

// Store is an in-memory platform. It is safe for concurrent use and implements platform.Service.
type Store struct {
	limits Limits
	reads  *rate.Limiter
	writes *rate.Limiter

	mu     sync.Mutex
	faults map[Part]Faults
	usage  Usage
	rows   map[string]api.Row
	// deleted holds the last versions of deleted rows, so that a new row with that key never repeats a version.
	deleted map[string]uint64
	keys    []string // sorted
	applied map[ids.Operation]api.Result
	objects map[string][]byte
	hosts   hostList
}

var _ api.Service = (*Store)(nil)

// NewStore returns an empty store.
func NewStore(l Limits) *Store {
	return &Store{
		limits:  l,
		reads:   limiter(l.ReadsPerSecond),
		writes:  limiter(l.WritesPerSecond),
		faults:  map[Part]Faults{},
		rows:    map[string]api.Row{},
		deleted: map[string]uint64{},
		applied: map[ids.Operation]api.Result{},
		objects: map[string][]byte{},
	}
}

func limiter(perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond/10)))
}

// throttle counts a call and waits while the platform is at its limit. Calls for hosts and weights are not limited.
func (s *Store) throttle(ctx context.Context, p Part, write bool) error {
	l := s.reads
	s.mu.Lock()
	if write {
		l = s.writes
		s.usage.Writes++
	} else {
		s.usage.Reads++
	}
	s.mu.Unlock()
	if p == PartHosts || p == PartWeights {
		return nil
	}
	return l.Wait(ctx)
}

// Usage returns the calls counted so far.
func (s *Store) Usage() Usage {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.usage
}

// Get implements platform.Table.
func (s *Store) Get(ctx context.Context, keys ...string) ([]api.Row, error) {
	remaining, err := s.admitRead(ctx, PartTable)
	if err != nil {
		return nil, &api.UnavailableError{Op: "get", Cause: err}
	}
	rows := s.readRows(keys)
	if err := sleep(ctx, remaining); err != nil {
		return nil, &api.UnavailableError{Op: "get", Cause: err}
	}
	return rows, nil
}

func (s *Store) readRows(keys []string) []api.Row {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]api.Row, len(keys))
	for i, k := range keys {
		out[i] = copyRow(k, s.rows[k])
	}
	return out
}

func copyRow(key string, r api.Row) api.Row {
	return api.Row{Key: key, Version: r.Version, Value: bytes.Clone(r.Value)}
}

// List implements platform.Table.
func (s *Store) List(ctx context.Context, prefix, after string, limit int) ([]api.Row, error) {
	remaining, err := s.admitRead(ctx, PartTable)
	if err != nil {
		return nil, &api.UnavailableError{Op: "list", Cause: err}
	}
	rows := s.scan(prefix, after, limit)
	if err := sleep(ctx, remaining); err != nil {
		return nil, &api.UnavailableError{Op: "list", Cause: err}
	}
	return rows, nil
}

func (s *Store) scan(prefix, after string, limit int) []api.Row {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []api.Row
	i, _ := slices.BinarySearch(s.keys, max(prefix, after))
	for ; i < len(s.keys) && len(out) < limit; i++ {
		key := s.keys[i]
		if !strings.HasPrefix(key, prefix) {
			break
		}
		if key > after {
			out = append(out, copyRow(key, s.rows[key]))
		}
	}
	return out
}

// Commit implements platform.Table.
func (s *Store) Commit(ctx context.Context, t api.Txn) (api.Result, error) {
	f, err := s.admitWrite(ctx, PartTable)
	if err != nil {
		return api.Result{}, &api.UnavailableError{Op: "commit", Cause: err}
	}
	t = cloneTxn(t)
	unknown := func(cause error) (api.Result, error) {
		return api.Result{}, &api.UnknownOutcomeError{Operation: t.Operation, Cause: cause}
	}
	if f.applyAfter > 0 {
		time.AfterFunc(f.applyAfter, func() { _, _ = s.apply(t) })
		return unknown(&LostResponseError{PartTable})
	}
	if err := sleep(ctx, f.delay); err != nil {
		// The caller has disconnected, but its request is already on the network: the write still takes effect.
		time.AfterFunc(f.delay, func() { _, _ = s.apply(t) })
		return unknown(err)
	}
	res, err := s.apply(t)
	if f.loseResponse {
		return unknown(&LostResponseError{PartTable})
	}
	if waitErr := sleep(ctx, f.delay); waitErr != nil {
		return unknown(waitErr)
	}
	return res, err
}

func cloneTxn(t api.Txn) api.Txn {
	t.Checks = slices.Clone(t.Checks)
	t.Puts = slices.Clone(t.Puts)
	for i := range t.Puts {
		t.Puts[i].Value = bytes.Clone(t.Puts[i].Value)
	}
	return t
}

// apply applies a transaction atomically. For an operation that was applied before, it returns the first result.
func (s *Store) apply(t api.Txn) (api.Result, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if res, done := s.applied[t.Operation]; done && t.Operation != "" {
		return res, nil
	}
	var conflicts []api.Row
	for _, c := range t.Checks {
		if s.rows[c.Key].Version != c.Version {
			conflicts = append(conflicts, copyRow(c.Key, s.rows[c.Key]))
		}
	}
	if len(conflicts) > 0 {
		return api.Result{}, &api.ConflictError{Rows: conflicts}
	}
	res := api.Result{Versions: make([]uint64, len(t.Puts))}
	for i, p := range t.Puts {
		res.Versions[i] = s.put(p)
	}
	if t.Operation != "" {
		s.applied[t.Operation] = res
	}
	return res, nil
}

func (s *Store) put(p api.Put) uint64 {
	i, found := slices.BinarySearch(s.keys, p.Key)
	if p.Value == nil {
		if found {
			s.keys = slices.Delete(s.keys, i, i+1)
			s.deleted[p.Key] = s.rows[p.Key].Version + 1
			delete(s.rows, p.Key)
		}
		return 0
	}
	if !found {
		s.keys = slices.Insert(s.keys, i, p.Key)
	}
	row := api.Row{Key: p.Key, Version: max(s.rows[p.Key].Version, s.deleted[p.Key]) + 1, Value: p.Value}
	s.rows[p.Key] = row
	return row.Version
}

// Peek returns a row regardless of faults and limits, for checks in tests.
func (s *Store) Peek(key string) api.Row { return s.readRows([]string{key})[0] }
