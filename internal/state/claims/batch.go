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

// batch is one transaction until the table has told what became of it.
type batch struct {
	txn    platform.Txn
	claims []*claim
	// sending is set while an answer is awaited.
	sending bool
	// unknown is set once an answer was lost: from then on the original may still take effect.
	unknown bool
	// fencing is set once the operation is to be taken by an empty transaction.
	fencing bool
	// conflict holds the rows of a conflict that came after a lost answer, until the fence is in place.
	conflict []platform.Row
	resendAt time.Time
	delay    time.Duration
}

// Tick does what is due at now.
func (l *Ledger) Tick(now time.Time) []Effect { return l.flush(now) }

// Next returns when Tick has something to do, and false if only an event can bring something.
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

// expires reports whether the deadline of a claim still matters.
func expires(c *claim) bool {
	switch c.machine.State() {
	case stateAbandoned, stateRunning, stateStoring, stateReleasing, stateEnded:
		return false
	}
	return true
}

// nextSend returns when the next transaction of queued writes may be sent.
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

// flush expires claims, sends what is due and returns all effects since the last call.
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
		if expires(c) && now.Before(c.req.Deadline) {
			return
		}
		heap.Pop(&l.deadlines)
		if expires(c) {
			l.expire(c, failure.CodeDeadlineUnmet)
		}
	}
}

// prune forgets attempts whose copies are refused by their deadline alone.
func (l *Ledger) prune(now time.Time) {
	if now.Before(l.pruneAt) {
		return
	}
	l.pruneAt = now.Add(pruneInterval)
	for a, r := range l.past {
		if now.After(r.until) {
			delete(l.past, a)
		}
	}
}

// byDeadline is a heap of claims, the earliest deadline first.
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

// sendBatch sends the oldest queued writes as one transaction; it reports whether there were any.
func (l *Ledger) sendBatch(now time.Time) bool {
	items := l.take()
	if len(items) == 0 {
		return false
	}
	b := &batch{claims: items, delay: l.opts.ResendDelay}
	b.txn = l.buildTxn(items)
	for _, c := range items {
		l.fire(now, c, evSent)
	}
	l.batches[b.txn.Operation] = b
	l.order = append(l.order, b.txn.Operation)
	l.lastSent = now
	l.send(b)
	return true
}

// take removes up to MaxBatch live writes from the queues, claims first.
func (l *Ledger) take() []*claim {
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
	// One list for each transaction lets the sweeper find what has expired without reading every claim.
	if len(list.GetKeys()) > 0 {
		key := batchKey(time.UnixMilli(expire), t.Operation)
		t.Puts = append(t.Puts, platform.Put{Key: key, Value: encode(list)})
	}
	return t
}

// value returns what a claim's row is to hold; nil deletes it.
func (l *Ledger) value(c *claim) []byte {
	if c.machine.State() == stateReleasing {
		return nil
	}
	return encode(c.row)
}

// send sends a batch's transaction, or an empty one in its place if it is to be fenced.
func (l *Ledger) send(b *batch) {
	b.sending = true
	t := b.txn
	if b.fencing {
		t = platform.Txn{Operation: b.txn.Operation}
	}
	l.effects = append(l.effects, Commit{t})
}

func (l *Ledger) resendDue(now time.Time) {
	for _, op := range slices.Clone(l.order) {
		b := l.batches[op]
		if b == nil || b.sending || now.Before(b.resendAt) {
			continue
		}
		// Nobody waits for the claims any more: take the operation's place instead of claiming in vain.
		if !b.fencing && !slices.ContainsFunc(b.claims, wanted) {
			b.fencing = true
		}
		l.send(b)
	}
}

func wanted(c *claim) bool { return c.machine.State() != stateAbandoned }

// Committed takes in the table's answer to a Commit effect.
func (l *Ledger) Committed(now time.Time, op ids.Operation, res platform.Result, err error) []Effect {
	b := l.batches[op]
	if b == nil || !b.sending {
		return l.flush(now)
	}
	b.sending = false
	// A claim whose deadline passed while its answer was on the way must not start.
	l.expireDue(now)
	var conflict *platform.ConflictError
	var unavailable *platform.UnavailableError
	switch {
	case err == nil:
		l.settled(now, b, res)
	case errors.As(err, &conflict):
		l.conflicted(now, b, conflict.Rows)
	case errors.As(err, &unavailable) && !b.unknown:
		l.end(b)
		l.fireAll(now, b, evUnavailable)
	default:
		l.retryLater(now, b)
	}
	return l.flush(now)
}

// retryLater keeps a batch whose original may still take effect.
func (l *Ledger) retryLater(now time.Time, b *batch) {
	if !b.unknown {
		b.unknown = true
		l.fireAll(now, b, evUnknown)
	}
	b.resendAt = now.Add(b.delay)
	b.delay = min(2*b.delay, maxResendDelay)
}

// settled ends a batch whose transaction, or the fence in its place, was applied.
func (l *Ledger) settled(now time.Time, b *batch, res platform.Result) {
	l.end(b)
	if len(res.Versions) != len(b.txn.Puts) {
		l.resolve(now, b, b.conflict)
		return
	}
	for i, c := range b.claims {
		c.version = res.Versions[i]
		l.fire(now, c, evApplied)
	}
}

// conflicted handles a transaction that was refused because rows were taken.
func (l *Ledger) conflicted(now time.Time, b *batch, rows []platform.Row) {
	// After a lost answer the original may still arrive and be applied, if the rows in its way are gone by then. Its
	// claims would belong to nobody, so the operation is fenced before anything is decided.
	if b.unknown {
		b.conflict = rows
		b.fencing = true
		b.resendAt = now
		return
	}
	l.end(b)
	l.resolve(now, b, rows)
}

// resolve decides the claims of a transaction that was not applied: those whose rows are taken are answered from
// them, the others did nothing wrong and are queued again. A row that names this very attempt is taken as well: the
// attempt held it before, and a late copy of the attempt must not start a second time.
func (l *Ledger) resolve(now time.Time, b *batch, rows []platform.Row) {
	for _, c := range b.claims {
		i := slices.IndexFunc(rows, func(r platform.Row) bool { return r.Key == c.rowKey })
		if i < 0 {
			l.fire(now, c, evNotApplied)
			continue
		}
		c.found = rows[i]
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

func (l *Ledger) end(b *batch) {
	delete(l.batches, b.txn.Operation)
	l.order = slices.DeleteFunc(l.order, func(op ids.Operation) bool { return op == b.txn.Operation })
}
