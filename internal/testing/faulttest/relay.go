package faulttest

import (
	"bytes"
	"fmt"
	"net"
	"regexp"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cardamomyoke/cardamomyoke/internal/testing/loopback"
)

// Mode is what a relay does to what passes.
type Mode int32

// The modes of a relay.
const (
	// Pass: forward everything.
	Pass Mode = iota
	// Freeze: hold everything back, in both directions, until the mode changes.
	Freeze
	// Cut: break every connection, also new ones.
	Cut
	// Double: send every piece of an answer twice.
	Double
	// Truncate: break a connection in the middle of an answer.
	Truncate
	// Slow: hold each piece of an answer back for a while.
	Slow
	// Mute: let requests pass and hold answers back until the mode changes.
	Mute
	// Cross: swap pieces of answers between connections.
	Cross
)

const (
	relayPoll  = 2 * time.Millisecond
	slowDelay  = 60 * time.Millisecond
	crossWait  = 5 * time.Millisecond
	relayBuf   = 16 << 10
	longestTag = 64
)

var markPattern = regexp.MustCompile(`mark-[0-9]+-[0-9]+\.`)

// Relay forwards connections from one address to another.
type Relay struct {
	listen, target string
	mode           atomic.Int32
	mu             sync.Mutex
	listener       net.Listener
	conns          map[net.Conn]bool
	// held is a piece of an answer that waits to be swapped with one of another connection.
	held chan []byte
	// seen notes marks of requests on their way to the target; nil to note none.
	seen func(mark string)
}

// NewRelay listens and forwards to target.
func NewRelay(listen, target string, seen func(string)) (*Relay, error) {
	r := &Relay{listen: listen, target: target, conns: map[net.Conn]bool{}, held: make(chan []byte), seen: seen}
	return r, r.Open()
}

// Open begins to listen.
func (r *Relay) Open() error {
	l, err := loopback.Listen(r.listen)
	if err != nil {
		return fmt.Errorf("relay on %s: %w", r.listen, err)
	}
	r.mu.Lock()
	r.listener = l
	r.mu.Unlock()
	go r.accept(l)
	return nil
}

// Close stops listening, so that a dial is refused, and breaks every connection.
func (r *Relay) Close() {
	r.mu.Lock()
	l := r.listener
	r.listener = nil
	r.mu.Unlock()
	if l != nil {
		_ = l.Close()
	}
	r.breakAll()
}

// Set changes the mode.
func (r *Relay) Set(m Mode) {
	r.mode.Store(int32(m))
	if m == Cut {
		r.breakAll()
	}
}

func (r *Relay) is(m Mode) bool { return Mode(r.mode.Load()) == m }

func (r *Relay) breakAll() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		_ = c.Close()
	}
}

func (r *Relay) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go r.forward(c)
	}
}

func (r *Relay) forward(c net.Conn) {
	defer func() { _ = c.Close() }()
	r.thaw()
	if r.is(Cut) {
		return
	}
	t, err := net.Dial("tcp", r.target)
	if err != nil {
		return
	}
	defer func() { _ = t.Close() }()
	r.track(c, t)
	defer r.untrack(c, t)
	go func() {
		r.pump(t, c, r.request())
		_ = t.(*net.TCPConn).CloseWrite()
	}()
	r.pump(c, t, r.answer)
}

func (r *Relay) track(conns ...net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range conns {
		r.conns[c] = true
	}
}

func (r *Relay) untrack(conns ...net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range conns {
		delete(r.conns, c)
	}
}

// thaw waits while the relay is frozen.
func (r *Relay) thaw() {
	for r.is(Freeze) {
		time.Sleep(relayPoll)
	}
}

// pump copies from one connection to another, each piece through change; a nil piece ends it.
func (r *Relay) pump(to, from net.Conn, change func([]byte) []byte) {
	buf := make([]byte, relayBuf)
	for {
		n, err := from.Read(buf)
		r.thaw()
		if n > 0 {
			piece := change(buf[:n])
			if _, werr := to.Write(piece); werr != nil || piece == nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// request returns the change for one connection's requests: none, but marks are noted, also across pieces.
func (r *Relay) request() func([]byte) []byte {
	var tail []byte
	return func(piece []byte) []byte {
		if r.seen == nil {
			return piece
		}
		text := append(tail, piece...)
		for _, m := range markPattern.FindAll(text, -1) {
			r.seen(string(m))
		}
		tail = bytes.Clone(text[max(0, len(text)-longestTag):])
		return piece
	}
}

// answer is the change for answers.
func (r *Relay) answer(piece []byte) []byte {
	switch Mode(r.mode.Load()) {
	case Double:
		return append(bytes.Clone(piece), piece...)
	case Truncate:
		return nil
	case Slow:
		time.Sleep(slowDelay)
	case Mute:
		for r.is(Mute) {
			time.Sleep(relayPoll)
		}
	case Cross:
		return r.swap(bytes.Clone(piece))
	}
	return piece
}

// swap exchanges a piece with one of another connection, if one comes soon.
func (r *Relay) swap(piece []byte) []byte {
	select {
	case r.held <- piece:
		return <-r.held
	case other := <-r.held:
		r.held <- piece
		return other
	case <-time.After(crossWait):
		return piece
	}
}
