package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"sync"
	"syscall"
	"time"

	"github.com/cardamomyoke/cardamomyoke/internal/testing/loopback"
)

const (
	inventoryService = "ledger-kern"
	// slowClients is how many clients read slowly; each reads readBytes every readPause.
	slowClients = 12
	readBytes   = 8 << 10
	readPause   = 50 * time.Millisecond
	// listBytes is the size of an answer, which takes a slow client about 6.3 s.
	listBytes = 1_000_000
	// receiveBytes and segmentBytes are the buffer and the segment size of a client's connection, as on a common link.
	receiveBytes = 4 << 10
	segmentBytes = 1400
	// listDeadline is how long a client waits, and the route's timeout.
	listDeadline = 8 * time.Second
	// keepDirectory is how long a client keeps an answer of the directory, for which the gateways allow 1 s; each second client
	// keeps it keepLonger times as long.
	keepDirectory = time.Second
	keepLonger    = 3
	// stopPause is the time between a gateway's restart and the next SIGTERM, more than the stability window.
	stopPause = 6 * time.Second
	// slack is how long before its deadline a request still counts.
	slack = time.Second
)

// cutAnswers: gateways are stopped with SIGTERM and started again in turn, while clients read their answers slowly.
func cutAnswers(c *testCase) (broken bool, err error) {
	c.store.Put("op", "config", map[string]any{
		"version": 1,
		"routes": []map[string]any{{
			"name": "inventory-lookup", "host": hostName, "prefix": "/list/", "kind": "safe", "timeout_ms": listDeadline.Milliseconds(),
			"target_latency_ms": 300, "priority": 2, "service": inventoryService, "attempts": 2,
		}},
		"services": []map[string]any{{"name": inventoryService, "health_path": "/health", "connection_limit": 694}},
		"limits":   map[string]any{"header_bytes": 16384, "body_bytes": 4194304, "header_timeout_ms": 5000, "idle_timeout_ms": 20000},
		"tenants":  []map[string]any{{"name": "hule930", "api_keys": []string{apiKey}}},
	})
	for i, zone := range zones {
		r := &runner{c: c, service: inventoryService, zone: zone, address: loopback.Address(), work: 60 * time.Millisecond, bodyBytes: listBytes}
		if err := r.upAndRegister(fmt.Sprintf("i-%d0", i+1), 0); err != nil {
			return false, err
		}
	}
	if err := c.startGateways(); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second) // the stability window
	stop := make(chan struct{})
	var done sync.WaitGroup
	s := &slowReaders{c: c}
	for i := range slowClients {
		done.Go(func() { s.run(i, stop) })
	}
	time.Sleep(stopPause)
	for _, g := range c.gateways {
		if !c.trouble {
			time.Sleep(stopPause)
			continue
		}
		if err := s.restart(g); err != nil {
			return false, err
		}
		time.Sleep(stopPause)
	}
	close(stop)
	done.Wait()
	return s.report(), nil
}

// slowReaders are the clients of the case.
type slowReaders struct {
	c    *testCase
	mu   sync.Mutex
	lost []string
	full int
	// stopped holds, by gateway, when it got its SIGTERM.
	stopped sync.Map
}

// restart sends SIGTERM, waits for the end of the process, kills it after the grace time, and starts it again.
func (s *slowReaders) restart(g *gateway) error {
	s.c.rec.line("SIGTERM to %s", g.name)
	s.stopped.Store(g, time.Now())
	g.signal(syscall.SIGTERM)
	select {
	case <-g.exited:
	case <-time.After(8 * time.Second):
		g.signal(syscall.SIGKILL)
		<-g.exited
	}
	s.c.rec.line("%s has ended", g.name)
	return g.start()
}

// run sends one request after the other, on a kept connection while the directory names its gateway.
func (s *slowReaders) run(i int, stop <-chan struct{}) {
	var conn net.Conn
	var in *bufio.Reader
	var g *gateway
	var asked time.Time
	var known []*gateway
	keep := keepDirectory
	if i%2 == 1 {
		keep *= keepLonger
	}
	for {
		select {
		case <-stop:
			return
		case <-time.After(rand.N(2 * time.Second)):
		}
		if time.Since(asked) > keep || len(known) == 0 {
			known, asked = s.resolve(i), time.Now()
		}
		if len(known) == 0 {
			continue
		}
		if conn != nil && !contains(known, g) {
			_ = conn.Close()
			conn = nil
		}
		if conn == nil {
			g = known[rand.IntN(len(known))]
			var err error
			if conn, err = dialSlow(g.callers); err != nil {
				known = nil
				continue
			}
			in = bufio.NewReaderSize(conn, readBytes)
		}
		if !s.request(conn, in, g) {
			_ = conn.Close()
			conn = nil
		}
	}
}

