package writer

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/cardamomyoke/cardamomyoke/internal/state/audit"
	"github.com/cardamomyoke/cardamomyoke/internal/state/lease"
	"github.com/cardamomyoke/cardamomyoke/internal/state/revision"
)

const (
	// catchUpPeriod is the mean time after which an entry writes the rows of changes whose own entry died.
	catchUpPeriod  = time.Minute
	catchUpTimeout = 10 * time.Second
)

// Auditor is what an entry has: its own chain and the copier of changes.
type Auditor struct {
	*Writer
	Changes *Changes
}

// Committed writes the rows of changes that were just committed, without waiting.
func (a *Auditor) Committed() {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), catchUpTimeout)
		defer cancel()
		if err := a.Changes.CatchUp(ctx); err != nil {
			_ = level.Warn(a.o.Logger).Log("msg", "audit of changes waits", "err", err)
		}
	}()
}

// FlushAll writes what it can of all that this entry knows of, so that what is listed next holds it. A chain that somebody
// changed takes no more rows; it must still be possible to list and verify it, so a failure is only logged.
func (a *Auditor) FlushAll(ctx context.Context) {
	if err := errors.Join(a.Changes.CatchUp(ctx), a.Flush(ctx)); err != nil {
		_ = level.Warn(a.o.Logger).Log("msg", "audit is behind", "rows", a.Waiting(), "err", err)
	}
}

// RunCatchUp catches up from time to time until ctx ends.
func (a *Auditor) RunCatchUp(ctx context.Context, r *rand.Rand, logger log.Logger) {
	for {
		pause := catchUpPeriod/2 + time.Duration(r.Int64N(int64(catchUpPeriod)))
		select {
		case <-time.After(pause):
		case <-ctx.Done():
			return
		}
		if err := a.Changes.CatchUp(ctx); err != nil && ctx.Err() == nil {
			_ = level.Warn(logger).Log("msg", "audit of changes waits", "err", err)
		}
	}
}

// RevisionRecorder records each revision that a node puts in force. It is used on the control loop only.
type RevisionRecorder struct {
	Writer *Writer
	last   uint64
}

// Observe looks at the node's newest view. A node that starts records what it starts with.
func (r *RevisionRecorder) Observe(now time.Time, v *revision.View) {
	rev := v.InForce.Revision()
	if rev == r.last {
		return
	}
	r.Writer.Record(now, &audit.Row{
		Kind: audit.KindInForce, Subject: "configuration", Revision: rev,
		Before: fmt.Sprintf("revision %d", r.last), After: fmt.Sprintf("revision %d", rev),
		Reason: "every live node holds it",
	})
	r.last = rev
}

// LeaseAcquired records that this node took a duty; it is a lease manager's OnAcquired.
func (w *Writer) LeaseAcquired(now time.Time, h lease.HeldLease) {
	w.Record(now, &audit.Row{
		Kind: audit.KindLeaseAcquired, Subject: string(h.Duty), After: fmt.Sprintf("fencing number %d", h.Fence),
		Reason: "the lease was free or had lapsed",
	})
}
