package httpserver

import (
	"context"
	"time"

	"github.com/panjf2000/gnet/v2"
)

const (
	// untilClose is the content length of a body that ends with its connection. fasthttp's own value for that, -2, adds the
	// obsolete coding "identity", which callers reject.
	untilClose = -2
	// loopPollInterval is how often a task that waits for the event loop looks whether its connection is closed.
	loopPollInterval = 100 * time.Millisecond
	// resetOnClose and flushOnClose are values of SO_LINGER: close resets the connection, or delivers all bytes first.
	resetOnClose = 0
	flushOnClose = -1
)

// StreamUntilClose starts a response without a length or chunks, whose body is sent by Write and ends when the connection is
// closed. Its caller is promised no more than an upstream that sends such a response. Errors: *ConnectionClosedError.
//
// Until End was called, the connection is reset when it is closed for any reason, even if this process is killed: the caller
// would take a close in mid-body for the end of the body.
func (x *Exchange) StreamUntilClose(status int, headers []Header) error {
	x.responded, x.streaming, x.untilClose, x.close = true, true, true, true
	if !x.conn.onLoop(func(gc gnet.Conn) bool { return gc.SetLinger(resetOnClose) == nil }) {
		return &ConnectionClosedError{"connection cannot be set to reset on close"}
	}
	return x.conn.write(x.header(status, headers, untilClose))
}

// RespondUntilClose sends a complete response without a length, as StreamUntilClose does. Errors: *ConnectionClosedError.
func (x *Exchange) RespondUntilClose(ctx context.Context, status int, headers []Header, body []byte) error {
	if err := x.StreamUntilClose(status, headers); err != nil {
		return err
	}
	if err := x.Write(ctx, body); err != nil {
		return err
	}
	return x.End()
}

// endByClose waits until the socket has accepted the whole body, so that closing the connection ends the body where it ends.
// Errors: *ConnectionClosedError.
func (x *Exchange) endByClose() error {
	for !x.conn.onLoop(x.conn.allSent) {
		if x.conn.disconnected.Load() {
			return &ConnectionClosedError{"connection closed before the end of the body was sent"}
		}
		time.Sleep(unreadPollInterval)
	}
	x.streaming = false
	return nil
}

// allSent reports whether the socket has accepted all bytes and the connection will be closed without a reset. It runs on the
// event loop.
func (c *conn) allSent(gc gnet.Conn) bool {
	return c.out.size() == 0 && gc.OutboundBuffered() == 0 && gc.SetLinger(flushOnClose) == nil
}

// onLoop runs f on the event loop and returns its result, or false if the connection is closed. It waits for as long as the event loop is
// busy: to give up would lose the answer of a caller that is still connected. An event loop that ends closes its connections first and runs
// no more tasks.
func (c *conn) onLoop(f func(gnet.Conn) bool) bool {
	result := make(chan bool, 1)
	task := gnet.RunnableFunc(func(context.Context) error {
		result <- !c.disconnected.Load() && f(c.gc)
		return nil
	})
	if c.disconnected.Load() || c.gc.EventLoop().Execute(context.Background(), task) != nil {
		return false
	}
	ticker := time.NewTicker(loopPollInterval)
	defer ticker.Stop()
	for {
		select {
		case ok := <-result:
			return ok
		case <-ticker.C:
			if c.disconnected.Load() {
				return false
			}
		}
	}
}
