// Command review2-memory sends bodies of the size that the configuration allows to two gateways, as many clients at once or one by one, and
// ends a gateway whose memory is over its limit, as the platform does.
package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cardamomyoke/cardamomyoke/platform/standin"
	"github.com/cardamomyoke/cardamomyoke/review/testdata/rig2/rig"
)

const (
	gateways = 2
	// memoryLimitKB is memory_mb of the settings.
	memoryLimitKB = 284 << 10
	bodyBytes     = 4194304
	// perSecond is the traffic of the site (84 a second on 7 machines) at the largest burst of the site (1.7), for one machine.
	perSecond = 20
	crowdTime = 3 * time.Second
	// sendTime is how long a client takes to send its request; the configuration allows 3 s.
	sendTime   = 1800 * time.Millisecond
	pieceBytes = 32 << 10
	crowds     = 3
	pause      = 4 * time.Second
	// restartDelay is the platform's delay before it starts an ended process again.
	restartDelay = 500 * time.Millisecond
	deadline     = 8 * time.Second
	// endsForFault and machinesForFault are those of the rule.
	endsForFault, machinesForFault = 3, 2
)

var (
	rec     = rig.NewRecord()
	number  atomic.Int64
	piece   = strings.Repeat("x", pieceBytes)
	answers sync.Map // what clients got, by attempt
)

func main() {
	defer rig.KillAll()
	store, err := standin.StartStore()
	if err != nil {
		rig.Fail("store: %v", err)
	}
	store.Put("op", "config", rig.Configuration(1, []map[string]any{rig.Route("/draft/", "streaming", "model", true)},
		map[string]any{"name": "model", "health_path": "/health", "connection_limit": 100}))
	var servers []*rig.Server
	for i := range 4 {
		servers = append(servers, rig.StartServer(store, fmt.Sprintf("i-%d", i+1), "model", 12, 60*time.Millisecond))
	}
	list := rig.StartGateways(gateways, store.Address(), "")
	for _, g := range list {
		if !g.AwaitReady(10 * time.Second) {
			rig.Fail("%s is not ready", g.Name)
		}
	}
	time.Sleep(time.Second)
	ends := make([]atomic.Int64, gateways)
	peaks := make([]atomic.Int64, gateways)
	for i, g := range list {
		go enforceLimit(g, &ends[i], &peaks[i])
	}
	for crowd := range crowds {
		rec.Logf("crowd %d: %d requests a second of %d bytes at each machine for %v", crowd+1, perSecond, bodyBytes, crowdTime)
		play(list)
		time.Sleep(pause)
	}
	report(servers, list, ends, peaks)
}

// enforceLimit ends a process whose memory is over the limit, and starts it again.
func enforceLimit(g *rig.Gateway, ends, peak *atomic.Int64) {
	for {
		kb := int64(g.MemoryKB())
		if kb > peak.Load() {
			peak.Store(kb)
		}
		if kb > memoryLimitKB {
			rec.Logf("%s has %d KB, its limit is %d KB: killed", g.Name, kb, memoryLimitKB)
			ends.Add(1)
			g.Kill()
			time.Sleep(restartDelay)
			g.Start()
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// play sends one crowd's requests, all clients at their own time or, without trouble, one after the other.
func play(list []*rig.Gateway) {
	var wait sync.WaitGroup
	for _, g := range list {
		n := int(crowdTime.Seconds() * perSecond)
		if !rig.Trouble() {
			wait.Go(func() {
				for range n {
					request(g, 0)
				}
			})
			continue
		}
		for i := range n {
			wait.Go(func() {
				time.Sleep(time.Duration(i) * time.Second / perSecond)
				request(g, sendTime)
			})
		}
	}
	wait.Wait()
}

// request sends one request over a time and records what its client got.
func request(g *rig.Gateway, over time.Duration) {
	attempt := fmt.Sprintf("a%d", number.Add(1))
	answer, sent := exchange(g.Callers, attempt, over)
	rec.Logf("%s %s: sent %d of %d body bytes; %s", g.Name, attempt, sent, bodyBytes, answer)
	answers.Store(attempt, result{answer, sent == bodyBytes})
}

type result struct {
	answer rig.Answer
	whole  bool
}

func exchange(address, attempt string, over time.Duration) (answer rig.Answer, sent int) {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return rig.Answer{Err: err}, 0
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(deadline))
	began := time.Now()
	if _, err := io.WriteString(c, rig.Request("POST", "/draft/1", attempt, deadline, "Token-Counts: 100000,20", fmt.Sprintf("Content-Length: %d", bodyBytes))); err != nil {
		return rig.Answer{Err: err}, 0
	}
	for sent < bodyBytes {
		time.Sleep(time.Until(began.Add(over * time.Duration(sent) / bodyBytes)))
		n, err := io.WriteString(c, piece[:min(pieceBytes, bodyBytes-sent)])
		sent += n
		if err != nil {
			break // an answer may have come before the end of the body
		}
	}
	return rig.ReadAnswer(bufio.NewReader(c)), sent
}

func report(servers []*rig.Server, list []*rig.Gateway, ends, peaks []atomic.Int64) {
	served, refused, unanswered, ran := 0, 0, 0, 0
	answers.Range(func(key, value any) bool {
		r := value.(result)
		runs := 0
		for _, s := range servers {
			runs += s.Runs(key.(string))
		}
		rec.Logf("%s: runners have run it %d times", key, runs)
		switch {
		case r.answer.Status/100 == 2 && r.answer.Err == nil:
			served++
		case r.answer.Status != 0:
			refused++
		default:
			unanswered++
			if runs > 0 {
				ran++
			}
		}
		return true
	})
	rec.Logf("served %d, refused or failed %d, without an answer %d, of which a runner has run %d", served, refused, unanswered, ran)
	broken := 0
	for i, g := range list {
		rec.Logf("%s: peak %d KB, ended %d times for its memory, %d times by itself", g.Name, peaks[i].Load(), ends[i].Load(), g.Ends())
		if ends[i].Load()+int64(g.Ends()) >= endsForFault {
			broken++
		}
	}
	rig.KillAll()
	if broken >= machinesForFault {
		rec.Logf("rule broken: %d machines ended %d times or more, with no disruption on them", broken, endsForFault)
		os.Exit(rig.ExitBroken)
	}
	rec.Logf("rule held")
}
