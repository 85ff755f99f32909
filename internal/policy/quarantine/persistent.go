package quarantine

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
	"github.com/cardamomyoke/cardamomyoke/internal/state/platform"
)

// PersistentTrackerOptions configures a PersistentTracker.
type PersistentTrackerOptions struct {
	// Interval is the interval at which changes are written and expired evidence is dropped.
	Interval time.Duration
	// ReadInterval is the interval at which the rows of other nodes are read. It bounds the time after which a restarted
	// node without peers applies a refusal.
	ReadInterval time.Duration
	// Timeout is the timeout of one call to the table.
	Timeout time.Duration
	// MaxRows is the maximum number of rows in one read.
	MaxRows int
	// NewOperation generates the id of a transaction; it is called by one goroutine.
	NewOperation func() ids.Operation
	// OnError is called with each error; nil ignores them. The tracker retries by itself.
	OnError func(error)
}

// DefaultPersistentTrackerOptions returns the default options.
func DefaultPersistentTrackerOptions() PersistentTrackerOptions {
	return PersistentTrackerOptions{
		Interval:     time.Second,
		ReadInterval: 10 * time.Second,
		Timeout:      time.Second,
		MaxRows:      1000,
		NewOperation: ids.NewOperation,
	}
}

// PersistentTracker is an entry's Tracker with its state stored in the platform's table. It is safe for concurrent use.
// Request handling reads Snapshot, which never blocks.
type PersistentTracker struct {
	opts     PersistentTrackerOptions
	table    platform.Table
	snapshot atomic.Pointer[Snapshot]
	mu       sync.Mutex
	tracker  *Tracker
	// nextReadAt is when the rows are read next; only Run uses it.
	nextReadAt time.Time
}

// NewPersistentTracker returns an empty tracker. With a nil table Run must not be called, and the state is lost when no
// node that gossips it is running any more.
func NewPersistentTracker(table platform.Table, r Rules, o PersistentTrackerOptions) *PersistentTracker {
	p := &PersistentTracker{opts: o, table: table, tracker: NewTracker(r)}
	p.snapshot.Store(p.tracker.Snapshot())
	return p
}

// Snapshot returns the current state.
func (p *PersistentTracker) Snapshot() *Snapshot { return p.snapshot.Load() }

// update applies f to the tracker and publishes the result.
func (p *PersistentTracker) update(f func(t *Tracker)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	f(p.tracker)
	p.snapshot.Store(p.tracker.Snapshot())
}

// SetPeriod changes the duration of a quarantine.
func (p *PersistentTracker) SetPeriod(d time.Duration) { p.update(func(t *Tracker) { t.SetPeriod(d) }) }

// Merge merges the suspects received in digests.
func (p *PersistentTracker) Merge(now time.Time, updates ...Suspect) {
	if len(updates) > 0 {
		p.update(func(t *Tracker) { t.Merge(now, updates...) })
	}
}

// Completed records that a request ran to completion.
func (p *PersistentTracker) Completed(now time.Time, f Fingerprint) {
	if p.Snapshot().Contains(f) {
		p.update(func(t *Tracker) { t.Completed(now, f) })
	}
}

// Override records an operator's decision. It is written to the table within Interval and reaches the other nodes in a
// digest.
func (p *PersistentTracker) Override(now time.Time, f Fingerprint, o Override) {
	p.update(func(t *Tracker) { t.Override(now, f, o) })
}

// Expire drops expired evidence; Run does so as well.
func (p *PersistentTracker) Expire(now time.Time) {
	if !p.Snapshot().Empty() {
		p.update(func(t *Tracker) { t.Expire(now) })
	}
}

// Digest returns up to limit suspects for the other nodes.
func (p *PersistentTracker) Digest(now time.Time, limit int) []Suspect {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.tracker.Digest(now, limit)
}

// Stored returns what a gateway that starts must know.
func (p *PersistentTracker) Stored(now time.Time) []Suspect {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.tracker.Stored(now)
}

// List returns the suspects for operators.
func (p *PersistentTracker) List(now time.Time) []ListEntry {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.tracker.List(now)
}

