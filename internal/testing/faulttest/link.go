package faulttest

import (
	"fmt"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"

	"google.golang.org/protobuf/proto"

	cardamomyokev1 "github.com/cardamomyoke/cardamomyoke/internal/gen/cardamomyoke/v1"
)

const (
	datagramBytes = 2048
	heldDatagrams = 64
)

// Link is everything between one entry and one slot: a relay for work and two sockets for digests, which are rewritten
// so that each side knows the other only by the link's addresses.
type Link struct {
	*Relay
	toEntry, toSlot *digestRelay
}

// linkAddresses are the addresses of a link and of its two ends.
type linkAddresses struct {
	work, slotWork       string
	fromSlot, fromEntry  string
	slotDigest, entDigst string
}

func newLink(a linkAddresses) (*Link, error) {
	work, err := NewRelay(a.work, a.slotWork, nil)
	if err != nil {
		return nil, err
	}
	l := &Link{Relay: work}
	l.toEntry, err = newDigestRelay(a.fromSlot, a.entDigst, func(d *cardamomyokev1.Digest) {
		d.HttpAddress = a.work
		d.DigestAddress = a.fromEntry
	})
	if err != nil {
		return nil, err
	}
	l.toSlot, err = newDigestRelay(a.fromEntry, a.slotDigest, func(d *cardamomyokev1.Digest) {
		d.DigestAddress = a.fromSlot
	})
	return l, err
}

// Set changes what happens to work and to digests.
func (l *Link) Set(m Mode) {
	l.Relay.Set(m)
	l.toEntry.set(m)
	l.toSlot.set(m)
}

// Close ends the link.
func (l *Link) Close() {
	l.Relay.Close()
	_ = l.toEntry.conn.Close()
	_ = l.toSlot.conn.Close()
}

// digestRelay forwards datagrams to one address.
type digestRelay struct {
	conn    *net.UDPConn
	target  netip.AddrPort
	rewrite func(*cardamomyokev1.Digest)
	mode    atomic.Int32
	mu      sync.Mutex
	held    [][]byte
}

func newDigestRelay(listen, target string, rewrite func(*cardamomyokev1.Digest)) (*digestRelay, error) {
	at, err := net.ResolveUDPAddr("udp", listen)
	if err != nil {
		return nil, fmt.Errorf("digest relay: %w", err)
	}
	conn, err := net.ListenUDP("udp", at)
	if err != nil {
		return nil, fmt.Errorf("digest relay: %w", err)
	}
	r := &digestRelay{conn: conn, target: netip.MustParseAddrPort(target), rewrite: rewrite}
	go r.run()
	return r, nil
}

// set changes the mode; what was held back while frozen arrives late.
func (r *digestRelay) set(m Mode) {
	r.mode.Store(int32(m))
	if m == Freeze {
		return
	}
	r.mu.Lock()
	held := r.held
	r.held = nil
	r.mu.Unlock()
	for _, data := range held {
		r.send(data)
	}
}

func (r *digestRelay) run() {
	buf := make([]byte, datagramBytes)
	for {
		n, _, err := r.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		r.take(append([]byte(nil), buf[:n]...))
	}
}

func (r *digestRelay) take(data []byte) {
	switch Mode(r.mode.Load()) {
	case Cut:
		return
	case Freeze:
		r.mu.Lock()
		defer r.mu.Unlock()
		if len(r.held) < heldDatagrams {
			r.held = append(r.held, data)
		}
	default:
		r.send(data)
	}
}

func (r *digestRelay) send(data []byte) {
	d := &cardamomyokev1.Digest{}
	if err := proto.Unmarshal(data, d); err != nil {
		return
	}
	r.rewrite(d)
	out, err := proto.Marshal(d)
	if err != nil {
		return
	}
	_, _ = r.conn.WriteToUDPAddrPort(out, r.target) // A datagram may be lost.
}
