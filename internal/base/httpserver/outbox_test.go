package httpserver

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/panjf2000/gnet/v2"
)

// Guards against sending bytes of later pieces in place of earlier ones. A burst of a long stream outgrows the buffer
// kept for reuse, and the stream goes on while the event loop sends the next piece; the buffer that is being sent must
// not be reused.
func TestFlushedBufferIsNotOverwritten(t *testing.T) {
	var o outbox
	send := func(text string, during string) {
		t.Helper()
		o.add([]byte(text))
		buf := o.take()
		o.add([]byte(during))
		if !bytes.Equal(buf, []byte(text)) {
			t.Fatalf("%.20q was overwritten: %.20q", text, buf)
		}
		o.recycle(buf)
		if got := o.take(); string(got) != during {
			t.Fatalf("got %.20q, want %.20q", got, during)
		}
	}
	large := strings.Repeat("large", maxSpare)
	for range 3 {
		send("first", "second")
		// The buffer of the large burst is not kept for reuse.
		o.add([]byte(large))
		first := o.take()
		o.add([]byte("third"))
		o.recycle(first)
		second := o.take()
		o.add([]byte("FOURTH"))
		if string(second) != "third" {
			t.Fatalf("third was overwritten: %q", second)
		}
		o.recycle(second)
		o.take()
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
