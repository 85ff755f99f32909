// Command rig runs the cases of review/ on this machine: the project's gateways as processes of their own, and stand-ins
// of clients, runners and the platform's store. Its first argument is the number of the case.
package main

import (
	"fmt"
	"os"
	"os/exec"
	"os/signal"
	"sync"
	"syscall"

	"github.com/cardamomyoke/cardamomyoke/platform/standin"
)

const (
	hostName   = "desk.example"
	apiKey     = "n2ctnfzs989anu6wsjnb"
	exitBroken = 1
	exitCannot = 2
)

// testCase is the state of one case.
type testCase struct {
	rec      *record
	dir      string
	trouble  bool
	store    *standin.Store
	gateways []*gateway
	agents   []*exec.Cmd
	// agentPort is the port of the agents on the hosts of the ranks.
	agentPort string

	// moreBounds are lines of the settings for the bounds that only some sites have.
	moreBounds string
	// poison is nil unless a request crashes the runners.
	poison *poisoned

	mu sync.Mutex
	// runs lists, by attempt id, the runners that ran a request; statuses holds what the client got.
	runs     map[string][]string
	paths    map[string]string
	statuses map[string]int
}

func (c *testCase) ran(attempt, id, path string) {
	c.mu.Lock()
	c.runs[attempt] = append(c.runs[attempt], id)
	c.paths[attempt] = path
	c.mu.Unlock()
	c.rec.line("runner %s runs %s", id, attempt)
}

func (c *testCase) answered(attempt, path string, status int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.paths[attempt] = path
	c.statuses[attempt] = status
}

var cases = map[string]func(*testCase) (broken bool, err error){
	"1":     secondRunAfterExtraAnswer,
	"2":     mixedMaps,
	"3":     crashesAgain,
	"47206": floodedCold,
}

func main() { os.Exit(run()) }

// stopOnSignal ends the processes of the case if it is interrupted.
func (c *testCase) stopOnSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	<-signals
	c.stopProcesses()
	_ = os.RemoveAll(c.dir)
	os.Exit(exitCannot)
}

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig CASE RECORD")
		return exitCannot
	}
	rec, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCannot
	}
	defer rec.close()
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCannot
	}
	if os.Getenv("KEEP") == "" {
		defer func() { _ = os.RemoveAll(dir) }()
	} else {
		fmt.Println(dir)
	}
	store, err := standin.StartStore()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCannot
	}
	defer store.Stop()
	c := &testCase{
		rec: rec, dir: dir, agentPort: "7355", trouble: os.Getenv("TROUBLE") != "0", store: store,
		runs: map[string][]string{}, paths: map[string]string{}, statuses: map[string]int{},
	}
	defer c.stopProcesses()
	go c.stopOnSignal()
	broken, err := cases[os.Args[1]](c)
	switch {
	case err != nil:
		rec.line("cannot run: %v", err)
		fmt.Fprintln(os.Stderr, "cannot run:", err)
		return exitCannot
	case broken:
		fmt.Println("the rule was broken")
		return exitBroken
	}
	fmt.Println("the rule held")
	return 0
}
