// Package config measures how a change of the configuration reaches every node: its time, messages, bytes, CPU and
// memory, and the use of the platform, with many light nodes in one process.
package config

import (
	"context"
	"fmt"
	"math/rand/v2"
	"runtime"
	"syscall"
	"time"

	"github.com/cardamomyoke/cardamomyoke/internal/base/control"
	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
	cardamomyokev1 "github.com/cardamomyoke/cardamomyoke/internal/gen/cardamomyoke/v1"
	"github.com/cardamomyoke/cardamomyoke/internal/state/platform"
	"github.com/cardamomyoke/cardamomyoke/internal/state/revision"
	"github.com/cardamomyoke/cardamomyoke/internal/state/revision/agent"
	"github.com/cardamomyoke/cardamomyoke/internal/state/revision/memnet"
	standin "github.com/cardamomyoke/cardamomyoke/internal/testing/standin/platform"
)

const (
	centres     = 6
	tick        = 50 * time.Millisecond
	pollPeriod  = time.Millisecond
	startLimit  = 2 * time.Minute
	changeLimit = time.Minute
	tableDelay  = 8 * time.Millisecond
)

// delays are the one-way times between nodes.
type delays struct{ local, centre, region time.Duration }

// between returns the delay between two nodes, whose names begin with the number of their data centre.
func (d delays) between(from, to string) time.Duration {
	switch a, b := from[0], to[0]; {
	case a == b:
		return d.local
	case (a-'0')/(centres/2) == (b-'0')/(centres/2):
		return d.centre
	}
	return d.region
}

// cluster is a set of nodes over one stand-in of the platform.
type cluster struct {
	store  *standin.Store
	net    *memnet.Net
	agents []*agent.Agent
	names  []string
	cancel context.CancelFunc
	ops    int
}

// StuckError says that the nodes did not come as far as they should in time.
type StuckError struct{ Step string }

// Error implements error.
func (e *StuckError) Error() string { return "stuck: " + e.Step }

func start(n int, d delays, seed uint64) *cluster {
	ctx, cancel := context.WithCancel(context.Background())
	c := &cluster{store: standin.NewStore(standin.Limits{}), net: memnet.New(d.between), cancel: cancel}
	c.store.SetFaults(standin.PartTable, standin.Faults{Delay: tableDelay})
	for i := range n {
		name := fmt.Sprintf("%d-%04d", i%centres, i)
		loop := control.New()
		a := agent.New(agent.Config{
			Self: &revision.Member{
				Name: name, DataCentre: fmt.Sprintf("dc%d", i%centres), Address: "127.0.0.1:1",
				Role: cardamomyokev1.NodeRole_NODE_ROLE_ENTRY,
			},
			Incarnation: ids.NewIncarnation(), Platform: platform.NewClient(c.store.Client(name), platform.Options{}),
			Transport: c.net.Transport(name), Loop: loop, Rand: rand.New(rand.NewPCG(seed, uint64(i))),
		})
		c.agents = append(c.agents, a)
		c.names = append(c.names, name)
		c.net.Attach(name, a)
		go loop.Run(ctx, tick, a.Tick)
	}
	return c
}

func (c *cluster) stop() {
	c.cancel()
	for _, a := range c.agents {
		a.Close()
	}
}

// every waits until ok holds for each node.
func (c *cluster) every(step string, limit time.Duration, ok func(*revision.View) bool) error {
	end := time.Now().Add(limit)
	for _, a := range c.agents {
		for !ok(a.View()) {
			if time.Now().After(end) {
				return &StuckError{step}
			}
			time.Sleep(pollPeriod)
		}
	}
	return nil
}

// ready waits until every node is a member and takes work.
func (c *cluster) ready() error {
	n := len(c.agents)
	return c.every("start", startLimit, func(v *revision.View) bool {
		return v.Newest != nil && len(v.Newest.Roster.Members()) == n && time.Now().Before(v.FreshUntil) && v.Accepted == v.Staged
	})
}

// change commits one change at a node and returns how long it took to be in force on every node.
func (c *cluster) change(at int, edits []*cardamomyokev1.Edit) (time.Duration, error) {
	c.ops++
	begin := time.Now()
	a := c.agents[at]
	e, err := a.Change(context.Background(), &cardamomyokev1.ChangeMeta{
		Operator: "bench", Reason: "measurement", OperationId: fmt.Sprintf("bench-%d", c.ops),
		BaseRevision: a.View().Newest.Revision(),
	}, func(*revision.State) ([]*cardamomyokev1.Edit, error) { return edits, nil })
	if err != nil {
		return 0, err
	}
	err = c.every("change", changeLimit, func(v *revision.View) bool { return v.InForce.Seq >= e.GetSeq() })
	return time.Since(begin), err
}

func policies(ms uint32) *cardamomyokev1.Edit {
	return &cardamomyokev1.Edit{
		Action: cardamomyokev1.EditAction_EDIT_ACTION_CHANGE,
		Object: &cardamomyokev1.Edit_Policies{Policies: &cardamomyokev1.Policies{
			AddressKeepMs: ms, EjectionPercent: 30, QuarantineS: 60,
		}},
	}
}

func client(action cardamomyokev1.EditAction, i int, share uint32) *cardamomyokev1.Edit {
	return &cardamomyokev1.Edit{Action: action, Object: &cardamomyokev1.Edit_Client{
		Client: &cardamomyokev1.ClientAccount{Name: fmt.Sprintf("client-%05d", i), Share: share, RequestsPerS: 10, TokensPerS: 1000},
	}}
}

// usage is what the whole process and all nodes have used up to a moment.
type usage struct {
	at              time.Time
	cpu             time.Duration
	messages, bytes uint64
	reads, writes   uint64
}

func (c *cluster) usage() usage {
	u := usage{at: time.Now()}
	var r syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &r); err == nil {
		u.cpu = time.Duration(r.Utime.Nano() + r.Stime.Nano())
	}
	for _, name := range c.names {
		n := c.net.Usage(name)
		u.messages += n.Messages.Load()
		u.bytes += n.Bytes.Load()
	}
	s := c.store.Usage()
	u.reads, u.writes = s.Reads, s.Writes
	return u
}

// perNode returns the messages and bytes that each node has sent and received.
func (c *cluster) perNode() (messages, bytes []uint64) {
	for _, name := range c.names {
		n := c.net.Usage(name)
		messages = append(messages, n.Messages.Load()+n.Received.Load())
		bytes = append(bytes, n.Bytes.Load()+n.ReceivedBytes.Load())
	}
	return messages, bytes
}

// heap returns the bytes that live objects and stacks take.
func heap() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc + m.StackInuse
}
