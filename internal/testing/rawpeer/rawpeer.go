// Package rawpeer is a peer that sends the bytes of a test, for responses that no HTTP server sends.
package rawpeer

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
)

// Response is what ServeOnce sends.
type Response struct {
	// Text holds the bytes of the response, or of a part of it.
	Text string
	// Crash stops the listener before the response is sent, so that no further connection is accepted.
	Crash bool
}

// ServeOnce reads one request, sends the response and closes the connection. It returns its address.
func ServeOnce(t testing.TB, response Response) string {
	t.Helper()
	return Serve(t, func(c *net.TCPConn, l net.Listener, _ *http.Request) {
		if response.Crash {
			_ = l.Close()
		}
		_, _ = io.WriteString(c, response.Text)
	})
}

// Serve reads the header of one request, calls respond with its connection and the listener, and closes the connection. It returns its
// address.
func Serve(t testing.TB, respond func(c *net.TCPConn, l net.Listener, request *http.Request)) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer func() { _ = c.Close() }()
		req, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return
		}
		respond(c.(*net.TCPConn), l, req)
	}()
	return l.Addr().String()
}
