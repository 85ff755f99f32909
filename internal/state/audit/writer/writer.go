// Package writer puts audit rows in the platform's table and copies them to its object store.
//
// Wiring: w := writer.New(writer.Options{...}); go w.Run(ctx); w.Record(now, row) from anywhere; w.Flush(ctx) as the last
// step of a shutdown.
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
	// DefaultPeriod is the mean time between two writes of a node. All nodes put a revision in force within seconds;
	// the period spreads their proofs, 1,140 rows at the target size, over half a minute.
	DefaultPeriod = 30 * time.Second
	// maxBatch is how many rows go into one transaction.
	maxBatch = 64
	// archiveRows is how many rows go into one object.
	archiveRows = 256
	// registerTries bounds the races for the end of the register within one flush.
	registerTries = 8
)

// Options are what a Writer is built from.
type Options struct {
	Node        string
	Incarnation ids.Incarnation
	Table       platform.Table
	// Objects takes the archive; nil: there is none.
	Objects platform.Objects
	// Period is DefaultPeriod if it is 0.
	Period time.Duration
	Rand   *rand.Rand
	Logger log.Logger
}

// Writer writes one node's chain. Record is safe for concurrent use and never waits.
type Writer struct {
	o  Options
	mu sync.Mutex // guards buffer
	// buffer holds what is not known to be in the table.
	buffer audit.Buffer

	flushing sync.Mutex // guards all below
	end      end
	started  bool
	// underWay is a transaction whose outcome is unknown; it is sent again, unchanged, until it is known.
	underWay *batch
	// archive are rows that are in the table and in no object yet.
	archive []*audit.Row
	// object is an object whose put is not known to have succeeded; its name and content stay the same.
	object *object
}

type batch struct {
	txn    platform.Txn
	next   end
	linked []*audit.Row
}

type object struct {
	name string
	data []byte
	rows int
}

// New returns a writer.
func New(o Options) *Writer {
	if o.Period == 0 {
		o.Period = DefaultPeriod
	}
	if o.Logger == nil {
		o.Logger = log.NewNopLogger()
	}
	w := &Writer{o: o, end: end{Head: audit.Head{Chain: audit.Chain(o.Incarnation)}}}
	w.buffer.Actor = o.Node
	return w
}

// Record takes a row in; its time is now if it has none, and its actor this node.
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

// Run flushes from time to time until ctx ends.
func (w *Writer) Run(ctx context.Context) {
	for {
		// Between half and one and a half periods, so that nodes do not write together.
		pause := w.o.Period/2 + time.Duration(w.o.Rand.Int64N(int64(w.o.Period)))
		select {
		case <-time.After(pause):
		case <-ctx.Done():
			return
		}
		if err := w.flush(ctx, archiveRows); err != nil && ctx.Err() == nil {
			_ = level.Warn(w.o.Logger).Log("msg", "audit waits", "rows", w.Waiting(), "err", err)
		}
	}
}

// Waiting is how many rows are not known to be in the table.
func (w *Writer) Waiting() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.buffer.Len()
}

// Flush writes all that waits and archives the rest. What cannot be written stays in the buffer.
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
	if len(w.archive) >= archiveFrom || w.object != nil {
		return w.putObjects(ctx)
	}
	return nil
}

// register names the chain in the register before its first row is written, together with its head: a whole chain that
// goes missing later is noticed. A chain begins with the first row, so a node that records nothing leaves no trace.
func (w *Writer) register(ctx context.Context) error {
	if w.started {
		return nil
	}
	start := &audit.Row{
		UnixMs: time.Now().UnixMilli(), Actor: w.o.Node, Kind: audit.KindStarted, Subject: string(w.end.Chain),
		Reason: "a new life of the node", OperationId: "audit-start-" + string(w.o.Incarnation),
	}
	var last error
	for range registerTries {
		// Whether an earlier try was applied is seen by the chain's head, which is written with it.
		own, err := readEnd(ctx, w.o.Table, w.end.Chain)
		if err != nil {
			return err
		}
		if own.version > 0 {
			w.end, w.started = own, true
			return nil
		}
		if last = w.enter(ctx, start, own); last != nil && !isConflict(last) && !isUnknown(last) {
			return last
		}
	}
	return last
}

