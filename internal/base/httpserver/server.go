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

// Handler answers one request. It must call Respond once, or Stream and then End; ctx ends when the caller goes away.
type Handler func(ctx context.Context, x *Exchange)

// sweepInterval is how often connections are checked against the timeouts of Limits.
const sweepInterval = 250 * time.Millisecond

// Server is one listener. Create it with Start.
type Server struct {
	gnet.BuiltinEventEngine
	handler Handler
	limits  atomic.Pointer[Limits]
	eng     gnet.Engine
	booted  chan struct{}
	ended   chan error
	conns   sync.Map // *conn → struct{}
	count   atomic.Int64
	busy    atomic.Int64
	closing atomic.Bool
}

// ListenError says that a listener could not be opened or ended early.
type ListenError struct {
	Address string
	Cause   error
}

// Error implements error.
func (e *ListenError) Error() string { return fmt.Sprintf("listen on %s: %v", e.Address, e.Cause) }

// Unwrap returns the cause.
func (e *ListenError) Unwrap() error { return e.Cause }

// Start listens on address (IP:PORT) and serves with the given number of event loops; it returns once connections are
// accepted, or *ListenError.
func Start(address string, loops int, l Limits, h Handler) (*Server, error) {
	s := &Server{
		handler: h,
		booted:  make(chan struct{}),
		ended:   make(chan error, 1),
	}
	s.SetLimits(l)
	go func() {
		s.ended <- gnet.Run(s, "tcp://"+address,
			gnet.WithNumEventLoop(loops),
			gnet.WithTicker(true),
			gnet.WithReuseAddr(true),
			gnet.WithTCPNoDelay(gnet.TCPNoDelay),
			gnet.WithLogger(gnetlog.New()),
		)
	}()
	select {
	case <-s.booted:
		return s, nil
	case err := <-s.ended:
		return nil, &ListenError{address, err}
	}
}

// SetLimits replaces the limits, also for open connections.
func (s *Server) SetLimits(l Limits) {
	l = l.withDefaults()
	s.limits.Store(&l)
}

// Busy returns how many requests are running.
func (s *Server) Busy() int { return int(s.busy.Load()) }

// Drain asks every connection to end after its present request and waits until none is running or ctx ends.
func (s *Server) Drain(ctx context.Context) error {
	s.closing.Store(true)
	tick := time.NewTicker(10 * time.Millisecond)
	defer tick.Stop()
	for s.busy.Load() > 0 {
		select {
		case <-ctx.Done():
			return fmt.Errorf("drain with %d requests running: %w", s.busy.Load(), ctx.Err())
		case <-tick.C:
		}
	}
	return nil
}

// Stop closes the listener and every connection.
func (s *Server) Stop(ctx context.Context) error {
	if err := s.eng.Stop(ctx); err != nil {
		return fmt.Errorf("stop listener: %w", err)
	}
	return nil
}

// OnBoot implements gnet.EventHandler.
func (s *Server) OnBoot(eng gnet.Engine) gnet.Action {
	s.eng = eng
	close(s.booted)
	return gnet.None
}

// OnOpen implements gnet.EventHandler.
func (s *Server) OnOpen(gc gnet.Conn) ([]byte, gnet.Action) {
	if s.count.Add(1) > int64(s.limits.Load().MaxConnections) {
		return nil, gnet.Close
	}
	c := &conn{srv: s, gc: gc}
	c.idleSince.Store(monotonic.Nanos())
	gc.SetContext(c)
	s.conns.Store(c, struct{}{})
	return nil, gnet.None
}

// OnClose implements gnet.EventHandler.
func (s *Server) OnClose(gc gnet.Conn, _ error) gnet.Action {
	s.count.Add(-1)
	c, ok := gc.Context().(*conn)
	if !ok {
		return gnet.None
	}
	s.conns.Delete(c)
	c.closed()
	return gnet.None
}

// OnTraffic implements gnet.EventHandler.
func (s *Server) OnTraffic(gc gnet.Conn) gnet.Action {
	c, ok := gc.Context().(*conn)
	if !ok {
		return gnet.Close
	}
	return c.traffic()
}

// OnTick implements gnet.EventHandler: it ends connections that are past a timeout.
func (s *Server) OnTick() (time.Duration, gnet.Action) {
	now := monotonic.Nanos()
	s.conns.Range(func(key, _ any) bool {
		key.(*conn).sweep(now)
		return true
	})
	return sweepInterval, gnet.None
}

// run serves one request on a goroutine of its own.
func (s *Server) run(ctx context.Context, c *conn, req *fasthttp.Request) {
	x := &Exchange{Req: req, conn: c, close: req.Header.ConnectionClose()}
	defer func() {
		x.abandon()
		fasthttp.ReleaseRequest(req)
		s.busy.Add(-1)
		c.finished(x.close || s.closing.Load())
	}()
	s.handler(ctx, x)
}

// lingerFor is how long a connection stays open after bytes on it were refused; a caller on the same continent has read
// the answer by then.
const lingerFor = 500 * time.Millisecond

// refuse answers bytes that are not a request, and ends the connection a little later.
//
// A caller may still be sending a body that is too large. Closing at once would reset the connection before it has read why
// it is refused; what still comes is read and dropped until it has had time to read.
func (s *Server) refuse(c *conn, err error) {
	c.running.Store(true) // no request is read from this connection any more
	c.refusedAt.Store(monotonic.Nanos())
	x := &Exchange{conn: c, close: true}
	x.Fail(failure.From(err))
}
