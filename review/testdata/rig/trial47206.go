package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/cardamomyoke/cardamomyoke/internal/testing/loopback"
)

const (
	// coldStart and coldPerSecond are those of the site tlw-prairie-grown, as are the overshoot and the slack.
	coldStart     = 3 * time.Second
	coldPerSecond = 17
	coldAllowed   = 1.5*coldPerSecond + 5
	// coldCycles is how often a runner restarts; coldClients are those who send, about 45 requests a second to each runner.
	coldCycles  = 5
	coldClients = 30
	// warmFor is how long the runners have run before the case.
	warmFor = 10 * time.Minute
	// firstColdWrite is the time from a runner's start to its first write, less than a heartbeat.
	firstColdWrite = 1100 * time.Millisecond
)

// coldSettings are the settings that the template has for a deployment with bounds on evacuations and cold runners.
const coldSettings = `  evacuate: 5000ms
  hold_watch: 50ms
  cold: { overshoot: 1.5, slack: 5 }
`

// floodedCold is the trial for the entry TestSoak/seeds/47206 of KNOWN-RED.txt, not a case: a runner restarts under its id and is cold,
// while all gateways are killed and start again; they read its entry of before. With KILL=0 they are not killed.
func floodedCold(c *testCase) (broken bool, err error) {
	c.moreBounds = coldSettings
	configuration := ledgerConfiguration()
	service := configuration["services"].([]map[string]any)[0]
	service["cold_start_s"], service["cold_per_s"] = coldStart.Seconds(), coldPerSecond
	c.store.Put("op", "config", configuration)
	var runners []*runner
	for i, zone := range zones {
		r := &runner{c: c, service: ledgerService, zone: zone, address: loopback.Address(), work: 20 * time.Millisecond, born: time.Now().Add(-warmFor)}
		if err := r.upAndRegister(fmt.Sprintf("i-%d", i+1), 0); err != nil {
			return false, err
		}
		runners = append(runners, r)
	}
	if err := c.startGateways(); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second) // the stability window
	stop := make(chan struct{})
	var done sync.WaitGroup
	for i := range coldClients {
		done.Go(func() { coldClient(c, c.gateways[i%len(c.gateways)], stop) })
	}
	for cycle := range coldCycles {
		time.Sleep(7 * time.Second)
		most, err := c.restartCold(runners[cycle%len(runners)])
		if err != nil {
			return false, err
		}
		broken = broken || float64(most) > coldAllowed
	}
	close(stop)
	done.Wait()
	return broken, nil
}

// coldClient sends one request after the other.
func coldClient(c *testCase, g *gateway, stop <-chan struct{}) {
	cl := &client{c: c, gateway: g, deadline: 4 * time.Second}
	for {
		select {
		case <-stop:
			return
		case <-time.After(rand.N(300 * time.Millisecond)):
		}
		cl.send(http.MethodPost, "/hold/2f")
	}
}

// restartCold restarts a runner under its id and returns the most requests that it got in a second while it was cold.
func (c *testCase) restartCold(r *runner) (most int, err error) {
	kill := c.trouble && os.Getenv("KILL") != "0"
	r.end()
	time.Sleep(time.Second)
	if kill {
		c.rec.line("all gateways are killed")
		for _, g := range c.gateways {
			g.signal(syscall.SIGKILL)
		}
		for _, g := range c.gateways {
			<-g.exited
		}
	}
	time.Sleep(800 * time.Millisecond)
	r.born = time.Now()
	if err := r.up(r.id); err != nil {
		return 0, err
	}
	for _, g := range c.gateways {
		if kill {
			if err := g.start(); err != nil {
				return 0, err
			}
		}
	}
	for wait := firstColdWrite; time.Since(r.born) < coldStart+heartbeat; wait = heartbeat {
		time.Sleep(wait)
		r.register("ready")
	}
	most = r.mostInSecond(r.born, r.born.Add(coldStart))
	c.rec.line("FAILBACK: cold runner %s got %d requests in one second, %.1f may come", r.id, most, coldAllowed)
	return most, nil
}

// mostInSecond returns the most requests that arrived within any second of a time.
func (r *runner) mostInSecond(from, to time.Time) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	most := 0
	for i, a := range r.arrivals {
		n := 0
		for _, b := range r.arrivals[i:] {
			if !a.Before(from) && b.Before(to) && b.Sub(a) < time.Second {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}
