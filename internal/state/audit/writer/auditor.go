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
	// catchUpPeriod is the mean interval at which an entry process checks the configuration log for changes without audit rows.
	// It writes the rows of changes whose own entry process crashed before it wrote them.
	catchUpPeriod  = time.Minute
	catchUpTimeout = 10 * time.Second
)

// Auditor is the audit writer of an entry process: the Writer of its own chain and the Changes that copies the
// configuration log.
type Auditor struct {
	*Writer
	Changes *Changes
}

// Committed writes the rows of changes that were just committed, in the background.
func (a *Auditor) Committed() {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), catchUpTimeout)
		defer cancel()
		if err := a.Changes.CatchUp(ctx); err != nil {
			_ = level.Warn(a.o.Logger).Log("msg", "audit rows of changes not written", "err", err)
		}
	}()
}

// FlushAll writes the rows of all committed changes and of this process, so that a listing that follows contains them. It
// only logs a failure: a chain that was tampered with accepts no more rows, but must still be listed and verified.
func (a *Auditor) FlushAll(ctx context.Context) {
	if err := errors.Join(a.Changes.CatchUp(ctx), a.Flush(ctx)); err != nil {
		_ = level.Warn(a.o.Logger).Log("msg", "audit rows not flushed", "rows", a.Waiting(), "err", err)
	}
}

// RunCatchUp calls CatchUp at random intervals with a mean of catchUpPeriod until ctx is done.
func (a *Auditor) RunCatchUp(ctx context.Context, r *rand.Rand, logger log.Logger) {
	for {
		delay := catchUpPeriod/2 + time.Duration(r.Int64N(int64(catchUpPeriod)))
		select {
		case <-time.After(delay):
		case <-ctx.Done():
			return
		}
		if err := a.Changes.CatchUp(ctx); err != nil && ctx.Err() == nil {
			_ = level.Warn(logger).Log("msg", "audit rows of changes not written", "err", err)
		}
	}
}

// RevisionRecorder records each revision that a node puts in force. It must be used on the control loop only.
type RevisionRecorder struct {
	Writer *Writer
	last   uint64
}

// Observe records the revision in force in v if it differs from that of the last call. A node that starts records the
// revision that it starts with, unless that is 0.
func (r *RevisionRecorder) Observe(now time.Time, v *revision.View) {
	rev := v.InForce.Revision()
	if rev == r.last {
		return
	}
	reason := reasonAccepted
	if v.Accepted < v.InForce.Seq {
		reason = reasonNoTable
	}
	r.Writer.Record(now, &audit.Row{
		Kind: audit.KindInForce, Subject: "configuration", Revision: rev,
		Before: fmt.Sprintf("revision %d", r.last), After: fmt.Sprintf("revision %d", rev),
		Reason: reason,
	})
	r.last = rev
}

// Stored reasons why a revision was put in force: it was accepted, or the node was aware of no table read within
// revision.Options.ForceAfter.
const (
	reasonAccepted = "every live node holds it"
	reasonNoTable  = "it is committed, and no recent read of the table is known"
)

// LeaseAcquired records that this node acquired the lease of a duty. It is meant as the OnAcquired callback of a lease
// manager.
func (w *Writer) LeaseAcquired(now time.Time, h lease.HeldLease) {
	// "fencing number" is the stored text for a fencing token.
	w.Record(now, &audit.Row{
		Kind: audit.KindLeaseAcquired, Subject: string(h.Duty), After: fmt.Sprintf("fencing number %d", h.Fence),
		Reason: "the lease was free or had lapsed",
	})
}
