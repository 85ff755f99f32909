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

// discardService receives messages and discards them.
type discardService struct {
	cardamomyokev1connect.UnimplementedRevisionServiceHandler
}

// Push implements the RPC.
func (discardService) Push(context.Context, *cardamomyokev1.PushRequest) (*cardamomyokev1.PushResponse, error) {
	return &cardamomyokev1.PushResponse{}, nil
}

// countingListener counts the bytes that its connections send and receive.
type countingListener struct {
	net.Listener
	bytes atomic.Int64
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

// Accept implements net.Listener.
func (l *countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countingConn{c, &l.bytes}, nil
}

// Read implements net.Conn.
func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}

// rpcOverhead returns the number of bytes that one call of the revision service sends and receives besides its message,
// on a connection that has already carried calls.
func rpcOverhead() (float64, error) {
	const warmup, calls = 20, 500
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return 0, err
	}
	cl := &countingListener{Listener: l}
	mux := http.NewServeMux()
	mux.Handle(cardamomyokev1connect.NewRevisionServiceHandler(discardService{}))
	srv := &http.Server{Handler: mux, Protocols: new(http.Protocols)}
	srv.Protocols.SetUnencryptedHTTP2(true)
	go func() { _ = srv.Serve(cl) }() // returns an error after Close
	defer func() { _ = srv.Close() }()
	rpc := agent.NewRPC(agent.HTTP2(), "http")
	to := &revision.Member{Name: "sink", Address: l.Addr().String()}
	m := &revision.Push{From: "0-0001", Origin: "0-0002", Beat: 1, Staged: 1000, Committed: 1000, Accepted: 1000}
	var before int64
	for i := range warmup + calls {
		if i == warmup {
			before = cl.bytes.Load()
		}
		if err := rpc.Push(context.Background(), to, m); err != nil {
			return 0, err
		}
	}
	return float64(cl.bytes.Load()-before)/calls - float64(proto.Size(m)), nil
}
