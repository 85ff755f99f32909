// Command review2-lone-survivor removes a gateway and, seconds later, another one at the moment at which it has a group held.
package main

import (
	"fmt"
	"net"
	"os"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cardamomyoke/cardamomyoke/internal/testing/loopback"
	"github.com/cardamomyoke/cardamomyoke/platform/standin"
	"github.com/cardamomyoke/cardamomyoke/review/testdata/rig2/rig"
)

const (
	gateways = 3
	// before is how long clients are served before the machines are lost, recovery is recovery_s, and judged how long after that
	// requests are judged.
	before = 6 * time.Second
	// firstLoss is how long before the end of that time the first machine is lost.
	firstLoss = time.Second
	recovery  = 12 * time.Second
	judged    = 8 * time.Second
	// between is the time between two requests, shift the time between two likings.
	between   = 50 * time.Millisecond
	shift     = 700 * time.Millisecond
	remaining = 8 * time.Second
	// maxLoss bounds the wait for an order to hold.
	maxLoss = 30 * time.Second
)

var (
	rec    = rig.NewRecord()
	number atomic.Int64
)

// tally counts the requests of a span of time.
type tally struct{ sent, served atomic.Int64 }

func main() {
	defer rig.KillAll()
	store, err := standin.StartStore()
	if err != nil {
		rig.Fail("store: %v", err)
	}
	g := newGroup()
	list := start(store, g)
	var current atomic.Pointer[[]*rig.Gateway]
	current.Store(&list)
	var lost atomic.Pointer[time.Time]
	var armed atomic.Bool
	survivor := make(chan *rig.Gateway, 1)
	g.carriedOut = func(o order, status int) {
		if o.Operation != "hold" || status/100 != 2 || !armed.Load() || !armed.CompareAndSwap(true, false) {
			return
		}
		leader := leaderOf(*current.Load())
		if leader == nil {
			armed.Store(true)
			return
		}
		at := time.Now()
		survivor <- lose(*current.Load(), leader)
		lost.Store(&at)
	}
	var early, late tally
	began := time.Now()
	var wait sync.WaitGroup
	var left *rig.Gateway
	for n := 0; ; n++ {
		now := time.Now()
		g.mu.Lock()
		g.hot = int(now.Sub(began)/shift*7) % experts
		g.mu.Unlock()
		if now.Sub(began) > before-firstLoss && len(list) == gateways && rig.Trouble() {
			list = loseOther(list)
			current.Store(&list)
		}
		if now.Sub(began) > before && lost.Load() == nil && rig.Trouble() {
			armed.Store(true)
		}
		if now.Sub(began) > before && lost.Load() == nil && !rig.Trouble() {
			lost.Store(&now)
		}
		to := list[n%len(list)]
		if left == nil {
			select {
			case left = <-survivor:
			default:
			}
		}
		if left != nil {
			to = left
		}
		var t *tally
		at := lost.Load()
		switch {
		case at == nil && now.Sub(began) < before:
			t = &early
		case at != nil && now.Sub(*at) > recovery && now.Sub(*at) <= recovery+judged:
			t = &late
		}
		if at != nil && now.Sub(*at) > recovery+judged || now.Sub(began) > before+recovery+judged+maxLoss {
			break
		}
		wait.Go(func() { request(to.Callers, t) })
		time.Sleep(between)
	}
	wait.Wait()
	rig.KillAll()
	rec.Logf("sent before the loss %d, served %d; sent %v to %v after it %d, served %d", early.sent.Load(), early.served.Load(), recovery, recovery+judged, late.sent.Load(), late.served.Load())
	switch {
	case lost.Load() == nil || 4*early.served.Load() < early.sent.Load():
		os.Exit(rig.ExitFailed)
	case 4*late.served.Load() < late.sent.Load():
		rec.Logf("rule broken: RECOVER")
		os.Exit(rig.ExitBroken)
	}
	rec.Logf("rule held")
}

