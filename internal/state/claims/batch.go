package claims

import (
	"container/heap"
	"errors"
	"slices"
	"time"

	"github.com/cardamomyoke/cardamomyoke/internal/base/charts"
	"github.com/cardamomyoke/cardamomyoke/internal/base/failure"
	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
	cardamomyokev1 "github.com/cardamomyoke/cardamomyoke/internal/gen/cardamomyoke/v1"
	"github.com/cardamomyoke/cardamomyoke/internal/state/platform"
)

const (
	maxResendDelay = time.Second
	pruneInterval  = time.Second
)

// batch is a transaction whose outcome is not decided yet.
type batch struct {
	txn    platform.Txn
	claims []*claim
	// sending is set while a response is awaited.
	sending bool
	// unknown is set once a response was lost. From then on the original transaction may still take effect.
	unknown bool
	// fencing is set once an empty transaction with the same operation id is to replace the original.
	fencing bool
	// conflictRows holds the existing rows of a conflict reported after a lost response, until the fence is applied.
	conflictRows []platform.Row
	resendAt     time.Time
	delay        time.Duration
}

// Tick advances the ledger to now and returns the effects that are due.
func (l *Ledger) Tick(now time.Time) []Effect { return l.flush(now) }

// Next returns the time at which Tick is due next, and false if nothing is due before the next event.
func (l *Ledger) Next() (time.Time, bool) {
	var next time.Time
	earliest := func(t time.Time) {
		if next.IsZero() || t.Before(next) {
			next = t
		}
	}
	if len(l.deadlines) > 0 {
		earliest(l.deadlines[0].req.Deadline)
	}
	if at, ok := l.nextSend(); ok {
		earliest(at)
	}
	for _, b := range l.batches {
		if !b.sending {
			earliest(b.resendAt)
		}
	}
	return next, !next.IsZero()
}

// canExpire reports whether the deadline of a claim still applies: the claim has neither started nor been refused.
func canExpire(c *claim) bool {
	switch c.machine.State() {
	case stateAbandoned, stateRunning, stateStoring, stateReleasing, stateEnded:
		return false
	}
	return true
}

// nextSend returns the time at which the next transaction of queued writes may be sent, and false if there is none.
func (l *Ledger) nextSend() (time.Time, bool) {
	if len(l.batches) >= l.opts.MaxInFlight || len(l.urgent)+len(l.lazy) == 0 {
		return time.Time{}, false
	}
	at := l.lastSent.Add(l.opts.Interval)
	if len(l.urgent) > 0 || len(l.lazy) >= l.opts.MaxBatch {
		return at, true
	}
	if due := l.lazy[0].due; due.After(at) {
		at = due
	}
	return at, true
}

// flush expires claims, sends the transactions that are due and returns all effects since the last call.
func (l *Ledger) flush(now time.Time) []Effect {
	l.expireDue(now)
	l.resendDue(now)
	for {
		at, ok := l.nextSend()
		if !ok || now.Before(at) {
			break
		}
		if !l.sendBatch(now) {
			break
		}
	}
	l.prune(now)
	out := l.effects
	l.effects = nil
	return out
}

func (l *Ledger) expireDue(now time.Time) {
	for len(l.deadlines) > 0 {
		c := l.deadlines[0]
		if canExpire(c) && now.Before(c.req.Deadline) {
			return
		}
		heap.Pop(&l.deadlines)
		if canExpire(c) {
			l.refuseUndecided(c, failure.CodeDeadlineUnmet)
		}
	}
}

// prune deletes the decided attempts whose duplicates are refused because of their deadline anyway.
func (l *Ledger) prune(now time.Time) {
	if now.Before(l.pruneAt) {
		return
	}
	l.pruneAt = now.Add(pruneInterval)
	for a, r := range l.decided {
		if now.After(r.until) {
			delete(l.decided, a)
		}
	}
}

// byDeadline is a heap of claims with the earliest deadline at the root.
type byDeadline []*claim

func (h byDeadline) Len() int           { return len(h) }
func (h byDeadline) Less(i, j int) bool { return h[i].req.Deadline.Before(h[j].req.Deadline) }
func (h byDeadline) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *byDeadline) Push(x any) { *h = append(*h, x.(*claim)) }

// Pop implements heap.Interface.
func (h *byDeadline) Pop() any {
	old := *h
	c := old[len(old)-1]
	*h = old[:len(old)-1]
	return c
}

// sendBatch sends the oldest queued writes as one transaction. It reports whether there were any.
func (l *Ledger) sendBatch(now time.Time) bool {
	items := l.dequeue()
	if len(items) == 0 {
		return false
	}
	b := &batch{claims: items, delay: l.opts.ResendDelay}
	b.txn = l.buildTxn(items)
	for _, c := range items {
		l.fire(now, c, evSent)
	}
	l.batches[b.txn.Operation] = b
	l.sendOrder = append(l.sendOrder, b.txn.Operation)
	l.lastSent = now
	l.send(b)
	return true
}

// dequeue removes up to MaxBatch writes from the queues, claims before outcomes and releases. It drops claims that have
// ended.
func (l *Ledger) dequeue() []*claim {
	var items []*claim
	for _, q := range []*[]*claim{&l.urgent, &l.lazy} {
		for len(*q) > 0 && len(items) < l.opts.MaxBatch {
			c := (*q)[0]
			*q = (*q)[1:]
			if c.machine.State() != stateEnded {
				items = append(items, c)
			}
		}
	}
	return items
}

