// Package writer writes the audit rows of a process to the platform's table and copies them to its object store. A row
// stays in memory until the table has confirmed it, and each row is written once even if responses are lost.
//
// Usage: w := writer.New(writer.Options{...}); go w.Run(ctx); w.Record(now, row) from any goroutine; w.Flush(ctx) as
// the last step of a shutdown.
package writer

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"

	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
	"github.com/cardamomyoke/cardamomyoke/internal/state/audit"
	"github.com/cardamomyoke/cardamomyoke/internal/state/platform"
)

const (
	// DefaultPeriod is the mean time between two writes of a node. All nodes put a revision in force within seconds of
	// each other. The period spreads the resulting rows, 1,140 at the target size, over half a minute.
	DefaultPeriod = 30 * time.Second
	// maxBatch is the maximum number of rows in one transaction.
	maxBatch = 64
	// rowsPerObject is the maximum number of rows in one archived object.
	rowsPerObject = 256
	// registerTries is the number of attempts per flush to append to the register, to which all nodes write, so that
	// they conflict with each other.
	registerTries = 8
)

// Options configures a Writer.
type Options struct {
	Node        string
	Incarnation ids.Incarnation
	Table       platform.Table
	// Objects is the store for archived rows; nil disables archiving.
	Objects platform.Objects
	// Period is the mean time between two writes; 0 selects DefaultPeriod.
	Period time.Duration
	Rand   *rand.Rand
	Logger log.Logger
}

// Writer writes the chain of one node's incarnation. Its methods are safe for concurrent use, and Record never blocks
// on I/O.
type Writer struct {
	o  Options
	mu sync.Mutex // guards buffer
	// buffer holds the rows that are not confirmed to be in the table.
	buffer audit.Buffer

	flushing   sync.Mutex // guards the fields below
	end        chainEnd
	registered bool
	// pending is a transaction whose outcome is unknown. It is sent again, unchanged, until the outcome is known.
	pending *batch
	// unarchived holds the rows that are in the table but not in an object yet.
	unarchived []*audit.Row
	// pendingObject is an object whose put is not confirmed. Each retry uses the same name and content.
	pendingObject *object
}

type batch struct {
	txn    platform.Txn
	next   chainEnd
	linked []*audit.Row
}

type object struct {
	name string
	data []byte
	rows int
}

// New returns a Writer for the chain named o.Incarnation.
func New(o Options) *Writer {
	if o.Period == 0 {
		o.Period = DefaultPeriod
	}
	if o.Logger == nil {
		o.Logger = log.NewNopLogger()
	}
	w := &Writer{o: o, end: chainEnd{Head: audit.Head{Chain: audit.Chain(o.Incarnation)}}}
	w.buffer.Actor = o.Node
	return w
}

// Record adds a copy of the row to the buffer. The time defaults to now and the actor to this node. Invalid UTF-8 in
// its texts is replaced.
func (w *Writer) Record(now time.Time, r *audit.Row) {
	r = proto.Clone(r).(*audit.Row)
	if r.UnixMs == 0 {
		r.UnixMs = now.UnixMilli()
	}
	if r.Actor == "" {
		r.Actor = w.o.Node
	}
	for _, text := range []*string{&r.Actor, &r.Reason, &r.Subject, &r.Before, &r.After, &r.OperationId} {
		*text = strings.ToValidUTF8(*text, "\uFFFD")
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.buffer.Add(now, r)
}

// Run flushes at random intervals with a mean of Options.Period until ctx is done. It archives rows
// only when at least rowsPerObject of them are unarchived or an earlier put failed.
func (w *Writer) Run(ctx context.Context) {
	for {
		// The delay is between half and one and a half periods, so that nodes do not write at the same time.
		delay := w.o.Period/2 + time.Duration(w.o.Rand.Int64N(int64(w.o.Period)))
		select {
		case <-time.After(delay):
		case <-ctx.Done():
			return
		}
		if err := w.flush(ctx, rowsPerObject); err != nil && ctx.Err() == nil {
			_ = level.Warn(w.o.Logger).Log("msg", "audit rows not written", "rows", w.Waiting(), "err", err)
		}
	}
}

// Waiting returns the number of rows that are not confirmed to be in the table.
func (w *Writer) Waiting() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.buffer.Len()
}

// Flush writes all rows of the buffer to the table and archives all unarchived rows. Rows that cannot be written stay
// in the buffer.
func (w *Writer) Flush(ctx context.Context) error { return w.flush(ctx, 1) }

func (w *Writer) flush(ctx context.Context, archiveFrom int) error {
	w.flushing.Lock()
	defer w.flushing.Unlock()
	for w.Waiting() > 0 {
		if err := w.register(ctx); err != nil {
			return err
		}
		if err := w.write(ctx); err != nil {
			return err
		}
	}
	if len(w.unarchived) >= archiveFrom || w.pendingObject != nil {
		return w.putObjects(ctx)
	}
	return nil
}

// register adds the chain to the register, in one transaction with the chain's head and before its first row. This way
// the removal of a full chain is detected. It is called only when there are rows, so a node that records nothing has no
// chain.
func (w *Writer) register(ctx context.Context) error {
	if w.registered {
		return nil
	}
	start := &audit.Row{
		UnixMs: time.Now().UnixMilli(), Actor: w.o.Node, Kind: audit.KindStarted, Subject: string(w.end.Chain),
		// Stored text; a life is an incarnation.
		Reason: "a new life of the node", OperationId: "audit-start-" + string(w.o.Incarnation),
	}
	var last error
	for range registerTries {
		// The chain's head exists if and only if an earlier attempt was applied, because both are one transaction.
		own, err := readEnd(ctx, w.o.Table, w.end.Chain)
		if err != nil {
			return err
		}
		if own.version > 0 {
			w.end, w.registered = own, true
			return nil
		}
		if last = w.commitRegistration(ctx, start, own); last != nil && !isConflict(last) && !isUnknown(last) {
			return last
		}
	}
	return last
}

