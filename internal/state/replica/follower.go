package replica

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/cardamomyoke/cardamomyoke/internal/base/monotonic"
	"github.com/cardamomyoke/cardamomyoke/internal/state/platform"
)

const (
	// sentinelWait is how long one call of a sentinel waits for changes. It bounds how long a store that accepts a call and
	// forgets it goes unnoticed, which must be less than the time in which a change is to be in force after an outage.
	sentinelWait = 2500 * time.Millisecond
	// usualWait is the same for a node that hears from sentinels what its own call may miss.
	usualWait = 12 * time.Second
	// spacing is the least time between the starts of two calls. Changes that come in quick succession, as when all
	// upstreams register at once, are read together; it is a tenth of the shortest time in which one must be in force.
	spacing = 150 * time.Millisecond
	// relayCheck is how often a node that hears of changes from others looks whether they are still heard.
	relayCheck = 100 * time.Millisecond
	// firstPause and lastPause bound the wait after a failed call; it doubles between them.
	firstPause = 100 * time.Millisecond
	lastPause  = 800 * time.Millisecond
)

// StaleError says that the store answered with an older table than is known.
type StaleError struct {
	Table       string
	Read, Known uint64
}

// Error implements error.
func (e *StaleError) Error() string {
	return fmt.Sprintf("table %s was read as of version %d, but %d is known", e.Table, e.Read, e.Known)
}

// StoreConnection is what is known of a node's way to the store.
type StoreConnection struct {
	// Up says that the last call succeeded.
	Up bool
	// Since is when that changed last.
	Since time.Time
	// Cause is the failure of the last call, nil if it succeeded.
	Cause error
}

// Follower keeps a table's copy in step with the store.
type Follower struct {
	Feed    platform.Feed
	Replica *Replica
	// Changed is called after rows changed, ConnectionChanged after the way to the store was lost or found again.
	Changed           func(r *Replica)
	ConnectionChanged func(r *Replica, c StoreConnection)
	// Sentinel reports whether this node is one of the few that notice soon when the store no longer answers. Calls are
	// priced, and the others hear of changes from their peers as well. Nil means that it is.
	Sentinel func() bool
	// Relayed reports whether enough others that follow the table in the store are heard, so that this node needs no calls
	// of its own. Nil means that they are not.
	Relayed func() bool
	// FollowingChanged is called when the node begins or ceases to follow the table in the store itself; it may be nil.
	FollowingChanged func(r *Replica, following bool)
	connection       atomic.Pointer[StoreConnection]
	following        atomic.Bool
}

// Following reports whether the node follows the table in the store itself, and its last call succeeded.
func (f *Follower) Following() bool { return f.following.Load() && f.Connection().Up }

// relayed reports whether the table is followed through others: calls to the store would otherwise grow with the nodes.
func (f *Follower) relayed() bool {
	_, loaded := f.Replica.Position()
	relayed := loaded && f.Relayed != nil && f.Relayed()
	if f.following.Swap(!relayed) == relayed && f.FollowingChanged != nil {
		f.FollowingChanged(f.Replica, !relayed)
	}
	return relayed
}

// Connection returns what is known of the way to the store.
func (f *Follower) Connection() StoreConnection {
	if c := f.connection.Load(); c != nil {
		return *c
	}
	return StoreConnection{}
}

// Run follows the table until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	pause := firstPause
	for ctx.Err() == nil {
		if f.relayed() {
			f.note(nil)
			monotonic.Sleep(ctx, relayCheck)
			continue
		}
		began := time.Now()
		err := f.step(ctx)
		f.note(err)
		if err == nil {
			pause = firstPause
			monotonic.Sleep(ctx, spacing-time.Since(began))
			continue
		}
		monotonic.Sleep(ctx, pause/2+rand.N(pause/2))
		pause = min(lastPause, 2*pause)
	}
}

// step makes one call. A history that is no longer kept is no failure: the whole table is read.
func (f *Follower) step(ctx context.Context) error {
	after, loaded := f.Replica.Position()
	if !loaded {
		return f.load(ctx)
	}
	changes, version, err := f.Feed.Changes(ctx, f.Replica.Name(), after, f.wait())
	var lost *platform.HistoryLostError
	if errors.As(err, &lost) {
		return f.load(ctx)
	}
	if err != nil {
		return err
	}
	if f.Replica.Apply(changes, version) {
		f.Changed(f.Replica)
	}
	return nil
}

// wait is how long the next call waits for changes: not at all after a failure.
//
// A store that was stuck never answers the calls that it accepted before. A call that does not wait fails soon, and the next
// one is answered.
func (f *Follower) wait() time.Duration {
	if !f.Connection().Up {
		return 0
	}
	if f.Sentinel != nil && !f.Sentinel() {
		return usualWait
	}
	return sentinelWait
}

func (f *Follower) load(ctx context.Context) error {
	rows, version, err := f.Feed.Rows(ctx, f.Replica.Name())
	if err != nil {
		return err
	}
	if known, loaded := f.Replica.Position(); loaded && version < known {
		return &StaleError{f.Replica.Name(), version, known}
	}
	if f.Replica.Load(rows, version) {
		f.Changed(f.Replica)
	}
	return nil
}

func (f *Follower) note(err error) {
	old := f.Connection()
	next := StoreConnection{Up: err == nil, Since: old.Since, Cause: err}
	if old.Up != next.Up || old.Since.IsZero() {
		next.Since = time.Now()
	}
	f.connection.Store(&next)
	if old.Up != next.Up || old.Since.IsZero() {
		f.ConnectionChanged(f.Replica, next)
	}
}
