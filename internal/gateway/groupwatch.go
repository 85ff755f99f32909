package gateway

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/cardamomyoke/cardamomyoke/internal/catalog"
	"github.com/cardamomyoke/cardamomyoke/internal/dispatch"
	"github.com/cardamomyoke/cardamomyoke/internal/lockstep"
	"github.com/cardamomyoke/cardamomyoke/internal/steady"
)

const (
	// watchEvery is how often a group is read that does not work: callers wait for it.
	watchEvery = 80 * time.Millisecond
	// staleReport is how long after a refusal a report that is not fresh may still show the group as it was before.
	staleReport = 300 * time.Millisecond
	// watchReads is how many ranks are read at once, in case one of them is the one that is gone.
	watchReads = 3
	// watchBlind is how long a group whose ranks do not answer is held to be closed, before requests may try it.
	watchBlind = 400 * time.Millisecond
)

// groupWatch finds out whether a group works, from the moment that something speaks against it, and closes the
// service's gate meanwhile.
type groupWatch struct {
	ranks  lockstep.Ranks
	gate   *dispatch.Gate
	logger log.Logger
	// upstreams returns the ranks' upstreams now.
	upstreams func() []*catalog.Upstream

	mu       sync.Mutex
	watching bool
	since    time.Time
	// several is set once the service is known to have several groups.
	several bool
}

// doubt closes the gate until a rank says that its group is open.
func (w *groupWatch) doubt(ctx context.Context, reason string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.since = time.Now()
	if w.watching || w.several {
		return
	}
	w.watching = true
	w.gate.SetClosed(true)
	go w.watch(ctx, reason)
}

func (w *groupWatch) watch(ctx context.Context, reason string) {
	began := time.Now()
	for {
		verdict := w.look(ctx)
		w.mu.Lock()
		open := verdict == groupOpen && time.Since(w.since) > 0
		if verdict == groupLaggingOpen {
			open = time.Since(w.since) > staleReport
		}
		if verdict == groupUnknown {
			open = time.Since(w.since) > watchBlind
		}
		if open || w.several || ctx.Err() != nil {
			w.watching = false
			w.mu.Unlock()
			break
		}
		w.mu.Unlock()
		steady.Sleep(ctx, watchEvery)
	}
	w.gate.SetClosed(false)
	_ = level.Info(w.logger).Log("msg", "group closed to requests", "reason", reason, "for", time.Since(began))
}

type groupVerdict int

const (
	groupUnknown groupVerdict = iota
	groupBroken
	groupLaggingOpen
	groupOpen
)

// look reads some ranks and returns the best that one of them says; a rank that is gone says nothing.
func (w *groupWatch) look(ctx context.Context) groupVerdict {
	list := append([]*catalog.Upstream(nil), w.upstreams()...)
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	list = list[:min(watchReads, len(list))]
	verdicts := make([]groupVerdict, len(list))
	var wait sync.WaitGroup
	for i, u := range list {
		wait.Go(func() { verdicts[i] = w.ask(ctx, u) })
	}
	wait.Wait()
	best := groupUnknown
	for _, v := range verdicts {
		best = max(best, v)
	}
	return best
}

// ready counts the upstreams that take work: while all of a group's ranks are replaced, the old ones are listed, too.
func (w *groupWatch) ready() int {
	n := 0
	for _, u := range w.upstreams() {
		if u.State == catalog.StateReady {
			n++
		}
	}
	return n
}

// noteSeveral notes that the service has several groups. One that is broken must not keep requests from the others; its
// ranks refuse what is sent to them and are kept away from one by one.
func (w *groupWatch) noteSeveral() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.several = true
}

func (w *groupWatch) ask(ctx context.Context, u *catalog.Upstream) groupVerdict {
	r, err := w.ranks.Report(ctx, u)
	switch {
	case err != nil:
		return groupUnknown
	case r.Size > 0 && w.ready() >= 2*r.Size:
		w.noteSeveral()
		return groupOpen
	case !r.Open:
		return groupBroken
	case r.Fresh:
		return groupOpen
	}
	return groupLaggingOpen
}
