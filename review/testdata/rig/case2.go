package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cardamomyoke/cardamomyoke/internal/testing/loopback"
	"github.com/cardamomyoke/cardamomyoke/platform/standin"
)

const (
	modelService = "desk-model"
	groupSize    = 16
	// garblingRanks is 0.5 of the ranks.
	garblingRanks = 8
	// disruptions is how often the two disruptions come; each time they last for disruptionTime, after calmTime.
	disruptions    = 10
	disruptionTime = 5 * time.Second
	calmTime       = 4 * time.Second
	draftClients   = 6
)

// modelConfiguration has one streaming route to a group of ranks; its engine is that of the stand-in.
func modelConfiguration() map[string]any {
	return map[string]any{
		"version": 1,
		"routes": []map[string]any{{
			"name": "quote-draft", "host": hostName, "prefix": "/draft/", "kind": "streaming", "timeout_ms": 8000, "target_latency_ms": 400,
			"target_gap_ms": 120, "priority": 1, "service": modelService, "attempts": 2, "resumable": true, "sticky": true,
		}},
		"services": []map[string]any{{
			"name": modelService, "health_path": "/health", "connection_limit": 248,
			"engine": map[string]any{
				"slots": 12, "stride": 5, "step_ms": 3, "chunk": 512, "read_per_s": 61200, "report_lag_ms": 200,
				"sets": standin.GroupSets, "experts": standin.GroupExperts, "placements": standin.GroupMaxPerRank,
				"spare": standin.GroupSpare, "expert_mb": 1, "link_mbps": 8000, "expert_share": 0.85, "form_ms": 500,
			},
		}},
		"limits":  map[string]any{"header_bytes": 16384, "body_bytes": 4194304, "header_timeout_ms": 5000, "idle_timeout_ms": 20000},
		"tenants": []map[string]any{{"name": "hule930", "api_keys": []string{apiKey}}},
	}
}

// mixedMaps: ranks leave orders unanswered and carry them out late, and send extra copies of their answers. With ONLY set to late or
// garble there is only one of the two.
func mixedMaps(c *testCase) (broken bool, err error) {
	c.store.Put("op", "config", modelConfiguration())
	group, err := standin.StartGroup(groupSize, nil)
	if err != nil {
		return false, err
	}
	defer group.Stop()
	var late, garble atomic.Bool
	var ranks []*rank
	host, agentPort, err := net.SplitHostPort(loopback.Address())
	if err != nil {
		return false, err
	}
	_, enginePort, err := net.SplitHostPort(loopback.Address())
	if err != nil {
		return false, err
	}
	c.agentPort = agentPort
	for i := range groupSize {
		ip := net.ParseIP(host).To4()
		ip[1] += byte(1 + i)
		r := &rank{
			c: c, id: fmt.Sprintf("i-%d", i), address: net.JoinHostPort(ip.String(), enginePort), group: group.Address(i),
			garbles: i%(groupSize/garblingRanks) == 0, garble: &garble, leave: &late,
		}
		if err := r.serve(); err != nil {
			return false, err
		}
		if err := c.startAgent(i, net.JoinHostPort(ip.String(), agentPort), r.address); err != nil {
			return false, err
		}
		ranks = append(ranks, r)
	}
	if err := c.startGateways(); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	stop := make(chan struct{})
	var done sync.WaitGroup
	for i := range draftClients {
		done.Go(func() { draftClient(c, c.gateways[i%len(c.gateways)], stop) })
	}
	for range disruptions {
		time.Sleep(calmTime)
		if c.trouble {
			c.rec.line("disruptions begin")
			late.Store(os.Getenv("ONLY") != "garble")
			garble.Store(os.Getenv("ONLY") != "late")
		}
		time.Sleep(disruptionTime)
		late.Store(false)
		garble.Store(false)
		c.rec.line("disruptions end")
		if len(group.MixedPasses()) > 0 {
			break
		}
	}
	time.Sleep(time.Second)
	close(stop)
	done.Wait()
	pass, switches := group.Progress()
	c.rec.line("%d passes, %d switches of the map", pass, switches)
	for _, r := range ranks {
		c.rec.line("rank %s: %d answers, %d extra ones; %d orders, %d carried out late", r.id, r.answers.Load(), r.extras.Load(), r.orders.Load(), r.late.Load())
	}
	for i, m := range group.MixedPasses() {
		if i < 20 {
			c.rec.line("MAP: %s", m)
		}
	}
	return len(group.MixedPasses()) > 0, nil
}

// startAgent starts the agent of a rank with the command of the deploy file; its settings are deploy/agent.yaml.tmpl, filled in.
func (c *testCase) startAgent(i int, listen, engine string) error {
	name := fmt.Sprintf("side-%s-%d", zones[i%len(zones)], i)
	path := filepath.Join(c.dir, name+".yaml")
	text := fmt.Sprintf("name: %s\nlisten: %q\nengine: %q\nlog:\n  format: logfmt\n", name, listen, engine)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return err
	}
	cmd := exec.Command("target/cardamomyoke-agent", "run")
	cmd.Env = append(os.Environ(), "CARDAMOMYOKE_SETTINGS="+path)
	if err := cmd.Start(); err != nil {
		return err
	}
	c.agents = append(c.agents, cmd)
	return nil
}

// draftClient sends one request for a draft after the other.
func draftClient(c *testCase, g *gateway, stop <-chan struct{}) {
	cl := &client{c: c, gateway: g, deadline: 8 * time.Second}
	for {
		select {
		case <-stop:
			return
		case <-time.After(rand.N(200 * time.Millisecond)):
		}
		cl.send(http.MethodPost, "/draft/2f")
	}
}
