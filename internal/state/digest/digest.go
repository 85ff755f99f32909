// Package digest sends and receives digests: the datagrams in which processes report their own state to each other.
//
// A datagram may be lost, duplicated or delayed. The receiver orders datagrams by incarnation and sequence, and nothing
// depends on any single one.
package digest

import (
	"context"
	"fmt"
	"net"
	"net/netip"

	"github.com/panjf2000/gnet/v2"

	"google.golang.org/protobuf/proto"

	"github.com/cardamomyoke/cardamomyoke/internal/base/gnetlog"
	"github.com/cardamomyoke/cardamomyoke/internal/base/gnetstop"
	cardamomyokev1 "github.com/cardamomyoke/cardamomyoke/internal/gen/cardamomyoke/v1"
)

// MaxBytes is the maximum size of a datagram that is sent or accepted; it fits one packet on any network in use.
const MaxBytes = 1400

// TooLargeError reports that a digest does not fit one datagram.
type TooLargeError struct{ Bytes int }

// Error implements error.
func (e *TooLargeError) Error() string {
	return fmt.Sprintf("digest of %d bytes exceeds %d", e.Bytes, MaxBytes)
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

// Send sends d to address (IP:PORT), in parts if it does not fit one datagram, and returns the number of bytes sent.
// Errors: those of Encode or of the network.
func (s *Sender) Send(address string, d *cardamomyokev1.Digest) (int, error) {
	datagrams, err := Encode(d)
	if err != nil {
		return 0, err
	}
	return s.SendEncoded(address, datagrams)
}

// SendEncoded sends the result of Encode to address (IP:PORT) and returns the number of bytes sent.
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

// Receiver receives digests at one address.
type Receiver struct {
	gnet.BuiltinEventEngine
	handle func(*cardamomyokev1.Digest)
	eng    gnet.Engine
	booted chan struct{}
	// ended is closed once the event loops have ended.
	ended chan struct{}
}

// Receive listens on address (IP:PORT) and calls handle with each valid digest, on the event loop.
func Receive(address string, handle func(*cardamomyokev1.Digest)) (*Receiver, error) {
	r := &Receiver{handle: handle, booted: make(chan struct{}), ended: make(chan struct{})}
	stopped := make(chan error, 1)
	go func() {
		defer close(r.ended)
		stopped <- gnet.Run(r, "udp://"+address, gnet.WithReuseAddr(true), gnet.WithLogger(gnetlog.New()))
	}()
	select {
	case <-r.booted:
		return r, nil
	case err := <-stopped:
		return nil, fmt.Errorf("receive digests on %s: %w", address, err)
	}
}

// OnBoot implements gnet.EventHandler.
func (r *Receiver) OnBoot(eng gnet.Engine) gnet.Action {
	r.eng = eng
	close(r.booted)
	return gnet.None
}

// OnTraffic implements gnet.EventHandler. It drops datagrams that are not valid digests.
func (r *Receiver) OnTraffic(c gnet.Conn) gnet.Action {
	data, err := c.Next(-1)
	if err != nil {
		return gnet.None
	}
	if d, err := Decode(data); err == nil {
		r.handle(d)
	}
	return gnet.None
}

// Stop closes the socket.
func (r *Receiver) Stop(ctx context.Context) error { return gnetstop.Stop(ctx, r.eng, r.ended) }

// FieldError reports that a digest lacks a required field.
type FieldError struct{ Field string }

// Error implements error.
func (e *FieldError) Error() string { return "digest without " + e.Field }

// Decode decodes a datagram. Errors: *TooLargeError, *FieldError, or those of the decoder.
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
