// Command review2-late-go has the ranks of a group that is idle at times leave a few orders without an answer and carry them out
// seconds later.
package main

import (
	"fmt"
	"net"
	"os"
	"sync/atomic"
	"time"

	"github.com/cardamomyoke/cardamomyoke/internal/testing/loopback"
	"github.com/cardamomyoke/cardamomyoke/platform/standin"
	"github.com/cardamomyoke/cardamomyoke/review/testdata/rig2/rig"
)

const (
	// maxRounds is how many times clients come for a while and leave again.
	maxRounds = 24
	burst     = 140 * time.Millisecond
	// quiet is how long no client comes after the round in which a switch fell into the quiet time.
	quiet     = 5 * time.Second
	remaining = 8 * time.Second
	// armsLost is how many copies of the order to arm get no answer at one rank.
	armsLost = 6
)

var (
	rec    = rig.NewRecord()
	number atomic.Int64
)

// script decides which orders get no answer, and when they are carried out. Its fields are guarded by the group's lock.
type script struct {
	g    *group
	call func()
	// heldRank and step are the hold of the first switch that finds the group idle; stage counts what has happened since.
	heldRank int
	step     uint64
	stage    stage
	goneAt   time.Time
	arms     int
	done     bool
}

type stage int

const (
	waiting    stage = iota
	holdLost         // the first copy of the hold had no answer
	held             // the second copy was answered
	goLost           // the first copy of the go had no answer
	released         // the second copy was answered
	heldAgain        // the first copy of the hold was carried out, late
	cleared          // the leader has undone the switch
	secondHeld       // the next switch holds the same step at the same rank
)

func main() {
	defer rig.KillAll()
	store, err := standin.StartStore()
	if err != nil {
		rig.Fail("store: %v", err)
	}
	g := newGroup()
	list := start(store, g)
	s := &script{g: g}
	s.call = func() { go request(list[0].Callers, 0) }
	if rig.Trouble() {
		g.lose = s.lose
	}
	g.carriedOut = s.carriedOut
	for round := 1; round <= maxRounds && !play(list, g, s, round); round++ {
	}
	time.Sleep(500 * time.Millisecond)
	g.mu.Lock()
	mixed, stage, orders, lost := len(g.mixed), s.stage, g.orders, g.lost
	g.mu.Unlock()
	rig.KillAll()
	rec.Logf("orders since the first loss %d, without an answer %d; passes with two maps %d", orders, lost, mixed)
	switch {
	case mixed > 0:
		rec.Logf("rule broken: MAP")
		os.Exit(rig.ExitBroken)
	case rig.Trouble() && stage != secondHeld || stage == waiting:
		rec.Logf("the order of events did not come about, stage %d", stage)
		os.Exit(rig.ExitFailed)
	}
	rec.Logf("rule held")
}

// start starts the ranks, each with its agent on a host of its own, and two gateways.
func start(store *standin.Store, g *group) []*rig.Gateway {
	store.Put("op", "config", rig.Configuration(1, []map[string]any{rig.Route("/draft/", "streaming", "model", false)}, map[string]any{
		"name": "model", "health_path": "/health", "connection_limit": 100,
		"engine": map[string]any{
			"slots": 12, "stride": 5, "step_ms": 3, "chunk": 512, "read_per_s": 60000, "report_lag_ms": 50, "sets": sets, "experts": experts,
			"placements": placements, "spare": spare, "expert_mb": 1, "link_mbps": 8000, "expert_share": 0.85, "form_ms": 500,
		},
	}))
	_, port, err := net.SplitHostPort(loopback.Address())
	if err != nil {
		rig.Fail("address: %v", err)
	}
	for i := range ranks {
		host := fmt.Sprintf("127.77.%d.%d", os.Getpid()%250+1, i+1)
		g.serve(i, net.JoinHostPort(host, "0"))
		name := fmt.Sprintf("side-%d", i+1)
		settings := fmt.Sprintf("name: %s\nlisten: %q\nengine: %q\nlog:\n  format: logfmt\n", name, net.JoinHostPort(host, port), g.ranks[i].address)
		rig.StartProcess(name, settings, "target/cardamomyoke-agent", "run")
		rig.Register(store, g.ranks[i].id, "model", g.ranks[i].address, "ready", 12)
	}
	go g.run()
	list := rig.StartGateways(2, store.Address(), port)
	for _, gw := range list {
		if !gw.AwaitReady(10 * time.Second) {
			rig.Fail("%s is not ready", gw.Name)
		}
	}
	time.Sleep(2 * time.Second)
	return list
}

