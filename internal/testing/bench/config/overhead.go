package config

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"

	"google.golang.org/protobuf/proto"

	cardamomyokev1 "github.com/cardamomyoke/cardamomyoke/internal/gen/cardamomyoke/v1"
	"github.com/cardamomyoke/cardamomyoke/internal/gen/cardamomyoke/v1/cardamomyokev1connect"
	"github.com/cardamomyoke/cardamomyoke/internal/state/revision"
	"github.com/cardamomyoke/cardamomyoke/internal/state/revision/agent"
)

// sink takes messages and does nothing with them.
type sink struct {
	cardamomyokev1connect.UnimplementedRevisionServiceHandler
}

// Push implements the RPC.
func (sink) Push(context.Context, *cardamomyokev1.PushRequest) (*cardamomyokev1.PushResponse, error) {
	return &cardamomyokev1.PushResponse{}, nil
}

// counted counts the bytes that pass a listener's connections, both ways.
type counted struct {
	net.Listener
	bytes atomic.Int64
}

type countedConn struct {
	net.Conn
	bytes *atomic.Int64
}

// Accept implements net.Listener.
func (l *counted) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countedConn{c, &l.bytes}, nil
}

// Read implements net.Conn.
func (c *countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}

// rpcOverhead returns the bytes that one call of the revision service puts on a connection besides its message, once
// the connection is warm.
func rpcOverhead() (float64, error) {
	const warm, calls = 20, 500
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return 0, err
	}
	cl := &counted{Listener: l}
	mux := http.NewServeMux()
	mux.Handle(cardamomyokev1connect.NewRevisionServiceHandler(sink{}))
	srv := &http.Server{Handler: mux, Protocols: new(http.Protocols)}
	srv.Protocols.SetUnencryptedHTTP2(true)
	go func() { _ = srv.Serve(cl) }() // ends with an error when it is closed
	defer func() { _ = srv.Close() }()
	rpc := agent.NewRPC(agent.HTTP2(), "http")
	to := &revision.Member{Name: "sink", Address: l.Addr().String()}
	m := &revision.Push{From: "0-0001", Origin: "0-0002", Beat: 1, Staged: 1000, Committed: 1000, Accepted: 1000}
	var before int64
	for i := range warm + calls {
		if i == warm {
			before = cl.bytes.Load()
		}
		if err := rpc.Push(context.Background(), to, m); err != nil {
			return 0, err
		}
	}
	return float64(cl.bytes.Load()-before)/calls - float64(proto.Size(m)), nil
}
