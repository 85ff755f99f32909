package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"time"
)

// client sends one request after the other on a kept connection to one gateway.
type client struct {
	c       *testCase
	gateway *gateway
	conn    net.Conn
	in      *bufio.Reader
	// deadline is how long the client waits for an answer.
	deadline time.Duration
	// sent is called with the id of each attempt before it is sent; it may be nil.
	sent func(attempt string)
}

// send sends a request and returns the status of the answer, or 0 if the connection ended without one.
func (cl *client) send(method, path string) int {
	attempt := fmt.Sprintf("%016x", rand.Uint64())
	if cl.conn == nil {
		conn, err := net.DialTimeout("tcp", cl.gateway.callers, time.Second)
		if err != nil {
			return 0
		}
		cl.conn, cl.in = conn, bufio.NewReader(conn)
	}
	body := ""
	if method == http.MethodPost {
		body = "{\"hold\":\"lenses\"}"
	}
	if cl.sent != nil {
		cl.sent(attempt)
	}
	cl.c.rec.line("client sends %s %s %s to %s", attempt, method, path, cl.gateway.name)
	_ = cl.conn.SetDeadline(time.Now().Add(cl.deadline))
	_, err := fmt.Fprintf(cl.conn, "%s %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nTime-Remaining: %d\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s",
		method, path, hostName, attempt, cl.deadline.Milliseconds(), apiKey, len(body), body)
	if err != nil {
		cl.drop()
		return 0
	}
	res, err := http.ReadResponse(cl.in, &http.Request{Method: method})
	if err == nil {
		_, err = io.ReadAll(res.Body)
	}
	if err != nil {
		cl.c.rec.line("client gets no complete answer to %s: %v", attempt, err)
		cl.drop()
		return 0
	}
	cl.c.rec.line("client gets %d for %s", res.StatusCode, attempt)
	cl.c.answered(attempt, path, res.StatusCode)
	if res.Close {
		cl.drop()
	}
	return res.StatusCode
}

func (cl *client) drop() {
	_ = cl.conn.Close()
	cl.conn = nil
}
