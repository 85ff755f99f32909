package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/cardamomyoke/cardamomyoke/internal/testing/loopback"
)

const (
	ledgerService = "ledger-bridge"
	// cycles is how often a runner crashes; cycleTime is the time from one crash to the next, downTime how long it is down.
	cycles    = 6
	cycleTime = 8 * time.Second
	downTime  = time.Second
	// firstWrite is the time from a runner's start to its first write to the registry; it writes once in a heartbeat.
	firstWrite = 800 * time.Millisecond
	clients    = 12
	// clientPause is the mean time between an answer and the next request of a client.
	clientPause = 300 * time.Millisecond
)

// ledgerConfiguration has the routes of the site arriaga-renta to its ledger.
func ledgerConfiguration() map[string]any {
	route := func(name, prefix, kind string, attempts int) map[string]any {
		return map[string]any{
			"name": name, "host": hostName, "prefix": prefix, "kind": kind, "timeout_ms": 800, "target_latency_ms": 300,
			"priority": 2, "service": ledgerService, "attempts": attempts,
		}
	}
	return map[string]any{
		"version":  1,
		"routes":   []map[string]any{route("hold-notice", "/hold/", "unsafe", 1), route("pick-slip", "/slip/", "safe", 2)},
		"services": []map[string]any{{"name": ledgerService, "health_path": "/health", "connection_limit": 100}},
		"limits":   map[string]any{"header_bytes": 16384, "body_bytes": 4194304, "header_timeout_ms": 5000, "idle_timeout_ms": 20000},
		"tenants":  []map[string]any{{"name": "hule930", "api_keys": []string{apiKey}}},
	}
}

// secondRunAfterExtraAnswer: a runner that has just started again sends one of its 421 answers once more, late.
func secondRunAfterExtraAnswer(c *testCase) (broken bool, err error) {
	c.store.Put("op", "config", ledgerConfiguration())
	var runners []*runner
	for i, zone := range zones {
		r := &runner{c: c, service: ledgerService, zone: zone, address: loopback.Address(), work: 60 * time.Millisecond}
		if err := r.upAndRegister(fmt.Sprintf("i-%d0", i+1), 0); err != nil {
			return false, err
		}
		runners = append(runners, r)
	}
	if err := c.startGateways(); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second) // the stability window
	stop := make(chan struct{})
	var done sync.WaitGroup
	for i := range clients {
		done.Go(func() { ledgerClient(c, c.gateways[i%len(c.gateways)], stop) })
	}
	for cycle := range cycles {
		time.Sleep(cycleTime - downTime)
		r := runners[cycle%len(runners)]
		if !c.trouble {
			time.Sleep(downTime)
			continue
		}
		r.crash()
		time.Sleep(downTime)
		r.mu.Lock()
		r.extraLate = true
		r.mu.Unlock()
		if err := r.upAndRegister(fmt.Sprintf("i-%d%d", cycle%len(runners)+1, cycle/len(runners)+1), firstWrite); err != nil {
			return false, err
		}
	}
	time.Sleep(cycleTime)
	close(stop)
	done.Wait()
	for _, r := range runners {
		c.rec.line("runner at %s: %d answers, %d extra ones", r.address, r.answers, r.extras)
	}
	return c.unsafeRunsTwice(), nil
}

// ledgerClient sends the site's mix of requests: 6.39 hold notices for 3 pick slips.
func ledgerClient(c *testCase, g *gateway, stop <-chan struct{}) {
	cl := &client{c: c, gateway: g, deadline: 1500 * time.Millisecond}
	for {
		select {
		case <-stop:
			return
		case <-time.After(rand.N(2 * clientPause)):
		}
		if rand.Float64() < 6.39/9.39 {
			cl.send(http.MethodPost, "/hold/2f")
		} else {
			cl.send(http.MethodGet, "/slip/2f")
		}
	}
}

// unsafeRunsTwice reports whether a request on the unsafe route ran more than once.
func (c *testCase) unsafeRunsTwice() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	broken := false
	for attempt, by := range c.runs {
		if len(by) > 1 && c.paths[attempt] == "/hold/2f" {
			c.rec.line("TWICE: %s ran at %v, its client got %d", attempt, by, c.statuses[attempt])
			broken = true
		}
	}
	return broken
}
