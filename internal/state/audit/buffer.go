package audit

import (
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"
)

// Bounds of a node's buffer. At 1,800 changes a day a node writes some 2,000 rows a day, so they last for a day
// without the table; a storm of upstream changes is what can overflow it.
const (
	MaxRows  = 4096
	MaxBytes = 2 << 20
)

// Buffer keeps rows until they are in the table. When it is full the newest rows are lost, so that what is kept has no
// holes but one at its end, and one row tells how many were lost, and when. It is not safe for concurrent use.
type Buffer struct {
	// Actor is the node that an overflow is told of.
	Actor string
	rows  []*Row
	bytes int
	lost  int
	since time.Time
	until time.Time
}

// Add takes a row in; it reports whether there was room.
func (b *Buffer) Add(now time.Time, r *Row) bool {
	size := proto.Size(r)
	if b.lost > 0 || len(b.rows) >= MaxRows || b.bytes+size > MaxBytes {
		b.lose(now)
		return false
	}
	b.rows = append(b.rows, r)
	b.bytes += size
	return true
}

func (b *Buffer) lose(now time.Time) {
	if b.lost == 0 {
		b.since = now
	}
	b.lost++
	b.until = now
}

// Len is how many rows wait.
func (b *Buffer) Len() int { return len(b.rows) }

// Lost is how many rows were lost since the last overflow row.
func (b *Buffer) Lost() int { return b.lost }

// First returns up to n rows, the oldest first, and leaves them in the buffer.
func (b *Buffer) First(n int) []*Row { return b.rows[:min(n, len(b.rows))] }

// Drop removes the n oldest rows, which are in the table now. The overflow row takes the first room there is.
func (b *Buffer) Drop(n int) {
	for _, r := range b.rows[:n] {
		b.bytes -= proto.Size(r)
	}
	b.rows = append([]*Row(nil), b.rows[n:]...)
	if b.lost == 0 || n == 0 {
		return
	}
	r := b.overflow()
	b.rows = append(b.rows, r)
	b.bytes += proto.Size(r)
	b.lost = 0
}

func (b *Buffer) overflow() *Row {
	return &Row{
		UnixMs: b.until.UnixMilli(), Actor: b.Actor, Kind: KindOverflow, Subject: b.Actor,
		Reason: "the buffer was full while the table could not be written",
		Before: b.since.UTC().Format(time.RFC3339Nano),
		After:  fmt.Sprintf("%d rows lost until %s", b.lost, b.until.UTC().Format(time.RFC3339Nano)),
	}
}
