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
	// A sentinel is one of the few nodes that must notice soon when the store stops responding; see Follower.Sentinel.

	// sentinelWait is how long one call of a sentinel waits for changes. It bounds how long a store that accepts
	// calls and never responds goes unnoticed. That time must be less than the time within which a change must be in
	// force after an outage.
	sentinelWait = 2500 * time.Millisecond
	// normalWait is how long one call of any other node waits for changes. Such a node also gets changes from sentinels,
	// which notice an unresponsive store earlier.
	normalWait = 12 * time.Second
	// minCallInterval is the minimum time between the starts of two calls. Changes in quick succession, as when all
	// upstreams register at the same time, are read together. It is a tenth of the shortest time within which a
	// change must be in force.
	minCallInterval = 150 * time.Millisecond
	// relayCheckInterval is how often a node that gets changes from its peers checks whether it still gets them.
	relayCheckInterval = 100 * time.Millisecond
	// reloadSpread is the maximum random wait before a table is read in full in a new era of the store.
	reloadSpread = 250 * time.Millisecond
	// minBackoff and maxBackoff are the first and the longest backoff after failed calls. The backoff doubles with
	// each consecutive failure, and jitter shortens it by up to half.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 800 * time.Millisecond
	// delegatedBackoff is the longest backoff of a node on whose behalf others call the store.
	delegatedBackoff = 4 * time.Second
)

// StaleError reports that the store returned an older version of a table than the copy has.
type StaleError struct {
	Table       string
	Read, Known platform.Position
}

// Error implements error.
func (e *StaleError) Error() string {
	return fmt.Sprintf("table %s was read as of version %s, older than the copy's version %s", e.Table, e.Read, e.Known)
}

// StoreConnection is the state of a node's connection to the store.
type StoreConnection struct {
	// Up is set if the last call succeeded, or if the node gets changes from its peers and makes no calls.
	Up bool
	// Since is when Up changed last.
	Since time.Time
	// Cause is the error of the last call; nil if Up is set.
	Cause error
}

// Follower keeps the copy of a table up to date with the store.
type Follower struct {
	Feed    platform.Feed
	Replica *Replica
	// Changed is called after rows changed, and ConnectionChanged after the connection to the store was lost or
	// restored.
	Changed           func(r *Replica)
	ConnectionChanged func(r *Replica, c StoreConnection)
	// Sentinel reports whether this node is one of the few that must notice soon when the store stops responding. The
	// platform charges for each call, and the other nodes also get changes from their peers. If it is nil, the node is
	// a sentinel.
	Sentinel func() bool
	// Relayed reports whether messages arrive from enough peers that follow the table in the store, so that this node
	// needs no calls of its own. If it is nil, they do not.
	Relayed func() bool
	// Delegates reports whether other nodes call the store on behalf of this one while it is away. If it is nil, they do not.
	Delegates func() bool
	// FollowingChanged is called when the node starts or stops following the table in the store itself; it may be
	// nil.
	FollowingChanged func(r *Replica, following bool)
	// CallFailed is called after each call that failed, and HistoryLost when the store no longer has the history after a
	// version, before the table is read in full. Both may be nil.
	CallFailed  func(r *Replica, err error)
	HistoryLost func(r *Replica, err *platform.HistoryLostError)
	connection  atomic.Pointer[StoreConnection]
	following   atomic.Bool
}

// Following reports whether the node follows the table in the store itself and its last call succeeded.
func (f *Follower) Following() bool { return f.following.Load() && f.Connection().Up }

// relayed reports whether the node gets the table's changes from its peers instead of the store. Without that, the
// number of calls to the store would grow with the number of nodes.
func (f *Follower) relayed() bool {
	_, loaded := f.Replica.Position()
	relayed := loaded && f.Relayed != nil && f.Relayed()
	if f.following.Swap(!relayed) == relayed && f.FollowingChanged != nil {
		f.FollowingChanged(f.Replica, !relayed)
	}
	return relayed
}

// Connection returns the state of the connection to the store; it is zero before the first call.
func (f *Follower) Connection() StoreConnection {
	if c := f.connection.Load(); c != nil {
		return *c
	}
	return StoreConnection{}
}

