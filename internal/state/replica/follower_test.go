package replica_test

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cardamomyoke/cardamomyoke/internal/state/platform"
	"github.com/cardamomyoke/cardamomyoke/internal/state/replica"
)

// feed is a fake feed of the store that can hang: calls that start before hangsUntil never get a response.
type feed struct {
	// mu guards the other fields, because the follower calls from its own goroutine.
	mu         sync.Mutex
	src        *source
	hangsUntil time.Time
}

func (f *feed) put(key, value string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.src.put(key, value)
}

func (f *feed) hang(until time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.hangsUntil = until
}

func (f *feed) hanging() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Now().Before(f.hangsUntil)
}

func (f *feed) since(after platform.Position) ([]platform.Change, platform.Position) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.src.since(after), f.src.at()
}

var errUnreachable = errors.New("store unreachable")

func (f *feed) Rows(context.Context, string) ([]platform.Row, platform.Position, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.src.all(), f.src.at(), nil
}

func (f *feed) Changes(ctx context.Context, _ string, after platform.Position, wait time.Duration) ([]platform.Change, platform.Position, error) {
	if f.hanging() {
		// As with the real client, the call ends some time after its response was due.
		time.Sleep(wait + 700*time.Millisecond)
		return nil, platform.Position{}, errUnreachable
	}
	changes, version := f.since(after)
	for end := time.Now().Add(wait); time.Now().Before(end) && len(changes) == 0; changes, version = f.since(after) {
		time.Sleep(10 * time.Millisecond)
	}
	return changes, version, ctx.Err()
}

// Guards against a change that is seen only when a hung call times out. The store accepts calls for five seconds and
// responds to none. Then it recovers and a configuration changes; the pending call never gets a response.
func TestChangeIsSeenSoonAfterStoreRecovers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := &source{rows: map[string]platform.Row{}}
		table.put("config", "1")
		f := &feed{src: table}
		replicated := replica.NewReplica("op")
		var mu sync.Mutex
		var seen time.Time
		follower := &replica.Follower{
			Feed: f, Replica: replicated,
			Changed: func(*replica.Replica) {
				mu.Lock()
				defer mu.Unlock()
				seen = time.Now()
			},
			ConnectionChanged: func(*replica.Replica, replica.StoreConnection) {},
		}
		ctx, cancel := context.WithCancel(t.Context())
		go follower.Run(ctx)
		time.Sleep(time.Second)
		f.hang(time.Now().Add(5 * time.Second))
		time.Sleep(5*time.Second + 100*time.Millisecond)
		f.put("config", "2")
		changedAt := time.Now()
		time.Sleep(5 * time.Second)
		cancel()
		mu.Lock()
		defer mu.Unlock()
		if got := seen.Sub(changedAt); seen.Before(changedAt) || got > 2*time.Second {
			t.Fatalf("the change was seen after %s", got)
		}
		time.Sleep(5 * time.Second)
	})
}

// countingFeed counts the calls to its feed.
type countingFeed struct {
	feed
	n int
}

func (f *countingFeed) Changes(ctx context.Context, table string, after platform.Position, wait time.Duration) ([]platform.Change, platform.Position, error) {
	f.mu.Lock()
	f.n++
	f.mu.Unlock()
	return f.feed.Changes(ctx, table, after, wait)
}

func (f *countingFeed) count() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.n
}

// Guards against a change that a node misses because its peers become unresponsive while a configuration changes. The
// node got changes from peers that follow the store, and made no calls; it must see this change immediately by a call
// of its own.
func TestNodeFollowsStoreWhenPeersGoSilent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := &source{rows: map[string]platform.Row{}}
		table.put("config", "1")
		f := &countingFeed{feed: feed{src: table}}
		replicated := replica.NewReplica("op")
		var relayed atomic.Bool
		relayed.Store(true)
		follower := &replica.Follower{
			Feed: f, Replica: replicated,
			Changed:           func(*replica.Replica) {},
			ConnectionChanged: func(*replica.Replica, replica.StoreConnection) {},
			Relayed:           relayed.Load,
		}
		ctx, cancel := context.WithCancel(t.Context())
		go follower.Run(ctx)
		time.Sleep(10 * time.Second)
		if n := f.count(); n > 0 || !follower.Connection().Up || follower.Following() {
			t.Fatalf("%d calls, up %v, following %v", n, follower.Connection().Up, follower.Following())
		}
		f.put("config", "2")
		relayed.Store(false)
		time.Sleep(500 * time.Millisecond)
		if newest := replicated.Newest(); newest.Version != 2 {
			t.Fatalf("newest version is %s, want 2", newest)
		}
		cancel()
		time.Sleep(15 * time.Second)
	})
}

// Guards against a node that calls an unavailable store as often as if it were alone although others call it, and against one that
// goes on waiting when these have found it.
func TestNodeWaitsForDelegates(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := &source{rows: map[string]platform.Row{}}
		table.put("config", "1")
		f := &countingFeed{feed: feed{src: table}}
		var delegates atomic.Bool
		follower := &replica.Follower{
			Feed: f, Replica: replica.NewReplica("op"),
			Changed:           func(*replica.Replica) {},
			ConnectionChanged: func(*replica.Replica, replica.StoreConnection) {},
			Delegates:         delegates.Load,
		}
		ctx, cancel := context.WithCancel(t.Context())
		go follower.Run(ctx)
		time.Sleep(time.Second)
		f.hang(time.Now().Add(20 * time.Second))
		delegates.Store(true)
		time.Sleep(8 * time.Second)
		before := f.count()
		time.Sleep(12 * time.Second)
		if n := f.count() - before; n < 2 || n > 5 {
			t.Errorf("%d calls in 12 s, want one each 2 to 4 s and what a call takes", n)
		}
		delegates.Store(false)
		before = f.count()
		time.Sleep(time.Second)
		if f.count() == before || !follower.Connection().Up {
			t.Errorf("%d calls in a second after the others have found the store", f.count()-before)
		}
		cancel()
		time.Sleep(15 * time.Second)
	})
}