// play lets clients come for a while with a new liking, and leave. It reports whether a switch has found the group idle.
func play(list []*rig.Gateway, g *group, s *script, round int) bool {
	g.mu.Lock()
	g.hot = round % experts
	g.mu.Unlock()
	for end := time.Now().Add(burst); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		go request(list[round%len(list)].Callers, 0)
	}
	for end := time.Now().Add(time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		g.mu.Lock()
		found := s.stage != waiting
		g.mu.Unlock()
		if found {
			time.Sleep(quiet)
			return true
		}
	}
	return false
}

// request sends one request and records its end.
func request(address string, _ int) {
	attempt := fmt.Sprintf("a%d", number.Add(1))
	rec.Logf("%s is sent", attempt)
	a := rig.Exchange(address, rig.Request("POST", "/draft/1", attempt, remaining, "Token-Counts: 10,20", "Content-Length: 2")+"hi", remaining)
	rec.Logf("%s: %s", attempt, a)
}

// lose decides whether an order gets no answer.
func (s *script) lose(r int, o order) bool {
	switch {
	case s.stage == waiting && o.Operation == "hold" && s.g.idle() && o.Pass > s.g.pass:
		s.heldRank, s.step, s.stage = r, o.Pass, holdLost
		s.g.counting, s.g.orders = true, 1
		time.AfterFunc(minLate, func() { s.late(r, o, heldAgain) })
		return true
	case s.stage == held && o.Operation == "go" && r == s.heldRank && o.Pass == s.step:
		s.stage, s.goneAt = goLost, time.Now()
		return true
	case s.stage == secondHeld && o.Operation == "arm" && r == 1-s.heldRank && s.arms < armsLost:
		s.arms++
		if s.arms == 1 {
			s.letGo()
		}
		return true
	}
	return false
}

// late carries an order out that had no answer.
func (s *script) late(r int, o order, next stage) {
	s.g.mu.Lock()
	defer s.g.mu.Unlock()
	status := s.g.carryOut(r, o)
	rec.Logf("rank %d carries out, late, the order %s: %d", r, o, status)
	if next > s.stage {
		s.stage = next
	}
}

// letGo carries out the go of the first switch, which had no answer, and a client comes.
func (s *script) letGo() {
	age := time.Since(s.goneAt)
	if age < minLate || age > maxLate {
		return
	}
	o := order{Operation: "go", Epoch: 1, Pass: s.step}
	status := s.g.carryOut(s.heldRank, o)
	rec.Logf("rank %d carries out, after %v, the order %s: %d", s.heldRank, age.Round(time.Millisecond), o, status)
	s.call()
}

// carriedOut follows the switches.
func (s *script) carriedOut(r int, o order, status int) {
	if status/100 != 2 {
		return
	}
	switch {
	case !rig.Trouble() && s.stage == waiting && o.Operation == "hold" && s.g.idle():
		s.stage = released
	case s.stage == holdLost && o.Operation == "hold":
		s.stage = held
	case s.stage == goLost && o.Operation == "go":
		s.stage = released
	case s.stage == heldAgain && o.Operation == "go" && r == s.heldRank:
		s.stage = cleared
	case s.stage == cleared && o.Operation == "hold" && r == s.heldRank && o.Pass == s.step:
		s.stage = secondHeld
	}
}
