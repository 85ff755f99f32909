package audit

import (
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"
)

// Bounds of a node's buffer. At 1,800 changes per day a node writes about 2,000 rows per day, so the buffer covers a
// table outage of a day. Very frequent state changes of upstreams can overflow it earlier.
const (
	MaxRows  = 4096
	MaxBytes = 2 << 20
)

// Buffer holds rows until they are in the table. While it is full, new rows are dropped, so that the only gap is at the
// end of the retained rows. An overflow row records how many rows were lost, and when. Buffer is not safe for
// concurrent use.
type Buffer struct {
	// Actor is the node that overflow rows name.
	Actor string
	rows  []*Row
	bytes int
	lost  int
	since time.Time
	until time.Time
}

// Add appends a row. It reports whether there was capacity for it; if not, the row is lost. Once a row is lost, Add
// drops all rows until Drop has appended the overflow row.
func (b *Buffer) Add(now time.Time, r *Row) bool {
	size := proto.Size(r)
	if b.lost > 0 || len(b.rows) >= MaxRows || b.bytes+size > MaxBytes {
		b.recordLoss(now)
		return false
	}
	b.rows = append(b.rows, r)
	b.bytes += size
	return true
}

func (b *Buffer) recordLoss(now time.Time) {
	if b.lost == 0 {
		b.since = now
	}
	b.lost++
	b.until = now
}

// Len returns the number of rows in the buffer.
func (b *Buffer) Len() int { return len(b.rows) }

// Lost returns the number of rows lost since the last overflow row.
func (b *Buffer) Lost() int { return b.lost }

// Peek returns the oldest rows, up to n, and leaves them in the buffer.
func (b *Buffer) Peek(n int) []*Row { return b.rows[:min(n, len(b.rows))] }

// Drop removes the n oldest rows after they were written to the table. If rows were lost, it appends the overflow row
// in the freed capacity.
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