// leaderOf returns the gateway that gives the orders, by its log.
func leaderOf(list []*rig.Gateway) *rig.Gateway {
	var leader *rig.Gateway
	newest := -1
	for _, g := range list {
		data, err := os.ReadFile(g.Log())
		if err != nil {
			continue
		}
		for line := range strings.Lines(string(data)) {
			if !strings.Contains(line, `msg="leadership changed"`) {
				continue
			}
			for _, field := range strings.Fields(line) {
				var n int
				if _, err := fmt.Sscanf(field, "number=%d", &n); err == nil && n > newest {
					newest, leader = n, g
				}
			}
		}
	}
	return leader
}

// loseOther kills a gateway that doesn't lead, for good, and returns the others.
func loseOther(list []*rig.Gateway) []*rig.Gateway {
	leader := leaderOf(list)
	i := slices.IndexFunc(list, func(g *rig.Gateway) bool { return g != leader })
	list[i].Signal(syscall.SIGKILL)
	rec.Logf("%s is killed and removed", list[i].Name)
	return slices.Delete(slices.Clone(list), i, i+1)
}

// lose kills the leader, for good, and returns the gateway that is left.
func lose(list []*rig.Gateway, leader *rig.Gateway) *rig.Gateway {
	leader.Signal(syscall.SIGKILL)
	left := list[slices.IndexFunc(list, func(g *rig.Gateway) bool { return g != leader })]
	rec.Logf("%s, which gave the order, is killed and removed; %s is left", leader.Name, left.Name)
	return left
}

// start starts the ranks, each with its agent on a host of its own, and the gateways.
func start(store *standin.Store, g *group) []*rig.Gateway {
	store.Put("op", "config", rig.Configuration(1, []map[string]any{rig.Route("/draft/", "streaming", "model", true)}, map[string]any{
		"name": "model", "health_path": "/health", "connection_limit": 248,
		"engine": map[string]any{
			"slots": 12, "stride": 5, "step_ms": 5.85, "per_seq_ms": 0.355, "chunk": 512, "read_per_s": 61200, "report_lag_ms": 200, "sets": sets,
			"experts": experts, "placements": placements, "spare": spare, "expert_mb": 880, "link_mbps": 180000, "expert_share": 0.85, "form_ms": 600,
		},
	}))
	_, port, err := net.SplitHostPort(loopback.Address())
	if err != nil {
		rig.Fail("address: %v", err)
	}
	for i := range ranks {
		host := fmt.Sprintf("127.79.%d.%d", os.Getpid()%250+1, i+1)
		g.serve(i, net.JoinHostPort(host, "0"))
		name := fmt.Sprintf("side-%d", i+1)
		settings := fmt.Sprintf("name: %s\nlisten: %q\nengine: %q\nlog:\n  format: logfmt\n", name, net.JoinHostPort(host, port), g.ranks[i].address)
		rig.StartProcess(name, settings, "target/cardamomyoke-agent", "run")
		rig.Register(store, g.ranks[i].id, "model", g.ranks[i].address, "ready", 12)
	}
	go g.run()
	list := rig.StartGateways(gateways, store.Address(), port)
	for _, gw := range list {
		if !gw.AwaitReady(10 * time.Second) {
			rig.Fail("%s is not ready", gw.Name)
		}
	}
	time.Sleep(2 * time.Second)
	return list
}

// request sends one request and counts it.
func request(address string, t *tally) {
	attempt := fmt.Sprintf("a%d", number.Add(1))
	a := rig.Exchange(address, rig.Request("POST", "/draft/1", attempt, remaining, "Token-Counts: 10,20", "Content-Length: 2")+"hi", remaining+time.Second)
	rec.Logf("%s: %s", attempt, a)
	if t == nil {
		return
	}
	t.sent.Add(1)
	if a.Status/100 == 2 && a.Err == nil {
		t.served.Add(1)
	}
}
