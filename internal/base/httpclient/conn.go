package httpclient

import (
	"bufio"
	"hash/maphash"
	"net"
	"slices"
	"time"
)

const (
	readBufferBytes = 8 << 10
	// maxInlineBody is the size in bytes of the largest request body that is written before the response is read. It fits
	// the smallest send buffer in use, so the write does not block on a peer that responds before it reads the body.
	maxInlineBody = 4 << 10
	// maxCarried is the number of requests after which a connection is closed, since it remembers the id of each.
	maxCarried = 256
)

// idSeed is the seed of the hashes by which connections remember ids.
var idSeed = maphash.MakeSeed()

// clientConn is a connection with its buffers and what it has carried.
type clientConn struct {
	net.Conn
	to       peer
	in       boundedReader
	reader   *bufio.Reader
	writer   *bufio.Writer
	openedAt time.Time
	// carried counts the requests on the connection, ids holds the hashes of their ids.
	carried int
	ids     []uint64
	// skipped is set once something arrived that was not the answer to the latest request.
	skipped   bool
	idleSince time.Time
	// idleTimeout is how long the connection may be idle before it is no longer reused. The peer's Keep-Alive header
	// replaces it, bounded by Options.IdleTimeout.
	idleTimeout time.Duration
}

func newConn(conn net.Conn, to peer, idleTimeout time.Duration) *clientConn {
	c := &clientConn{Conn: conn, to: to, openedAt: time.Now(), idleTimeout: idleTimeout}
	c.in.conn = conn
	c.reader = bufio.NewReaderSize(&c.in, readBufferBytes)
	c.writer = bufio.NewWriterSize(conn, readBufferBytes)
	return c
}

// fresh reports whether the peer may be expected to keep the idle connection open.
func (c *clientConn) fresh(now time.Time) bool { return now.Sub(c.idleSince) < c.idleTimeout }

// hasCarried reports whether a request with the id may have been sent on the connection; rarely also for one that was not.
func (c *clientConn) hasCarried(id string) bool {
	return slices.Contains(c.ids, maphash.String(idSeed, id))
}

// mayCarry returns an error if the request must not be written: its reason has ceased to hold while the connection was
// established, or the new connection is unusable.
func (c *clientConn) mayCarry(x *Exchange) error {
	if x.MayWrite != nil {
		if err := x.MayWrite(); err != nil {
			return err
		}
	}
	if c.carried == 0 && !idleAndOpen(c.Conn) {
		return &DialError{c.to.address, &UnusableConnectionError{}}
	}
	return nil
}

// begin records that the connection carries a request with the id.
func (c *clientConn) begin(id string) {
	c.carried++
	if id != "" {
		c.ids = append(c.ids, maphash.String(idSeed, id))
	}
}

// isFirst reports whether the connection has carried one request and nothing that is not its answer.
func (c *clientConn) isFirst() bool { return c.carried == 1 && !c.skipped }

// reusable reports whether the connection may carry another request once the answer to the latest was read to its end.
func (c *clientConn) reusable() bool {
	return !c.skipped && c.carried < maxCarried && c.reader.Buffered() == 0
}

// boundedReader reads from a connection, at most left bytes while bounded is set.
type boundedReader struct {
	conn    net.Conn
	bounded bool
	left    int
	// failure is the latest error of the connection.
	failure error
}

// Read implements io.Reader. Errors: *UnansweredError, those of the connection.
func (r *boundedReader) Read(p []byte) (int, error) {
	if r.bounded && r.left <= 0 {
		return 0, &UnansweredError{Bytes: maxUnansweredBytes}
	}
	n, err := r.conn.Read(p)
	r.left -= n
	if err != nil {
		r.failure = err
	}
	return n, err
}

// bound allows n more bytes; 0 allows any number.
func (r *boundedReader) bound(n int) { r.bounded, r.left = n > 0, n }