func (w *Writer) enter(ctx context.Context, start *audit.Row, own end) error {
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

// write puts the oldest rows in the table.
func (w *Writer) write(ctx context.Context) error {
	b := w.underWay
	if b == nil {
		b = w.nextBatch()
	}
	_, err := w.o.Table.Commit(ctx, b.txn)
	switch {
	case err == nil:
		w.written(b)
		return nil
	case isUnknown(err):
		// Sent again with other rows it could be applied twice, and the chain would hold one row two times.
		w.underWay = b
	case isConflict(err):
		return w.resolve(ctx, b, err)
	default:
		if w.underWay != nil {
			break // an earlier try may still have been applied
		}
	}
	return fmt.Errorf("audit: %w", err)
}

func (w *Writer) nextBatch() *batch {
	w.mu.Lock()
	rows := w.buffer.First(maxBatch)
	w.mu.Unlock()
	b := &batch{}
	b.txn, b.next, b.linked = appendTxn(w.end, rows, ids.NewOperation())
	return b
}

func (w *Writer) written(b *batch) {
	w.mu.Lock()
	w.buffer.Drop(len(b.linked))
	w.mu.Unlock()
	w.end, w.underWay = b.next, nil
	if w.o.Objects != nil {
		w.archive = append(w.archive, b.linked...)
	}
}

// resolve finds out whether a batch that met a conflict was applied before. Nobody else writes this chain: if its head
// is another one, somebody changed it, and the writer leaves it as it is.
func (w *Writer) resolve(ctx context.Context, b *batch, conflict error) error {
	now, err := readEnd(ctx, w.o.Table, w.end.Chain)
	if err != nil {
		w.underWay = b
		return err
	}
	if now.Seq == b.next.Seq && bytes.Equal(now.Hash, b.next.Hash) {
		b.next.version = now.version
		w.written(b)
		return nil
	}
	return fmt.Errorf("audit: the chain was changed by somebody else: %w", conflict)
}

// putObjects copies rows to the object store. The rows stay in the table.
func (w *Writer) putObjects(ctx context.Context) error {
	for w.object != nil || len(w.archive) > 0 {
		if w.object == nil {
			w.object = pack(w.archive[:min(archiveRows, len(w.archive))])
		}
		if err := w.o.Objects.PutObject(ctx, w.object.name, w.object.data); err != nil {
			w.dropArchive()
			return fmt.Errorf("audit: archive: %w", err)
		}
		w.archive = w.archive[w.object.rows:]
		w.object = nil
	}
	return nil
}

// dropArchive bounds the memory during a long outage of the object store: rows over the buffer's bound are in the table
// only. Their numbers are missing between the names of two objects.
func (w *Writer) dropArchive() {
	over := len(w.archive) - audit.MaxRows
	if over <= 0 {
		return
	}
	kept := w.object.rows
	w.archive = append(w.archive[:kept:kept], w.archive[kept+over:]...)
	_ = level.Warn(w.o.Logger).Log("msg", "audit rows are in the table only", "rows", over)
}

// ObjectName is the name of the object with the rows first to last of a chain.
func ObjectName(chain audit.Chain, first, last string) string {
	return fmt.Sprintf("audit/%s/%s-%s", chain, first, last)
}

func pack(rows []*audit.Row) *object {
	var data bytes.Buffer
	for _, r := range rows {
		if _, err := protodelim.MarshalTo(&data, r); err != nil {
			panic(err) // encode has marshalled the same rows before
		}
	}
	first, last := rows[0].GetKey(), rows[len(rows)-1].GetKey()
	chain, _, _ := strings.Cut(strings.TrimPrefix(first, audit.RowPrefix), "/")
	name := ObjectName(audit.Chain(chain), first[strings.LastIndex(first, "/")+1:], last[strings.LastIndex(last, "/")+1:])
	return &object{name, data.Bytes(), len(rows)}
}

// ReadObject reads the rows of an archived object.
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