// Run follows the table until ctx is cancelled.
func (f *Follower) Run(ctx context.Context) {
	pause := minBackoff
	for ctx.Err() == nil {
		if f.relayed() {
			f.recordResult(nil)
			monotonic.Sleep(ctx, relayCheckInterval)
			continue
		}
		delegated := f.delegated()
		start := time.Now()
		err := f.step(ctx)
		f.recordResult(err)
		if err == nil {
			pause = minBackoff
			monotonic.Sleep(ctx, minCallInterval-time.Since(start))
			continue
		}
		if f.CallFailed != nil {
			f.CallFailed(f.Replica, err)
		}
		f.backOff(ctx, pause, delegated)
		f.awaitDelegates(ctx)
		pause = min(maxBackoff, 2*pause)
	}
}

// backOff waits after a failed call. delegated is set if others called the store on behalf of this node when the call began; once they
// no longer do, they have found the store, and there is nothing to wait for.
func (f *Follower) backOff(ctx context.Context, pause time.Duration, delegated bool) {
	end := time.Now().Add(pause/2 + rand.N(pause/2))
	for ctx.Err() == nil && time.Now().Before(end) {
		if delegated && !f.delegated() {
			return
		}
		monotonic.Sleep(ctx, min(relayCheckInterval, time.Until(end)))
	}
}

// delegated reports whether other nodes call the store on behalf of this one. One that has not read the table yet cannot serve without
// it, and calls the store itself.
func (f *Follower) delegated() bool {
	_, loaded := f.Replica.Position()
	return loaded && f.Delegates != nil && f.Delegates()
}

// awaitDelegates waits while other nodes call the store on behalf of this one, for delegatedBackoff at most: one that is cut off
// from these, or whose view of them is wrong, finds the store itself.
func (f *Follower) awaitDelegates(ctx context.Context) {
	end := time.Now().Add(delegatedBackoff/2 + rand.N(delegatedBackoff/2))
	for ctx.Err() == nil && time.Now().Before(end) && f.delegated() {
		monotonic.Sleep(ctx, relayCheckInterval)
	}
}

// step makes one call. If the store no longer retains the history since the copy's version, the full table is read
// instead.
func (f *Follower) step(ctx context.Context) error {
	after, loaded := f.Replica.Position()
	if !loaded {
		return f.load(ctx)
	}
	changes, to, err := f.Feed.Changes(ctx, f.Replica.Name(), after, f.callWait())
	var lost *platform.HistoryLostError
	if errors.As(err, &lost) {
		return f.reload(ctx, lost)
	}
	if err != nil {
		return err
	}
	if f.Replica.Apply(changes, to) {
		f.Changed(f.Replica)
	}
	return nil
}

// callWait returns how long the next call waits for changes; after a failure it does not wait.
//
// A store never responds to the calls that it accepted while it hung. A call without a wait fails soon, and the next
// one gets a response.
func (f *Follower) callWait() time.Duration {
	if !f.Connection().Up {
		return 0
	}
	if f.Sentinel != nil && !f.Sentinel() {
		return normalWait
	}
	return sentinelWait
}

// reload reads the full table after the store has lost the history. If the store has begun another era, all nodes need the
// full table at the same time, so that a node waits a random time for a peer's copy first.
func (f *Follower) reload(ctx context.Context, lost *platform.HistoryLostError) error {
	if f.HistoryLost != nil {
		f.HistoryLost(f.Replica, lost)
	}
	if lost.Era > lost.After.Era {
		monotonic.Sleep(ctx, rand.N(reloadSpread))
		if known, _ := f.Replica.Position(); known.Era >= lost.Era {
			return nil
		}
	}
	return f.load(ctx)
}

func (f *Follower) load(ctx context.Context) error {
	rows, to, err := f.Feed.Rows(ctx, f.Replica.Name())
	if err != nil {
		return err
	}
	if known, loaded := f.Replica.Position(); loaded && to.Before(known) {
		return &StaleError{f.Replica.Name(), to, known}
	}
	if f.Replica.Load(rows, to) {
		f.Changed(f.Replica)
	}
	return nil
}

func (f *Follower) recordResult(err error) {
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
