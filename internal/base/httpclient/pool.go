package httpclient

import (
	"errors"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"
)

// peer is where a connection leads to. A connection carries only requests that are meant for one instance, so that the refusal
// of another one arrives on a connection without earlier requests.
type peer struct{ address, instance string }

// pool holds the idle connections. It is safe for concurrent use.
type pool struct {
	opts Options
	mu   sync.Mutex
	idle map[peer][]*clientConn
	// sweptAt is when connections that may not be used any more were last closed.
	sweptAt time.Time
}

// sweepInterval is the interval at which connections to peers that get no more requests are closed.
const sweepInterval = 10 * time.Second

func newPool(o Options) *pool {
	return &pool{opts: o, idle: map[peer][]*clientConn{}, sweptAt: time.Now()}
}

// take removes and returns a connection that can carry a request with the id, nil if there is none.
func (p *pool) take(to peer, id string) *clientConn {
	for {
		conn := p.pop(to, id)
		if conn == nil {
			return nil
		}
		if idleAndOpen(conn.Conn) {
			return conn
		}
		_ = conn.Close()
	}
}

// pop removes and returns the connection that was used last among those that can carry a request with the id. It closes those that
// were idle for too long.
func (p *pool) pop(to peer, id string) *clientConn {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeStale(to, now)
	list := p.idle[to]
	for i := len(list) - 1; i >= 0; i-- {
		if conn := list[i]; p.mayCarry(conn, id) {
			p.idle[to] = slices.Delete(list, i, i+1)
			return conn
		}
	}
	return nil
}

// mayCarry reports whether the response to a request with the id could be told from those to earlier requests on the connection.
func (p *pool) mayCarry(conn *clientConn, id string) bool {
	if id == "" {
		return p.opts.UnidentifiedFor > 0
	}
	return !conn.hasCarried(id)
}

// closeStale closes the connections to a peer that were idle for too long. The caller holds the lock.
func (p *pool) closeStale(to peer, now time.Time) {
	p.idle[to] = slices.DeleteFunc(p.idle[to], func(conn *clientConn) bool {
		stale := !conn.fresh(now)
		if stale {
			_ = conn.Close()
		}
		return stale
	})
	if len(p.idle[to]) == 0 {
		delete(p.idle, to)
	}
}

// put adds a connection. It returns false if the connection must be closed instead.
func (p *pool) put(conn *clientConn) bool {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if now.Sub(p.sweptAt) >= sweepInterval {
		p.sweep(now)
	}
	if len(p.idle[conn.to]) >= p.opts.MaxIdle {
		return false
	}
	conn.idleSince = now
	conn.idleTimeout = min(conn.idleTimeout, p.opts.IdleTimeout)
	if p.opts.UnidentifiedFor > 0 {
		conn.idleTimeout = min(conn.idleTimeout, conn.openedAt.Add(p.opts.UnidentifiedFor).Sub(now))
	}
	p.idle[conn.to] = append(p.idle[conn.to], conn)
	return true
}

// sweep closes the connections that were idle for too long. The caller holds the lock.
func (p *pool) sweep(now time.Time) {
	p.sweptAt = now
	for to := range p.idle {
		p.closeStale(to, now)
	}
}

func (p *pool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for to, list := range p.idle {
		for _, conn := range list {
			_ = conn.Close()
		}
		delete(p.idle, to)
	}
}

// idleAndOpen reports whether an idle connection is open and has nothing to read. If the peer has closed it, the outcome
// of the next request would be unknown. Bytes on it belong to a response that no caller waits for.
func idleAndOpen(conn net.Conn) bool {
	raw, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	rc, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	var readErr error
	err = rc.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, readErr = syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		return true
	})
	return err == nil && errors.Is(readErr, syscall.EAGAIN)
}
