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

// KeeperOptions are the times and bounds of a Keeper.
type KeeperOptions struct {
	// Every is how often news are written and old evidence is dropped.
	Every time.Duration
	// ReadEvery is how often the rows of others are read; it bounds how long a restarted node without peers does not
	// know a refusal.
	ReadEvery time.Duration
	// Timeout bounds one call of the table.
	Timeout time.Duration
	// MaxRows is the most rows that are read at once.
	MaxRows int
	// NewOperation draws the id of a transaction; it is called by one goroutine.
	NewOperation func() ids.Operation
	// Failed is told of errors; nil for nobody. The Keeper tries again by itself.
	Failed func(error)
}

// DefaultKeeperOptions returns the options in use.
func DefaultKeeperOptions() KeeperOptions {
	return KeeperOptions{
		Every:        time.Second,
		ReadEvery:    10 * time.Second,
		Timeout:      time.Second,
		MaxRows:      1000,
		NewOperation: ids.NewOperation,
	}
}

// Keeper is an entry's Tracker with the platform's table behind it. It is safe for concurrent use; traffic reads
// Snapshot, which never waits.
type Keeper struct {
	opts     KeeperOptions
	table    platform.Table
	snapshot atomic.Pointer[Snapshot]
	mu       sync.Mutex
	tracker  *Tracker
	// readAt is when the rows are due to be read; only Run uses it.
	readAt time.Time
}

// NewKeeper returns a keeper that knows nothing. Without a table it must not be run, and what it knows ends with the
// nodes that tell each other.
func NewKeeper(table platform.Table, r Rules, o KeeperOptions) *Keeper {
	k := &Keeper{opts: o, table: table, tracker: NewTracker(r)}
	k.snapshot.Store(k.tracker.Snapshot())
	return k
}

// Snapshot returns what is known now.
func (k *Keeper) Snapshot() *Snapshot { return k.snapshot.Load() }

// change changes the tracker and publishes what came of it.
func (k *Keeper) change(f func(t *Tracker)) {
	k.mu.Lock()
	defer k.mu.Unlock()
	f(k.tracker)
	k.snapshot.Store(k.tracker.Snapshot())
}

// SetPeriod changes the length of a quarantine.
func (k *Keeper) SetPeriod(d time.Duration) { k.change(func(t *Tracker) { t.SetPeriod(d) }) }

// Merge takes in what digests say.
func (k *Keeper) Merge(now time.Time, news ...Suspect) {
	if len(news) > 0 {
		k.change(func(t *Tracker) { t.Merge(now, news...) })
	}
}

// Completed says that a request ran to its end.
func (k *Keeper) Completed(now time.Time, f Fingerprint) {
	if k.Snapshot().Known(f) {
		k.change(func(t *Tracker) { t.Completed(now, f) })
	}
}

// Override records an operator's decision; it is in the table within Every, and on the other nodes with a digest.
func (k *Keeper) Override(now time.Time, f Fingerprint, o Override) {
	k.change(func(t *Tracker) { t.Override(now, f, o) })
}

// Expire forgets what is too old to count; Run does it as well.
func (k *Keeper) Expire(now time.Time) {
	if !k.Snapshot().Empty() {
		k.change(func(t *Tracker) { t.Expire(now) })
	}
}

// Digest returns what to tell other nodes.
func (k *Keeper) Digest(now time.Time, limit int) []Suspect {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.tracker.Digest(now, limit)
}

// List returns the suspects for operators.
func (k *Keeper) List(now time.Time) []Listed {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.tracker.List(now)
}

// Run reads and writes the table until ctx ends.
func (k *Keeper) Run(ctx context.Context) {
	ticker := time.NewTicker(k.opts.Every)
	defer ticker.Stop()
	for {
		now := time.Now()
		k.Expire(now)
		if !now.Before(k.readAt) {
			k.read(ctx, now)
		}
		k.write(ctx, now)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// read takes in the rows of all nodes and removes those that say nothing any more.
func (k *Keeper) read(ctx context.Context, now time.Time) {
	ctx, cancel := context.WithTimeout(ctx, k.opts.Timeout)
	defer cancel()
	rows, err := k.table.List(ctx, RowPrefix, "", k.opts.MaxRows)
	if err != nil {
		k.failed(err)
		return
	}
	k.readAt = now.Add(k.opts.ReadEvery)
	k.change(func(t *Tracker) {
		for _, row := range rows {
			if err := t.Load(now, row); err != nil {
				k.failed(err)
			}
		}
	})
	k.remove(ctx, rows)
}

// remove deletes rows whose suspects are forgotten. The condition keeps what another node has just written.
func (k *Keeper) remove(ctx context.Context, rows []platform.Row) {
	txn := platform.Txn{Operation: k.opts.NewOperation()}
	for _, row := range rows {
		if k.rowKnown(row.Key) {
			continue
		}
		txn.Checks = append(txn.Checks, platform.Check{Key: row.Key, Version: row.Version})
		txn.Puts = append(txn.Puts, platform.Put{Key: row.Key})
	}
	if len(txn.Puts) == 0 {
		return
	}
	if _, err := k.table.Commit(ctx, txn); err != nil {
		k.failed(err)
	}
}

func (k *Keeper) rowKnown(key string) bool {
	f, err := ParseFingerprint(key[len(RowPrefix):])
	return err != nil || k.Snapshot().Known(f)
}

// write writes the rows that are due. A write with an unknown result is sent again under the condition of the old
// version: if it took effect after all, the conflict brings the row, which merges with itself.
func (k *Keeper) write(ctx context.Context, now time.Time) {
	var due []Save
	k.change(func(t *Tracker) { due = t.Unsaved(now) })
	for _, s := range due {
		k.save(ctx, now, s)
	}
}

func (k *Keeper) save(ctx context.Context, now time.Time, s Save) {
	ctx, cancel := context.WithTimeout(ctx, k.opts.Timeout)
	defer cancel()
	txn := platform.Txn{
		Operation: k.opts.NewOperation(),
		Checks:    []platform.Check{s.Check},
		Puts:      []platform.Put{s.Put},
	}
	res, err := k.table.Commit(ctx, txn)
	k.change(func(t *Tracker) {
		if err == nil {
			t.Saved(s.Fingerprint, platform.Row{Key: s.Put.Key, Version: res.Versions[0], Value: s.Put.Value})
			return
		}
		t.SaveFailed(s.Fingerprint)
		var conflict *platform.ConflictError
		if errors.As(err, &conflict) {
			k.adopt(t, now, s, conflict.Rows)
		}
	})
	if err != nil {
		k.failed(err)
	}
}

// adopt takes over the row in the way of a Save; an absent one, removed meanwhile, is written anew.
func (k *Keeper) adopt(t *Tracker, now time.Time, s Save, rows []platform.Row) {
	for _, row := range rows {
		if row.Version == 0 {
			t.Saved(s.Fingerprint, row)
			continue
		}
		if err := t.Load(now, row); err != nil {
			k.failed(err)
		}
	}
}

func (k *Keeper) failed(err error) {
	if k.opts.Failed != nil {
		k.opts.Failed(err)
	}
}
