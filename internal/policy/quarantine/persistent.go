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

// PersistentTrackerOptions are the times and bounds of a PersistentTracker.
type PersistentTrackerOptions struct {
	// Interval is how often news are written and old evidence is dropped.
	Interval time.Duration
	// ReadInterval is how often the rows of others are read; it bounds how long a restarted node without peers does not
	// know a refusal.
	ReadInterval time.Duration
	// Timeout bounds one call of the table.
	Timeout time.Duration
	// MaxRows is the most rows that are read at once.
	MaxRows int
	// NewOperation draws the id of a transaction; it is called by one goroutine.
	NewOperation func() ids.Operation
	// Failed is told of errors; nil for nobody. The tracker tries again by itself.
	Failed func(error)
}

// DefaultPersistentTrackerOptions returns the options in use.
func DefaultPersistentTrackerOptions() PersistentTrackerOptions {
	return PersistentTrackerOptions{
		Interval:     time.Second,
		ReadInterval: 10 * time.Second,
		Timeout:      time.Second,
		MaxRows:      1000,
		NewOperation: ids.NewOperation,
	}
}

// PersistentTracker is an entry's Tracker with the platform's table behind it. It is safe for concurrent use; traffic reads
// Snapshot, which never waits.
type PersistentTracker struct {
	opts     PersistentTrackerOptions
	table    platform.Table
	snapshot atomic.Pointer[Snapshot]
	mu       sync.Mutex
	tracker  *Tracker
	// readAt is when the rows are due to be read; only Run uses it.
	readAt time.Time
}

// NewPersistentTracker returns a tracker that knows nothing. Without a table it must not be run, and what it knows ends with the
// nodes that tell each other.
func NewPersistentTracker(table platform.Table, r Rules, o PersistentTrackerOptions) *PersistentTracker {
	p := &PersistentTracker{opts: o, table: table, tracker: NewTracker(r)}
	p.snapshot.Store(p.tracker.Snapshot())
	return p
}

// Snapshot returns what is known now.
func (p *PersistentTracker) Snapshot() *Snapshot { return p.snapshot.Load() }

// change changes the tracker and publishes what came of it.
func (p *PersistentTracker) change(f func(t *Tracker)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	f(p.tracker)
	p.snapshot.Store(p.tracker.Snapshot())
}

// SetPeriod changes the length of a quarantine.
func (p *PersistentTracker) SetPeriod(d time.Duration) { p.change(func(t *Tracker) { t.SetPeriod(d) }) }

// Merge takes in what digests say.
func (p *PersistentTracker) Merge(now time.Time, news ...Suspect) {
	if len(news) > 0 {
		p.change(func(t *Tracker) { t.Merge(now, news...) })
	}
}

// Completed says that a request ran to its end.
func (p *PersistentTracker) Completed(now time.Time, f Fingerprint) {
	if p.Snapshot().Known(f) {
		p.change(func(t *Tracker) { t.Completed(now, f) })
	}
}

// Override records an operator's decision; it is in the table within Interval, and on the other nodes with a digest.
func (p *PersistentTracker) Override(now time.Time, f Fingerprint, o Override) {
	p.change(func(t *Tracker) { t.Override(now, f, o) })
}

// Expire forgets what is too old to count; Run does it as well.
func (p *PersistentTracker) Expire(now time.Time) {
	if !p.Snapshot().Empty() {
		p.change(func(t *Tracker) { t.Expire(now) })
	}
}

// Digest returns what to tell other nodes.
func (p *PersistentTracker) Digest(now time.Time, limit int) []Suspect {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.tracker.Digest(now, limit)
}

// List returns the suspects for operators.
func (p *PersistentTracker) List(now time.Time) []Listed {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.tracker.List(now)
}

// Run reads and writes the table until ctx ends.
func (p *PersistentTracker) Run(ctx context.Context) {
	ticker := time.NewTicker(p.opts.Interval)
	defer ticker.Stop()
	for {
		now := time.Now()
		p.Expire(now)
		if !now.Before(p.readAt) {
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

// read takes in the rows of all nodes and removes those that say nothing any more.
func (p *PersistentTracker) read(ctx context.Context, now time.Time) {
	ctx, cancel := context.WithTimeout(ctx, p.opts.Timeout)
	defer cancel()
	rows, err := p.table.List(ctx, RowPrefix, "", p.opts.MaxRows)
	if err != nil {
		p.failed(err)
		return
	}
	p.readAt = now.Add(p.opts.ReadInterval)
	p.change(func(t *Tracker) {
		for _, row := range rows {
			if err := t.Load(now, row); err != nil {
				p.failed(err)
			}
		}
	})
	p.remove(ctx, rows)
}

// remove deletes rows whose suspects are forgotten. The condition keeps what another node has just written.
func (p *PersistentTracker) remove(ctx context.Context, rows []platform.Row) {
	txn := platform.Txn{Operation: p.opts.NewOperation()}
	for _, row := range rows {
		if p.rowKnown(row.Key) {
			continue
		}
		txn.Checks = append(txn.Checks, platform.Check{Key: row.Key, Version: row.Version})
		txn.Puts = append(txn.Puts, platform.Put{Key: row.Key})
	}
	if len(txn.Puts) == 0 {
		return
	}
	if _, err := p.table.Commit(ctx, txn); err != nil {
		p.failed(err)
	}
}

func (p *PersistentTracker) rowKnown(key string) bool {
	f, err := ParseFingerprint(key[len(RowPrefix):])
	return err != nil || p.Snapshot().Known(f)
}

// write writes the rows that are due. A write with an unknown result is sent again under the condition of the old
// version: if it took effect after all, the conflict brings the row, which merges with itself.
func (p *PersistentTracker) write(ctx context.Context, now time.Time) {
	var due []Save
	p.change(func(t *Tracker) { due = t.Unsaved(now) })
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
	p.change(func(t *Tracker) {
		if err == nil {
			t.Saved(s.Fingerprint, platform.Row{Key: s.Put.Key, Version: res.Versions[0], Value: s.Put.Value})
			return
		}
		t.SaveFailed(s.Fingerprint)
		var conflict *platform.ConflictError
		if errors.As(err, &conflict) {
			p.adopt(t, now, s, conflict.Rows)
		}
	})
	if err != nil {
		p.failed(err)
	}
}

// adopt takes over the row in the way of a Save; an absent one, removed meanwhile, is written anew.
func (p *PersistentTracker) adopt(t *Tracker, now time.Time, s Save, rows []platform.Row) {
	for _, row := range rows {
		if row.Version == 0 {
			t.Saved(s.Fingerprint, row)
			continue
		}
		if err := t.Load(now, row); err != nil {
			p.failed(err)
		}
	}
}

func (p *PersistentTracker) failed(err error) {
	if p.opts.Failed != nil {
		p.opts.Failed(err)
	}
}
