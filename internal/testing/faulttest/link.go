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
	maxDatagramBytes = 2048
	maxHeldDatagrams = 64
)

// Link carries all traffic between one entry and one slot: a relay for requests, and a relay for the digests of each
// direction. The addresses in the digests are rewritten, so that each side uses only the link's addresses for the other.
type Link struct {
	*Relay
	toEntry, toSlot *digestRelay
}

// linkAddresses holds the addresses of a link and of its two ends. The link listens on requests, digestsFromSlot and
// digestsFromEntry.
type linkAddresses struct {
	requests, slotHTTP                string
	digestsFromSlot, digestsFromEntry string
	slotDigest, entryDigest           string
}

func newLink(a linkAddresses) (*Link, error) {
	work, err := NewRelay(a.requests, a.slotHTTP, nil)
	if err != nil {
		return nil, err
	}
	l := &Link{Relay: work}
	l.toEntry, err = newDigestRelay(a.digestsFromSlot, a.entryDigest, func(d *cardamomyokev1.Digest) {
		d.HttpAddress = a.requests
		d.DigestAddress = a.digestsFromEntry
	})
	if err != nil {
		return nil, err
	}
	l.toSlot, err = newDigestRelay(a.digestsFromEntry, a.slotDigest, func(d *cardamomyokev1.Digest) {
		d.DigestAddress = a.digestsFromSlot
	})
	return l, err
}

// Set changes the mode for requests and digests.
func (l *Link) Set(m Mode) {
	l.Relay.Set(m)
	l.toEntry.set(m)
	l.toSlot.set(m)
}

// Close closes the link's sockets and connections.
func (l *Link) Close() {
	l.Relay.Close()
	_ = l.toEntry.conn.Close()
	_ = l.toSlot.conn.Close()
}

// digestRelay forwards digests to one address, each changed by rewrite.
type digestRelay struct {
	conn    *net.UDPConn
	target  netip.AddrPort
	rewrite func(*cardamomyokev1.Digest)
	mode    atomic.Int32
	mu      sync.Mutex
	held    [][]byte
}

func newDigestRelay(listen, target string, rewrite func(*cardamomyokev1.Digest)) (*digestRelay, error) {
	address, err := net.ResolveUDPAddr("udp", listen)
	if err != nil {
		return nil, fmt.Errorf("digest relay: %w", err)
	}
	conn, err := net.ListenUDP("udp", address)
	if err != nil {
		return nil, fmt.Errorf("digest relay: %w", err)
	}
	r := &digestRelay{conn: conn, target: netip.MustParseAddrPort(target), rewrite: rewrite}
	go r.run()
	return r, nil
}

// set changes the mode. Leaving Freeze sends the datagrams that were held back.
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
	buf := make([]byte, maxDatagramBytes)
	for {
		n, _, err := r.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		r.receive(append([]byte(nil), buf[:n]...))
	}
}

func (r *digestRelay) receive(data []byte) {
	switch Mode(r.mode.Load()) {
	case Disconnect:
		return
	case Freeze:
		r.mu.Lock()
		defer r.mu.Unlock()
		if len(r.held) < maxHeldDatagrams {
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
	_, _ = r.conn.WriteToUDPAddrPort(out, r.target) // Datagrams may be lost anyway.
}
