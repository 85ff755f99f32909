package httpserver

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/panjf2000/gnet/v2"
)

// text returns the bytes of blocks.
func text(list []*block) string {
	var out strings.Builder
	for _, b := range list {
		out.Write(b.bytes())
	}
	return out.String()
}

// Guards against sending bytes of later pieces in place of earlier ones. A long stream goes on, in bursts of one block or
// many, while the event loop sends the next piece; the blocks that are being sent must not be reused.
func TestFlushedBufferIsNotOverwritten(t *testing.T) {
	var o, other outbox
	for round := range 100 {
		var sending []*block
		want := ""
		for i, size := range []int{5, 3 * blockBytes, blockBytes, 1, blockBytes + 1} {
			piece := strings.Repeat(string(rune('a'+(round+i)%26)), size)
			o.add([]byte(piece), []byte("|"))
			if got := text(sending); got != want {
				t.Fatalf("%.20q was overwritten: %.20q", want, got)
			}
			recycle(sending)
			other.add([]byte(strings.Repeat("!", 2*size))) // on another connection, from the shared blocks
			sending, want = o.take(), piece+"|"
			if got := text(sending); got != want {
				t.Fatalf("got %.20q, %d bytes, want %.20q, %d bytes", got, len(got), want, len(want))
			}
			if left := o.size(); left != 0 {
				t.Fatalf("%d bytes are left", left)
			}
		}
		recycle(sending)
		recycle(other.take())
	}
}

// Guards against a writer that fills the memory while the event loop is busy, because only what the socket has not taken is bounded.
func TestWriteWaitsForBusyEventLoop(t *testing.T) {
	const limit, piece = 64 << 10, 16 << 10
	loopBusy, written := make(chan struct{}), make(chan int, 1)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := l.Addr().String()
	_ = l.Close()
	s, err := Start(address, 1, Limits{MaxUnreadBytes: limit}, func(_ context.Context, x *Exchange) {
		_ = x.conn.gc.EventLoop().Execute(context.Background(), gnet.RunnableFunc(func(context.Context) error { <-loopBusy; return nil }))
		ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
		defer cancel()
		_ = x.Stream(http.StatusOK, nil)
		n := 0
		for ctx.Err() == nil && n < 100*limit && x.Write(ctx, make([]byte, piece)) == nil {
			n += piece
		}
		written <- n
	})
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = s.Stop(context.Background()) }()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	_, _ = io.WriteString(c, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	n := <-written
	close(loopBusy)
	if n > 2*limit {
		t.Fatalf("%d bytes were accepted while the event loop was busy", n)
	}
}

// Guards against callers that read slowly and together fill the memory, each with as much as one may leave unread.
func TestCallersShareUnreadBytes(t *testing.T) {
	const callers, total, piece = 8, 128 << 10, 4 << 10
	loopBusy, written := make(chan struct{}), make(chan int, callers)
	var arrived sync.WaitGroup
	arrived.Add(callers)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := l.Addr().String()
	_ = l.Close()
	s, err := Start(address, 1, Limits{MaxUnreadBytes: total, MaxUnreadTotal: total}, func(_ context.Context, x *Exchange) {
		arrived.Done()
		arrived.Wait()
		_ = x.conn.gc.EventLoop().Execute(context.Background(), gnet.RunnableFunc(func(context.Context) error { <-loopBusy; return nil }))
		ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
		defer cancel()
		_ = x.Stream(http.StatusOK, nil)
		n := 0
		for ctx.Err() == nil && x.Write(ctx, make([]byte, piece)) == nil {
			n += piece
		}
		written <- n
	})
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = s.Stop(context.Background()) }()
	for range callers {
		c, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = c.Close() }()
		_, _ = io.WriteString(c, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	}
	sum := 0
	for range callers {
		sum += <-written
	}
	close(loopBusy)
	if most := total + 2*callers*piece; sum > most {
		t.Fatalf("%d bytes of all callers were accepted while the event loop was busy, want %d at most", sum, most)
	}
}
