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

const (
	slowCallers, unreadTotal, unreadPiece = 8, 128 << 10, 4 << 10
	// mostUnread is what slow callers may leave unread together: the total, and two pieces each, which is minUnreadBytes.
	mostUnread = unreadTotal + 2*slowCallers*unreadPiece
)

// acceptedOfSlowCallers starts responses to slowCallers callers and returns how many bytes Write accepts of all of them while the event loop is
// busy. Responses are written at once, or each after the handler of the one before has returned.
func acceptedOfSlowCallers(t *testing.T, atOnce bool) int {
	t.Helper()
	loopBusy, written := make(chan struct{}), make(chan int, slowCallers)
	var arrived sync.WaitGroup
	arrived.Add(slowCallers)
	turn := make(chan struct{}, slowCallers)
	turn <- struct{}{}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := l.Addr().String()
	_ = l.Close()
	s, err := Start(address, 1, Limits{MaxUnreadBytes: unreadTotal, MaxUnreadTotal: unreadTotal}, func(_ context.Context, x *Exchange) {
		arrived.Done()
		arrived.Wait()
		_ = x.conn.gc.EventLoop().Execute(context.Background(), gnet.RunnableFunc(func(context.Context) error { <-loopBusy; return nil }))
		if !atOnce {
			<-turn
		}
		ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
		defer cancel()
		_ = x.Stream(http.StatusOK, nil)
		n := 0
		for ctx.Err() == nil && x.Write(ctx, make([]byte, unreadPiece)) == nil {
			n += unreadPiece
		}
		written <- n
	})
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = s.Stop(context.Background()) }()
	for range slowCallers {
		c, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = c.Close() }()
		_, _ = io.WriteString(c, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	}
	sum := 0
	for i := range slowCallers {
		sum += <-written
		if !atOnce {
			waitForBusy(t, s, slowCallers-1-i)
			turn <- struct{}{}
		}
	}
	close(loopBusy)
	waitForUnread(t, s, 0)
	return sum
}

func waitForBusy(t *testing.T, s *Server, want int) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); s.Busy() > want; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d requests run, want %d", s.Busy(), want)
		}
	}
}

func waitForUnread(t *testing.T, s *Server, want int64) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); s.unread.Load() != want; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d bytes count as unread, want %d", s.unread.Load(), want)
		}
	}
}

// Guards against callers that read slowly and together fill the memory, each with as much as one may leave unread.
func TestCallersShareUnreadBytes(t *testing.T) {
	if sum := acceptedOfSlowCallers(t, true); sum > mostUnread {
		t.Fatalf("%d bytes of all callers were accepted while the event loop was busy, want %d at most", sum, mostUnread)
	}
}

// Guards against the same with callers whose handlers have returned: their responses are still in memory.
func TestCallersShareUnreadBytesAfterHandlersReturned(t *testing.T) {
	if sum := acceptedOfSlowCallers(t, false); sum > mostUnread {
		t.Fatalf("%d bytes of all callers were accepted while the event loop was busy, want %d at most", sum, mostUnread)
	}
}

// Guards against bytes that count as unread for ever, so that all callers get their responses in small parts.
func TestUnreadBytesOfClosedConnectionsDoNotCount(t *testing.T) {
	started := make(chan struct{}, 1)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := l.Addr().String()
	_ = l.Close()
	s, err := Start(address, 1, Limits{MaxUnreadBytes: 4 << 20, MaxUnreadTotal: 64 << 20}, func(ctx context.Context, x *Exchange) {
		_ = x.Stream(http.StatusOK, nil)
		for n := 0; x.Write(ctx, make([]byte, 64<<10)) == nil; n++ {
			if n == 20 {
				started <- struct{}{}
			}
		}
	})
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = s.Stop(context.Background()) }()
	for range 20 {
		c, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		_, _ = io.WriteString(c, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
		<-started
		_ = c.Close()
	}
	waitForUnread(t, s, 0)
}

// socket is a connection of which the socket has accepted all bytes.
type socket struct{ gnet.Conn }

func (socket) OutboundBuffered() int { return 0 }

// Guards against bytes that an event loop did not fetch before it ended, and that count as unread for as long as the server runs.
func TestBytesOfClosedConnectionAreNotUnread(t *testing.T) {
	s := &Server{}
	c := &conn{srv: s, gc: socket{}}
	piece := []byte("piece")
	s.unread.Add(int64(len(piece)))
	c.out.add(piece)
	c.onClosed(nil)
	if n := s.unread.Load(); n != 0 || c.out.size() != 0 {
		t.Errorf("%d bytes are unread, %d in the outbox", n, c.out.size())
	}
}
