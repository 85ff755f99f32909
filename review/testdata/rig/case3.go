package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/cardamomyoke/cardamomyoke/internal/testing/loopback"
)

const (
	// poisonPath is the target of a request that crashes each runner that begins to run it.
	poisonPath = "/hold/7c"
	// poisonEvery is the time between two of its attempts; backAfter is how long a runner is down after a crash.
	poisonEvery = 7 * time.Second
	backAfter   = 2 * time.Second
	// stabilityWindow is the site's stability_window_ms.
	stabilityWindow = 3 * time.Second
	// herdKills is how often all gateways are killed at once; they start again after killedFor.
	herdKills = 2
	killedFor = time.Second
	// attemptsPerLife is how many attempts come between two kills.
	attemptsPerLife = 4
	otherClients    = 36
	// maxRetries is how many retries may reach runners after the third crash.
	maxRetries = 3
)

// poisoned collects what the runners see of the request that crashes them.
type poisoned struct {
	mu sync.Mutex
	// crashes are the times at which it crashed a runner.
	crashes []time.Time
	// sentAt holds when the client sent each attempt, reached the attempts that reached a runner.
	sentAt  map[string]time.Time
	reached map[string]bool
	// next numbers the incarnations of runners.
	next int
}

// crash is called as a runner begins to run the request: it crashes and is back some seconds later.
func (p *poisoned) crash(r *runner, attempt string) {
	p.mu.Lock()
	p.crashes = append(p.crashes, time.Now())
	p.reached[attempt] = true
	p.next++
	id := fmt.Sprintf("i-n%d", p.next)
	p.mu.Unlock()
	r.crash()
	time.AfterFunc(backAfter, func() { _ = r.upAndRegister(id, 0) })
}

// crashesAgain: all gateways are killed at once and start again, while a request that crashes runners comes again and again.
func crashesAgain(c *testCase) (broken bool, err error) {
	c.store.Put("op", "config", ledgerConfiguration())
	p := &poisoned{sentAt: map[string]time.Time{}, reached: map[string]bool{}}
	c.poison = p
	for i, zone := range zones {
		r := &runner{c: c, service: ledgerService, zone: zone, address: loopback.Address(), work: 60 * time.Millisecond}
		if err := r.upAndRegister(fmt.Sprintf("i-%d", i+1), 0); err != nil {
			return false, err
		}
	}
	if err := c.startGateways(); err != nil {
		return false, err
	}
	stop := make(chan struct{})
	var done sync.WaitGroup
	for i := range otherClients {
		done.Go(func() { ledgerClient(c, c.gateways[i%len(c.gateways)], stop) })
	}
	for life := range herdKills + 1 {
		time.Sleep(stabilityWindow + 500*time.Millisecond)
		for range attemptsPerLife {
			p.send(c)
			time.Sleep(poisonEvery)
		}
		if !c.trouble || life == herdKills {
			continue
		}
		if err := c.killAll(); err != nil {
			return false, err
		}
	}
	close(stop)
	done.Wait()
	return p.report(c), nil
}

// send sends the request once, to a gateway at random. All gateways have run for longer than the stability window.
func (p *poisoned) send(c *testCase) {
	cl := &client{c: c, gateway: c.gateways[rand.IntN(len(c.gateways))], deadline: 1500 * time.Millisecond}
	cl.sent = func(attempt string) {
		p.mu.Lock()
		p.sentAt[attempt] = time.Now()
		p.mu.Unlock()
	}
	cl.send(http.MethodPost, poisonPath)
	if cl.conn != nil {
		cl.drop()
	}
}

// killAll kills all gateways at the same moment and starts them again.
func (c *testCase) killAll() error {
	c.rec.line("all gateways are killed")
	for _, g := range c.gateways {
		g.signal(syscall.SIGKILL)
	}
	for _, g := range c.gateways {
		<-g.exited
	}
	time.Sleep(killedFor)
	for _, g := range c.gateways {
		if err := g.start(); err != nil {
			return err
		}
	}
	return c.awaitReady()
}

// report counts the attempts that were sent later than the stability window after the third crash and reached a runner.
func (p *poisoned) report(c *testCase) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	c.rec.line("the request crashed runners %d times", len(p.crashes))
	if len(p.crashes) < maxRetries {
		return false
	}
	from := p.crashes[2].Add(stabilityWindow)
	retries := 0
	for attempt := range p.reached {
		if p.sentAt[attempt].After(from) {
			retries++
			c.rec.line("BUDGET: %s, sent %.1f s after the third crash, reached a runner", attempt, p.sentAt[attempt].Sub(p.crashes[2]).Seconds())
		}
	}
	c.rec.line("%d hold-notices of other clients ran and ended with 502", c.cutOff())
	c.rec.line("%d retries reached runners, %d may", retries, maxRetries)
	return retries > maxRetries
}

// cutOff counts the requests of other clients on the unsafe route that a crash cut off.
func (c *testCase) cutOff() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for attempt, status := range c.statuses {
		if status == http.StatusBadGateway && len(c.runs[attempt]) > 0 && c.paths[attempt] == "/hold/2f" {
			n++
		}
	}
	return n
}
