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

// Mode selects what a relay does to its traffic.
type Mode int32

// The modes of a relay.
const (
	// Forward forwards everything unchanged.
	Forward Mode = iota
	// Freeze holds back everything in both directions until the mode changes.
	Freeze
	// Disconnect breaks every connection, including new ones.
	Disconnect
	// Duplicate sends each chunk of a response twice.
	Duplicate
	// Truncate breaks the connection at the next chunk of a response.
	Truncate
	// Slow delays each chunk of a response by slowDelay.
	Slow
	// HoldResponses forwards requests and holds back responses until the mode changes.
	HoldResponses
	// SwapResponses swaps chunks of responses between connections.
	SwapResponses
)

const (
	relayPoll        = 2 * time.Millisecond
	slowDelay        = 60 * time.Millisecond
	maxSwapWait      = 5 * time.Millisecond
	relayBufferBytes = 16 << 10
	maxMarkBytes     = 64
)

var markPattern = regexp.MustCompile(`mark-[0-9]+-[0-9]+\.`)

// Relay forwards connections from one address to another and applies its mode to them.
type Relay struct {
	listen, target string
	mode           atomic.Int32
	mu             sync.Mutex
	listener       net.Listener
	conns          map[net.Conn]bool
	// swapped exchanges chunks of responses between two connections in mode SwapResponses.
	swapped chan []byte
	// onMark is called with each mark found in requests to the target; nil disables the search.
	onMark func(mark string)
}

// NewRelay listens on an address and forwards its connections to target. onMark, if not nil, is called with each mark
// found in the requests.
func NewRelay(listen, target string, onMark func(string)) (*Relay, error) {
	r := &Relay{listen: listen, target: target, conns: map[net.Conn]bool{}, swapped: make(chan []byte), onMark: onMark}
	return r, r.Open()
}

// Open starts listening.
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

// Close stops listening, so that new connections are refused, and breaks the existing ones.
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
	if m == Disconnect {
		r.breakAll()
	}
}

// Mode returns the mode.
func (r *Relay) Mode() Mode { return Mode(r.mode.Load()) }

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
	r.waitWhileFrozen()
	if r.is(Disconnect) {
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
		r.pump(t, c, r.newMarkScanner())
		_ = t.(*net.TCPConn).CloseWrite()
	}()
	r.pump(c, t, r.changeResponse)
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

// waitWhileFrozen blocks while the mode is Freeze.
func (r *Relay) waitWhileFrozen() {
	for r.is(Freeze) {
		time.Sleep(relayPoll)
	}
}

// pump copies from one connection to another and passes each chunk through change. It stops if change returns nil.
func (r *Relay) pump(to, from net.Conn, change func([]byte) []byte) {
	buf := make([]byte, relayBufferBytes)
	for {
		n, err := from.Read(buf)
		r.waitWhileFrozen()
		if n > 0 {
			chunk := change(buf[:n])
			if _, werr := to.Write(chunk); werr != nil || chunk == nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// newMarkScanner returns the change function for the requests of one connection. It forwards them unchanged and reports
// their marks to onMark, including marks that span two chunks.
func (r *Relay) newMarkScanner() func([]byte) []byte {
	var tail []byte
	return func(chunk []byte) []byte {
		if r.onMark == nil {
			return chunk
		}
		text := append(tail, chunk...)
		for _, m := range markPattern.FindAll(text, -1) {
			r.onMark(string(m))
		}
		tail = bytes.Clone(text[max(0, len(text)-maxMarkBytes):])
		return chunk
	}
}

// changeResponse applies the mode to a chunk of a response; nil breaks the connection.
func (r *Relay) changeResponse(chunk []byte) []byte {
	switch Mode(r.mode.Load()) {
	case Duplicate:
		return append(bytes.Clone(chunk), chunk...)
	case Truncate:
		return nil
	case Slow:
		time.Sleep(slowDelay)
	case HoldResponses:
		for r.is(HoldResponses) {
			time.Sleep(relayPoll)
		}
	case SwapResponses:
		return r.swap(bytes.Clone(chunk))
	}
	return chunk
}

// swap exchanges a chunk with one of another connection, or returns it unchanged if none arrives within maxSwapWait.
func (r *Relay) swap(chunk []byte) []byte {
	select {
	case r.swapped <- chunk:
		return <-r.swapped
	case other := <-r.swapped:
		r.swapped <- chunk
		return other
	case <-time.After(maxSwapWait):
		return chunk
	}
}
