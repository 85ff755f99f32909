// Package config measures the cost of configuration changes: the time until a change is in force on every node, the
// messages, bytes, CPU and memory of a node, and the reads and writes of the platform. The nodes are agents in one
// process over an in-memory network.
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
	dataCentres   = 6
	tick          = 50 * time.Millisecond
	pollPeriod    = time.Millisecond
	startTimeout  = 2 * time.Minute
	changeTimeout = time.Minute
	tableDelay    = 8 * time.Millisecond
)

// delays holds the one-way delays between nodes: within a data centre, between data centres of a region, and between
// regions.
type delays struct{ local, dataCentre, region time.Duration }

// between returns the delay between two nodes. A node's name starts with the number of its data centre, and each region
// has half of the data centres.
func (d delays) between(from, to string) time.Duration {
	switch a, b := from[0], to[0]; {
	case a == b:
		return d.local
	case (a-'0')/(dataCentres/2) == (b-'0')/(dataCentres/2):
		return d.dataCentre
	}
	return d.region
}

// cluster is a set of nodes that share one stand-in for the platform.
type cluster struct {
	store      *standin.Store
	net        *memnet.Net
	agents     []*agent.Agent
	names      []string
	cancel     context.CancelFunc
	operations int
}

// NoProgressError reports that the nodes did not complete a step, or not in time.
type NoProgressError struct{ Step string }

// Error implements error.
func (e *NoProgressError) Error() string { return "no progress in step: " + e.Step }

// startCluster starts n nodes, distributed evenly over the data centres.
func startCluster(n int, d delays, seed uint64) *cluster {
	ctx, cancel := context.WithCancel(context.Background())
	c := &cluster{store: standin.NewStore(standin.Limits{}), net: memnet.New(d.between), cancel: cancel}
	c.store.SetFaults(standin.PartTable, standin.Faults{Delay: tableDelay})
	for i := range n {
		name := fmt.Sprintf("%d-%04d", i%dataCentres, i)
		loop := control.New()
		a := agent.New(agent.Config{
			Self: &revision.Member{
				Name: name, DataCentre: fmt.Sprintf("dc%d", i%dataCentres), Address: "127.0.0.1:1",
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

// waitForAll waits until ok holds for each node. After the timeout it returns a NoProgressError for the step.
func (c *cluster) waitForAll(step string, timeout time.Duration, ok func(*revision.View) bool) error {
	deadline := time.Now().Add(timeout)
	for _, a := range c.agents {
		for !ok(a.View()) {
			if time.Now().After(deadline) {
				return &NoProgressError{step}
			}
			time.Sleep(pollPeriod)
		}
	}
	return nil
}

// waitReady waits until every node is a member and accepts new work, and its newest log entry is accepted.
func (c *cluster) waitReady() error {
	n := len(c.agents)
	return c.waitForAll("start", startTimeout, func(v *revision.View) bool {
		return v.Newest != nil && len(v.Newest.Roster.Members()) == n && time.Now().Before(v.FreshUntil) && v.Accepted == v.Staged
	})
}

// change commits one change at a node and returns the time until it is in force on every node.
func (c *cluster) change(at int, edits []*cardamomyokev1.Edit) (time.Duration, error) {
	c.operations++
	start := time.Now()
	a := c.agents[at]
	e, err := a.Change(context.Background(), &cardamomyokev1.ChangeMeta{
		Operator: "bench", Reason: "measurement", OperationId: fmt.Sprintf("bench-%d", c.operations),
		BaseRevision: a.View().Newest.Revision(),
	}, func(*revision.State) ([]*cardamomyokev1.Edit, error) { return edits, nil })
	if err != nil {
		return 0, err
	}
	err = c.waitForAll("change", changeTimeout, func(v *revision.View) bool { return v.InForce.Seq >= e.GetSeq() })
	return time.Since(start), err
}

func policiesEdit(ms uint32) *cardamomyokev1.Edit {
	return &cardamomyokev1.Edit{
		Action: cardamomyokev1.EditAction_EDIT_ACTION_CHANGE,
		Object: &cardamomyokev1.Edit_Policies{Policies: &cardamomyokev1.Policies{
			AddressKeepMs: ms, EjectionPercent: 30, QuarantineS: 60,
		}},
	}
}

func clientEdit(action cardamomyokev1.EditAction, i int, share uint32) *cardamomyokev1.Edit {
	return &cardamomyokev1.Edit{Action: action, Object: &cardamomyokev1.Edit_Client{
		Client: &cardamomyokev1.ClientAccount{Name: fmt.Sprintf("client-%05d", i), Share: share, RequestsPerS: 10, TokensPerS: 1000},
	}}
}

// usage holds the CPU time of the process, and the traffic and platform calls of all nodes, up to a point in time.
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

// perNode returns the number of messages and bytes that each node has sent and received, in sum.
func (c *cluster) perNode() (messages, bytes []uint64) {
	for _, name := range c.names {
		n := c.net.Usage(name)
		messages = append(messages, n.Messages.Load()+n.Received.Load())
		bytes = append(bytes, n.Bytes.Load()+n.ReceivedBytes.Load())
	}
	return messages, bytes
}

// heapBytes returns the memory of live objects and of stacks, in bytes.
func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc + m.StackInuse
}