func (l *Ledger) buildTxn(items []*claim) platform.Txn {
	t := platform.Txn{Operation: l.opts.NewOperation()}
	list := &cardamomyokev1.ClaimBatch{}
	var expire int64
	for _, c := range items {
		t.Checks = append(t.Checks, platform.Check{Key: c.rowKey, Version: c.version})
		t.Puts = append(t.Puts, platform.Put{Key: c.rowKey, Value: l.value(c)})
		if c.version == 0 {
			list.Keys = append(list.Keys, c.rowKey)
			expire = max(expire, c.row.GetExpireMs())
		}
	}
	// With one list for each transaction the sweeper finds expired claims without reading every claim.
	if len(list.GetKeys()) > 0 {
		key := batchKey(time.UnixMilli(expire), t.Operation)
		t.Puts = append(t.Puts, platform.Put{Key: key, Value: encode(list)})
	}
	return t
}

// value returns the new value of a claim's row; nil deletes the row.
func (l *Ledger) value(c *claim) []byte {
	if c.machine.State() == stateReleasing {
		return nil
	}
	return encode(c.row)
}

// send sends the batch's transaction, or an empty one with the same operation id if the batch is being fenced.
func (l *Ledger) send(b *batch) {
	b.sending = true
	t := b.txn
	if b.fencing {
		t = platform.Txn{Operation: b.txn.Operation}
	}
	l.effects = append(l.effects, Commit{t})
}

func (l *Ledger) resendDue(now time.Time) {
	for _, op := range slices.Clone(l.sendOrder) {
		b := l.batches[op]
		if b == nil || b.sending || now.Before(b.resendAt) {
			continue
		}
		// All claims of the batch are abandoned: fence the operation instead of sending it again.
		if !b.fencing && !slices.ContainsFunc(b.claims, notAbandoned) {
			b.fencing = true
		}
		l.send(b)
	}
}

func notAbandoned(c *claim) bool { return c.machine.State() != stateAbandoned }

// Committed processes the table's response to a Commit effect.
func (l *Ledger) Committed(now time.Time, op ids.Operation, res platform.Result, err error) []Effect {
	b := l.batches[op]
	if b == nil || !b.sending {
		return l.flush(now)
	}
	b.sending = false
	// A claim whose deadline passed while the response was in flight must not start.
	l.expireDue(now)
	var conflict *platform.ConflictError
	var unavailable *platform.UnavailableError
	switch {
	case err == nil:
		l.onApplied(now, b, res)
	case errors.As(err, &conflict):
		l.onConflict(now, b, conflict.Rows)
	case errors.As(err, &unavailable) && !b.unknown:
		l.removeBatch(b)
		l.fireAll(now, b, evUnavailable)
	default:
		l.retryLater(now, b)
	}
	return l.flush(now)
}

// retryLater schedules the resend of a batch whose original may still take effect.
func (l *Ledger) retryLater(now time.Time, b *batch) {
	if !b.unknown {
		b.unknown = true
		l.fireAll(now, b, evUnknown)
	}
	b.resendAt = now.Add(b.delay)
	b.delay = min(2*b.delay, maxResendDelay)
}

// onApplied removes a batch whose transaction or fence was applied. A result without the versions of the batch's puts
// is that of the fence.
func (l *Ledger) onApplied(now time.Time, b *batch, res platform.Result) {
	l.removeBatch(b)
	if len(res.Versions) != len(b.txn.Puts) {
		l.resolve(now, b, b.conflictRows)
		return
	}
	for i, c := range b.claims {
		c.version = res.Versions[i]
		l.fire(now, c, evApplied)
	}
}

// onConflict handles a transaction that was refused because rows of its claims exist already or
// have changed.
func (l *Ledger) onConflict(now time.Time, b *batch, rows []platform.Row) {
	// After a lost response the original may still arrive, and be applied if the conflicting rows are deleted by then.
	// Its claims would then be held by attempts that never start. So the operation is fenced before its claims are
	// decided.
	if b.unknown {
		b.conflictRows = rows
		b.fencing = true
		b.resendAt = now
		return
	}
	l.removeBatch(b)
	l.resolve(now, b, rows)
}

// resolve decides the claims of a transaction that was not applied. A claim whose row exists gets its verdict from that
// row; the others are queued again. This also applies to a row that names the same attempt: the attempt held it before,
// and a delayed duplicate of the attempt must not start a second time.
func (l *Ledger) resolve(now time.Time, b *batch, rows []platform.Row) {
	for _, c := range b.claims {
		i := slices.IndexFunc(rows, func(r platform.Row) bool { return r.Key == c.rowKey })
		if i < 0 {
			l.fire(now, c, evNotApplied)
			continue
		}
		c.conflictRow = rows[i]
		l.fire(now, c, evTaken)
	}
}

func (l *Ledger) fireAll(now time.Time, b *batch, ev charts.Event) {
	for _, c := range b.claims {
		if ev == evUnavailable {
			c.code = failure.CodeStoreUnavailable
		}
		l.fire(now, c, ev)
	}
}

func (l *Ledger) removeBatch(b *batch) {
	delete(l.batches, b.txn.Operation)
	l.sendOrder = slices.DeleteFunc(l.sendOrder, func(op ids.Operation) bool { return op == b.txn.Operation })
}