// Run reads and writes the table until ctx is done.
func (p *PersistentTracker) Run(ctx context.Context) {
	ticker := time.NewTicker(p.opts.Interval)
	defer ticker.Stop()
	for {
		now := time.Now()
		p.Expire(now)
		if !now.Before(p.nextReadAt) {
			p.read(ctx, now)
		}
		p.write(ctx, now)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// read merges the rows of all nodes and removes those of forgotten suspects.
func (p *PersistentTracker) read(ctx context.Context, now time.Time) {
	ctx, cancel := context.WithTimeout(ctx, p.opts.Timeout)
	defer cancel()
	rows, err := p.readRows(ctx)
	if err != nil {
		p.reportError(err)
		return
	}
	p.nextReadAt = now.Add(p.opts.ReadInterval)
	p.update(func(t *Tracker) {
		for _, row := range rows {
			if err := t.Load(now, row); err != nil {
				p.reportError(err)
			}
		}
	})
	p.remove(ctx, rows)
}

// readRows reads all rows, MaxRows at a time.
func (p *PersistentTracker) readRows(ctx context.Context) ([]platform.Row, error) {
	var rows []platform.Row
	after := ""
	for {
		page, err := p.table.List(ctx, RowPrefix, after, p.opts.MaxRows)
		if err != nil {
			return nil, err
		}
		rows = append(rows, page...)
		if len(page) < p.opts.MaxRows {
			return rows, nil
		}
		after = page[len(page)-1].Key
	}
}

// remove deletes the rows of forgotten suspects. The version check prevents the deletion of a row that another node has
// just written.
func (p *PersistentTracker) remove(ctx context.Context, rows []platform.Row) {
	txn := platform.Txn{Operation: p.opts.NewOperation()}
	for _, row := range rows {
		if p.keepRow(row.Key) {
			continue
		}
		txn.Checks = append(txn.Checks, row.Unchanged())
		txn.Puts = append(txn.Puts, platform.Put{Key: row.Key})
	}
	if len(txn.Puts) == 0 {
		return
	}
	if _, err := p.table.Commit(ctx, txn); err != nil {
		p.reportError(err)
	}
}

func (p *PersistentTracker) keepRow(key string) bool {
	f, err := ParseFingerprint(key[len(RowPrefix):])
	return err != nil || p.Snapshot().Contains(f)
}

// write writes the changed rows. A write with an unknown result is repeated with the same version check: if the first
// one took effect after all, the second one conflicts with its row, and merging that row changes nothing.
func (p *PersistentTracker) write(ctx context.Context, now time.Time) {
	var due []Save
	p.update(func(t *Tracker) { due = t.Unsaved(now) })
	for _, s := range due {
		p.save(ctx, now, s)
	}
}

func (p *PersistentTracker) save(ctx context.Context, now time.Time, s Save) {
	ctx, cancel := context.WithTimeout(ctx, p.opts.Timeout)
	defer cancel()
	txn := platform.Txn{
		Operation: p.opts.NewOperation(),
		Checks:    []platform.Check{s.Check},
		Puts:      []platform.Put{s.Put},
	}
	res, err := p.table.Commit(ctx, txn)
	p.update(func(t *Tracker) {
		if err == nil {
			t.Saved(s.Fingerprint, platform.Row{Key: s.Put.Key, Version: res.Versions[0], Era: res.Era, Value: s.Put.Value})
			return
		}
		t.SaveFailed(s.Fingerprint)
		var conflict *platform.ConflictError
		if errors.As(err, &conflict) {
			p.resolveConflict(t, now, s, conflict.Rows)
		}
	})
	if err != nil {
		p.reportError(err)
	}
}

// resolveConflict loads the row that a Save conflicted with. A row that has been removed in the meantime is written
// again.
func (p *PersistentTracker) resolveConflict(t *Tracker, now time.Time, s Save, rows []platform.Row) {
	for _, row := range rows {
		if row.Version == 0 {
			t.Saved(s.Fingerprint, row)
			continue
		}
		if err := t.Load(now, row); err != nil {
			p.reportError(err)
		}
	}
}

func (p *PersistentTracker) reportError(err error) {
	if p.opts.OnError != nil {
		p.opts.OnError(err)
	}
}