func (w *Writer) commitRegistration(ctx context.Context, start *audit.Row, own chainEnd) error {
	register, err := readEnd(ctx, w.o.Table, audit.RegisterChain)
	if err != nil {
		return err
	}
	t, _, _ := appendTxn(register, []*audit.Row{start}, ids.NewOperation())
	t.Checks = append(t.Checks, platform.Check{Key: own.Chain.HeadKey()})
	t.Puts = append(t.Puts, platform.Put{Key: own.Chain.HeadKey(), Value: encode(own.Row())})
	if _, err = w.o.Table.Commit(ctx, t); err != nil {
		return fmt.Errorf("audit: register: %w", err)
	}
	return nil
}

// write writes the oldest rows of the buffer to the table, or retries the pending transaction.
func (w *Writer) write(ctx context.Context) error {
	b := w.pending
	if b == nil {
		b = w.nextBatch()
	}
	_, err := w.o.Table.Commit(ctx, b.txn)
	switch {
	case err == nil:
		w.onWritten(b)
		return nil
	case isUnknown(err):
		// The same rows in another transaction could be applied a second time, so this one is sent again unchanged.
		w.pending = b
	case isConflict(err):
		return w.resolve(ctx, b, err)
	default:
		if w.pending != nil {
			break // an earlier attempt may still have been applied
		}
	}
	return fmt.Errorf("audit: %w", err)
}

func (w *Writer) nextBatch() *batch {
	w.mu.Lock()
	rows := w.buffer.Peek(maxBatch)
	w.mu.Unlock()
	b := &batch{}
	b.txn, b.next, b.linked = appendTxn(w.end, rows, ids.NewOperation())
	return b
}

func (w *Writer) onWritten(b *batch) {
	w.mu.Lock()
	w.buffer.Drop(len(b.linked))
	w.mu.Unlock()
	w.end, w.pending = b.next, nil
	if w.o.Objects != nil {
		w.unarchived = append(w.unarchived, b.linked...)
	}
}

// resolve determines whether a batch that was refused with a conflict had been applied before. No other node writes
// this chain: if its head is not the one after the batch, the chain was tampered with, and resolve returns an error.
func (w *Writer) resolve(ctx context.Context, b *batch, conflict error) error {
	now, err := readEnd(ctx, w.o.Table, w.end.Chain)
	if err != nil {
		w.pending = b
		return err
	}
	if now.Seq == b.next.Seq && bytes.Equal(now.Hash, b.next.Hash) {
		b.next.version = now.version
		w.onWritten(b)
		return nil
	}
	return fmt.Errorf("audit: chain was modified by another writer: %w", conflict)
}

// putObjects copies the unarchived rows to the object store. The rows stay in the table.
func (w *Writer) putObjects(ctx context.Context) error {
	for w.pendingObject != nil || len(w.unarchived) > 0 {
		if w.pendingObject == nil {
			w.pendingObject = encodeObject(w.unarchived[:min(rowsPerObject, len(w.unarchived))])
		}
		if err := w.o.Objects.PutObject(ctx, w.pendingObject.name, w.pendingObject.data); err != nil {
			w.trimUnarchived()
			return fmt.Errorf("audit: archive: %w", err)
		}
		w.unarchived = w.unarchived[w.pendingObject.rows:]
		w.pendingObject = nil
	}
	return nil
}

// trimUnarchived bounds the memory during a long outage of the object store. Rows beyond the bound of the buffer are
// never archived and are in the table only. Their sequence numbers are missing between the names of two objects.
func (w *Writer) trimUnarchived() {
	over := len(w.unarchived) - audit.MaxRows
	if over <= 0 {
		return
	}
	packed := w.pendingObject.rows
	w.unarchived = append(w.unarchived[:packed:packed], w.unarchived[packed+over:]...)
	_ = level.Warn(w.o.Logger).Log("msg", "audit rows not archived; they are in the table only", "rows", over)
}

// ObjectName returns the name of the object with the rows of a chain from sequence number first to last.
func ObjectName(chain audit.Chain, first, last string) string {
	return fmt.Sprintf("audit/%s/%s-%s", chain, first, last)
}

func encodeObject(rows []*audit.Row) *object {
	var data bytes.Buffer
	for _, r := range rows {
		if _, err := protodelim.MarshalTo(&data, r); err != nil {
			panic(err) // encode has marshalled the same rows already
		}
	}
	first, last := rows[0].GetKey(), rows[len(rows)-1].GetKey()
	chain, _, _ := strings.Cut(strings.TrimPrefix(first, audit.RowPrefix), "/")
	name := ObjectName(audit.Chain(chain), first[strings.LastIndex(first, "/")+1:], last[strings.LastIndex(last, "/")+1:])
	return &object{name, data.Bytes(), len(rows)}
}

// ReadObject returns the rows of an archived object. A *CorruptError reports that the object cannot be decoded.
func ReadObject(ctx context.Context, objects platform.Objects, name string) ([]*audit.Row, error) {
	data, err := objects.GetObject(ctx, name)
	if err != nil {
		return nil, fmt.Errorf("audit: archive: %w", err)
	}
	var out []*audit.Row
	in := bytes.NewReader(data)
	for in.Len() > 0 {
		r := &audit.Row{}
		if err := protodelim.UnmarshalFrom(in, r); err != nil {
			return nil, &CorruptError{name, err}
		}
		out = append(out, r)
	}
	return out, nil
}
