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

// feed is a store's feed that may hang: calls that begin before the given time are never answered.
type feed struct {
	// mu guards the rest: the follower calls from a goroutine of its own.
	mu    sync.Mutex
	src   *source
	hangs time.Time
}

func (f *feed) put(key, value string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.src.put(key, value)
}

func (f *feed) hang(until time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.hangs = until
}

func (f *feed) hanging() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Now().Before(f.hangs)
}

func (f *feed) since(after uint64) ([]platform.Change, uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.src.since(after), f.src.version
}

var errAway = errors.New("away")

func (f *feed) Rows(context.Context, string) ([]platform.Row, uint64, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.src.all(), f.src.version, nil
}

func (f *feed) Changes(ctx context.Context, _ string, after uint64, wait time.Duration) ([]platform.Change, uint64, error) {
	if f.hanging() {
		// As with the real client: a call ends some time after it should have been answered.
		time.Sleep(wait + 700*time.Millisecond)
		return nil, 0, errAway
	}
	changes, version := f.since(after)
	for end := time.Now().Add(wait); time.Now().Before(end) && len(changes) == 0; changes, version = f.since(after) {
		time.Sleep(10 * time.Millisecond)
	}
	return changes, version, ctx.Err()
}

// The store accepts calls for five seconds and answers none. Then it is sound again and a configuration changes. The
// call under way was accepted before and is never answered; the change must be seen well before that call's time is over.
func TestAChangeIsSeenSoonAfterASilentStoreReturns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		src := &source{rows: map[string]platform.Row{}}
		src.put("config", "1")
		f := &feed{src: src}
		replicated := replica.NewReplica("op")
		var mu sync.Mutex
		var changed time.Time
		follower := &replica.Follower{
			Feed: f, Replica: replicated,
			Changed: func(*replica.Replica) {
				mu.Lock()
				defer mu.Unlock()
				changed = time.Now()
			},
			ConnectionChanged: func(*replica.Replica, replica.StoreConnection) {},
		}
		ctx, cancel := context.WithCancel(t.Context())
		go follower.Run(ctx)
		time.Sleep(time.Second)
		f.hang(time.Now().Add(5 * time.Second))
		time.Sleep(5*time.Second + 100*time.Millisecond)
		f.put("config", "2")
		sent := time.Now()
		time.Sleep(5 * time.Second)
		cancel()
		mu.Lock()
		defer mu.Unlock()
		if got := changed.Sub(sent); changed.Before(sent) || got > 2*time.Second {
			t.Fatalf("seen after %s", got)
		}
		time.Sleep(5 * time.Second)
	})
}

// calls counts calls of the feed behind it.
type calls struct {
	feed
	n int
}

func (c *calls) Changes(ctx context.Context, table string, after uint64, wait time.Duration) ([]platform.Change, uint64, error) {
	c.mu.Lock()
	c.n++
	c.mu.Unlock()
	return c.feed.Changes(ctx, table, after, wait)
}

func (c *calls) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.n
}

// A node hears of changes from others that follow the store, and makes no calls. Then they fall silent, while a
// configuration changes: the node must see it by a call of its own, at once.
func TestANodeFollowsTheStoreItselfWhenOthersFallSilent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		src := &source{rows: map[string]platform.Row{}}
		src.put("config", "1")
		f := &calls{feed: feed{src: src}}
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
		if newest := replicated.Newest(); newest != 2 {
			t.Fatalf("version %d is known", newest)
		}
		cancel()
		time.Sleep(15 * time.Second)
	})
}
