// Package digest sends and receives the datagrams by which processes tell each other of themselves.
//
// A datagram may be lost, doubled or late; the receiver orders them by incarnation and sequence. Nothing depends on
// any one of them.
package digest

import (
	"context"
	"fmt"
	"net"
	"net/netip"

	"github.com/panjf2000/gnet/v2"

	"google.golang.org/protobuf/proto"

	"github.com/cardamomyoke/cardamomyoke/internal/base/gnetlog"
	cardamomyokev1 "github.com/cardamomyoke/cardamomyoke/internal/gen/cardamomyoke/v1"
)

// MaxBytes is the largest datagram that is sent or taken; it fits one packet on any network in use.
const MaxBytes = 1400

// TooLargeError says that a digest does not fit one datagram.
type TooLargeError struct{ Bytes int }

// Error implements error.
func (e *TooLargeError) Error() string {
	return fmt.Sprintf("digest of %d bytes is over %d", e.Bytes, MaxBytes)
}

// Sender sends digests. It is safe for concurrent use.
type Sender struct{ conn *net.UDPConn }

// NewSender opens a socket for sending.
func NewSender() (*Sender, error) {
	conn, err := net.ListenUDP("udp", nil)
	if err != nil {
		return nil, fmt.Errorf("open digest socket: %w", err)
	}
	return &Sender{conn}, nil
}

// Send sends d to address (IP:PORT), in parts if it does not fit one datagram, and returns its size in bytes. Errors:
// those of Encode, or the network's.
func (s *Sender) Send(address string, d *cardamomyokev1.Digest) (int, error) {
	datagrams, err := Encode(d)
	if err != nil {
		return 0, err
	}
	return s.SendEncoded(address, datagrams)
}

// SendEncoded sends what Encode returned to address (IP:PORT) and returns its size in bytes.
func (s *Sender) SendEncoded(address string, datagrams [][]byte) (int, error) {
	to, err := netip.ParseAddrPort(address)
	if err != nil {
		return 0, fmt.Errorf("digest address: %w", err)
	}
	sent := 0
	for _, data := range datagrams {
		n, err := s.conn.WriteToUDPAddrPort(data, to)
		if err != nil {
			return sent, fmt.Errorf("send digest to %s: %w", address, err)
		}
		sent += n
	}
	return sent, nil
}

// Close closes the socket.
func (s *Sender) Close() error { return s.conn.Close() }

// Receiver takes digests on one address.
type Receiver struct {
	gnet.BuiltinEventEngine
	take   func(*cardamomyokev1.Digest)
	eng    gnet.Engine
	booted chan struct{}
}

// Receive listens on address (IP:PORT) and hands each digest that can be read to take, on the event loop.
func Receive(address string, take func(*cardamomyokev1.Digest)) (*Receiver, error) {
	r := &Receiver{take: take, booted: make(chan struct{})}
	ended := make(chan error, 1)
	go func() {
		ended <- gnet.Run(r, "udp://"+address, gnet.WithReuseAddr(true), gnet.WithLogger(gnetlog.New()))
	}()
	select {
	case <-r.booted:
		return r, nil
	case err := <-ended:
		return nil, fmt.Errorf("receive digests on %s: %w", address, err)
	}
}

// OnBoot implements gnet.EventHandler.
func (r *Receiver) OnBoot(eng gnet.Engine) gnet.Action {
	r.eng = eng
	close(r.booted)
	return gnet.None
}

// OnTraffic implements gnet.EventHandler; a datagram that is not a digest is dropped.
func (r *Receiver) OnTraffic(c gnet.Conn) gnet.Action {
	data, err := c.Next(-1)
	if err != nil {
		return gnet.None
	}
	if d, err := Decode(data); err == nil {
		r.take(d)
	}
	return gnet.None
}

// Stop closes the socket.
func (r *Receiver) Stop(ctx context.Context) error { return r.eng.Stop(ctx) }

// FieldError says that a digest lacks a field without which it cannot be used.
type FieldError struct{ Field string }

// Error implements error.
func (e *FieldError) Error() string { return "digest without " + e.Field }

// Decode reads a datagram. Errors: *TooLargeError, *FieldError, or those of the decoder.
func Decode(data []byte) (*cardamomyokev1.Digest, error) {
	if len(data) > MaxBytes {
		return nil, &TooLargeError{len(data)}
	}
	d := &cardamomyokev1.Digest{}
	if err := proto.Unmarshal(data, d); err != nil {
		return nil, fmt.Errorf("decode digest: %w", err)
	}
	if d.GetNode() == "" || d.GetIncarnation() == "" {
		return nil, &FieldError{"node or incarnation"}
	}
	if d.GetRole() == cardamomyokev1.NodeRole_NODE_ROLE_SLOT && d.GetSlot() == nil {
		return nil, &FieldError{"slot"}
	}
	if err := checkColumns(d); err != nil {
		return nil, err
	}
	return d, nil
}