func contains(list []*gateway, g *gateway) bool {
	for _, k := range list {
		if k == g {
			return true
		}
	}
	return false
}

// resolve asks up to three nodes for the gateways that clients may use.
func (s *slowReaders) resolve(i int) []*gateway {
	client := http.Client{Timeout: time.Second}
	query := url.Values{"name": {hostName}, "region": {"bayern-sued"}, "zone": {zones[i%len(zones)]}}.Encode()
	for k := range s.c.gateways {
		g := s.c.gateways[(i+k)%len(s.c.gateways)]
		res, err := client.Get("http://" + g.directory + "/v1/resolution?" + query)
		if err != nil {
			continue
		}
		var answer struct{ Addresses []string }
		err = json.NewDecoder(res.Body).Decode(&answer)
		_ = res.Body.Close()
		if err != nil || res.StatusCode != http.StatusOK {
			continue
		}
		var out []*gateway
		for _, known := range s.c.gateways {
			for _, a := range answer.Addresses {
				if a == known.callers {
					out = append(out, known)
				}
			}
		}
		return out
	}
	return nil
}

func dialSlow(address string) (net.Conn, error) {
	d := net.Dialer{Timeout: time.Second, Control: func(_, _ string, raw syscall.RawConn) error {
		var err error
		if e := raw.Control(func(fd uintptr) {
			if err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBytes); err == nil {
				err = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, segmentBytes)
			}
		}); e != nil {
			return e
		}
		return err
	}}
	return d.DialContext(context.Background(), "tcp", address)
}

// request sends a request, reads its answer slowly and reports whether the connection can be used again.
func (s *slowReaders) request(conn net.Conn, in *bufio.Reader, g *gateway) bool {
	attempt := fmt.Sprintf("%016x", rand.Uint64())
	began := time.Now()
	_ = conn.SetDeadline(began.Add(listDeadline))
	s.c.rec.line("client sends %s to %s", attempt, g.name)
	_, err := fmt.Fprintf(conn, "GET /list/2f HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nTime-Remaining: %d\r\nAuthorization: Bearer %s\r\n\r\n",
		hostName, attempt, listDeadline.Milliseconds(), apiKey)
	if err != nil {
		return false
	}
	res, err := http.ReadResponse(in, &http.Request{Method: http.MethodGet})
	if err != nil {
		s.ended(attempt, g, began, 0, 0, err)
		return false
	}
	got := int64(0)
	for err == nil {
		var n int64
		n, err = io.CopyN(io.Discard, res.Body, readBytes)
		got += n
		time.Sleep(readPause)
	}
	if err != io.EOF {
		s.ended(attempt, g, began, res.StatusCode, got, err)
		return false
	}
	s.c.rec.line("client gets %d for %s, %d bytes, complete, after %.1f s", res.StatusCode, attempt, got, time.Since(began).Seconds())
	if res.StatusCode == http.StatusOK {
		s.mu.Lock()
		s.full++
		s.mu.Unlock()
	}
	return !res.Close
}

// ended records a request whose connection ended without a complete answer, and counts it if the rule does: it had been passed on
// to a runner, its gateway got SIGTERM, and the client's deadline was not reached.
func (s *slowReaders) ended(attempt string, g *gateway, began time.Time, status int, got int64, err error) {
	now := time.Now()
	s.c.rec.line("client gets no complete answer to %s: status %d, %d bytes after %.1f s: %v", attempt, status, got, now.Sub(began).Seconds(), err)
	at, stopped := s.stopped.Load(g)
	s.c.mu.Lock()
	ran := len(s.c.runs[attempt]) > 0
	s.c.mu.Unlock()
	if !stopped || !ran || now.Sub(began) > listDeadline-slack || now.Sub(at.(time.Time)) > 9*time.Second {
		return
	}
	s.mu.Lock()
	s.lost = append(s.lost, fmt.Sprintf("LOST: %s ran, its connection to %s ended %.1f s after SIGTERM, %.1f s after it was sent, with %d of %d bytes",
		attempt, g.name, now.Sub(at.(time.Time)).Seconds(), now.Sub(began).Seconds(), got, listBytes))
	s.mu.Unlock()
}

func (s *slowReaders) report() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.c.rec.line("%d complete answers", s.full)
	for _, l := range s.lost {
		s.c.rec.line("%s", l)
	}
	return len(s.lost) > 0
}
