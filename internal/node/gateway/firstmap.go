package gateway

import (
	"context"
	"time"

	"github.com/go-kit/log/level"

	"github.com/cardamomyoke/cardamomyoke/internal/base/steady"
)

const (
	// firstMapMost is the longest time for which a group that has just formed gets few requests. A map for the demand takes
	// 0.2 to 0.4 s: some passes to count, the copies, and the switch. If none comes, as the demand is even or nobody leads,
	// requests must not wait for it.
	firstMapMost = 500 * time.Millisecond
	// firstMapEvery is how often the ranks are asked meanwhile whether they have it.
	firstMapEvery = 40 * time.Millisecond
)

// watchFirstMap gives a group that has just formed a few requests only, until it has a map for the demand.
func (w *groupWatch) watchFirstMap(ctx context.Context) {
	began := time.Now()
	for time.Since(began) < firstMapMost && !w.mapped() {
		steady.Sleep(ctx, firstMapEvery)
		w.look(ctx)
	}
	w.gate.SetFirstMap(false)
	_ = level.Info(w.logger).Log("msg", "first map", "for", time.Since(began), "mapped", w.mapped())
}

// mapped reports whether the rank that was asked last has another map than the one that its group began with.
func (w *groupWatch) mapped() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.version > 0
}
