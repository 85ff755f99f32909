package httpserver

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/panjf2000/gnet/v2"

	"github.com/valyala/fasthttp"

	"github.com/cardamomyoke/cardamomyoke/internal/base/failure"
	"github.com/cardamomyoke/cardamomyoke/internal/base/gnetlog"
	"github.com/cardamomyoke/cardamomyoke/internal/base/monotonic"
)

// Handler responds to one request. It must call Respond or Fail once, or Stream and then End. ctx is cancelled when
// the caller disconnects.
type Handler func(ctx context.Context, x *Exchange)

// sweepInterval is how often connections are checked against the timeouts of Limits.
const sweepInterval = 250 * time.Millisecond

// rerunPause is the pause before an engine follows one that has ended by itself, or that could not begin.
const rerunPause = 50 * time.Millisecond

// Server is an HTTP/1.1 listener. Create it with Start.
type Server struct {
	gnet.BuiltinEventEngine
	handler Handler
	limits  atomic.Pointer[Limits]
	// eng is the engine that runs, under mu; another one follows if it ends by itself.
	mu     sync.Mutex
	eng    gnet.Engine
	booted chan struct{}
	runErr chan error
	// ended is closed once the event loops have ended and no engine follows.
	ended     chan struct{}
	conns     sync.Map // *conn → struct{}
	connCount atomic.Int64
	busy      atomic.Int64
	// unread is how many written bytes all callers together have not taken.
	unread atomic.Int64
	// closing is set once the server drains, stopping once it accepts no connection, cancelling once the contexts of requests are cancelled.
	closing, stopping, cancelling atomic.Bool
}

// ListenError reports that the listener failed before it accepted connections.
type ListenError struct {
	Address string
	Cause   error
}

// Error implements error.
func (e *ListenError) Error() string { return fmt.Sprintf("listen on %s: %v", e.Address, e.Cause) }

// Unwrap returns the cause.
func (e *ListenError) Unwrap() error { return e.Cause }

// Start listens on address (IP:PORT) and serves with the given number of event loops. It returns once the server accepts
// connections. Errors: *ListenError.
func Start(address string, loops int, l Limits, h Handler) (*Server, error) {
	s := &Server{
		handler: h,
		booted:  make(chan struct{}),
		runErr:  make(chan error, 1),
		ended:   make(chan struct{}),
	}
	s.SetLimits(l)
	go s.runEngines(address, loops)
	select {
	case <-s.booted:
		return s, nil
	case err := <-s.runErr:
		return nil, &ListenError{address, err}
	}
}

// runEngines runs an engine, and another one if it ends although the server has not been stopped. An engine ends, with all its connections,
// if it cannot accept a connection, as when the process is short of descriptors.
func (s *Server) runEngines(address string, loops int) {
	defer close(s.ended)
	for {
		err := gnet.Run(s, "tcp://"+address,
			gnet.WithNumEventLoop(loops),
			gnet.WithTicker(true),
			gnet.WithReuseAddr(true),
			gnet.WithTCPNoDelay(gnet.TCPNoDelay),
			gnet.WithLogger(gnetlog.New()),
		)
		if s.stopping.Load() || !s.hasBooted() {
			s.runErr <- err
			return
		}
		time.Sleep(rerunPause)
	}
}

func (s *Server) hasBooted() bool {
	select {
	case <-s.booted:
		return true
	default:
		return false
	}
}

// engine returns the engine that runs.
func (s *Server) engine() gnet.Engine {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.eng
}

// SetLimits replaces the limits, also for open connections.
func (s *Server) SetLimits(l Limits) {
	l = l.withDefaults()
	s.limits.Store(&l)
}

// Busy returns how many requests are running.
func (s *Server) Busy() int { return int(s.busy.Load()) }

// OnBoot implements gnet.EventHandler.
func (s *Server) OnBoot(eng gnet.Engine) gnet.Action {
	s.mu.Lock()
	s.eng = eng
	s.mu.Unlock()
	if s.stopping.Load() { // Stop may have stopped the engine before this one
		return gnet.Shutdown
	}
	if !s.hasBooted() {
		close(s.booted)
	}
	return gnet.None
}

// OnOpen implements gnet.EventHandler.
func (s *Server) OnOpen(gc gnet.Conn) ([]byte, gnet.Action) {
	// The order matters: a drain that counted no connection after it had set stopping misses none that is read from.
	if s.connCount.Add(1) > int64(s.limits.Load().MaxConnections) || s.stopping.Load() {
		return nil, gnet.Close
	}
	c := &conn{srv: s, gc: gc}
	c.idleSince.Store(monotonic.Nanos())
	gc.SetContext(c)
	s.conns.Store(c, struct{}{})
	return nil, gnet.None
}

// OnClose implements gnet.EventHandler.
func (s *Server) OnClose(gc gnet.Conn, err error) gnet.Action {
	s.connCount.Add(-1)
	c, ok := gc.Context().(*conn)
	if !ok {
		return gnet.None
	}
	s.conns.Delete(c)
	c.onClosed(err)
	return gnet.None
}

// OnTraffic implements gnet.EventHandler.
func (s *Server) OnTraffic(gc gnet.Conn) gnet.Action {
	c, ok := gc.Context().(*conn)
	if !ok {
		return gnet.Close
	}
	return c.onTraffic()
}

// OnTick implements gnet.EventHandler. It enforces the timeouts of all connections.
func (s *Server) OnTick() (time.Duration, gnet.Action) {
	now := monotonic.Nanos()
	s.conns.Range(func(key, _ any) bool {
		key.(*conn).enforceTimeouts(now)
		return true
	})
	return sweepInterval, gnet.None
}

// run serves one request on its own goroutine.
func (s *Server) run(ctx context.Context, c *conn, req *fasthttp.Request) {
	x := &Exchange{Req: req, conn: c, close: req.Header.ConnectionClose()}
	defer func() {
		x.completeOrClose()
		fasthttp.ReleaseRequest(req)
		s.busy.Add(-1)
		c.requestDone(x)
	}()
	s.handler(ctx, x)
}

// refuse responds to bytes that are not a valid request, and ends the connection. The caller may still be sending a body that is too
// large; it is discarded.
func (s *Server) refuse(c *conn, err error) {
	c.partialSince.Store(0)
	c.surplus = true
	x := &Exchange{conn: c, close: true}
	x.Fail(failure.From(err))
	c.end(ClosedByServer)
}
