package agent_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
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
	tick       = 50 * time.Millisecond
	staleAfter = 4 * time.Second
	// hostLag is the delay after which the host list shows a change.
	hostLag = 20 * time.Second
)

// member is one process of the cluster under test.
type member struct {
	name   string
	agent  *agent.Agent
	table  *standin.Client
	cancel context.CancelFunc
	done   chan struct{}
	paused chan chan struct{}
	// resumesBy is the time by which the latest pause has certainly ended.
	resumesBy time.Time
}

// cluster runs agents against a stand-in of the platform, within a synctest bubble.
type cluster struct {
	t          *testing.T
	store      *standin.Store
	net        *memnet.Net
	rng        *rand.Rand
	members    map[string]*member
	operations int
}

func newCluster(t *testing.T, seed uint64) *cluster {
	delay := func(from, to string) time.Duration {
		if dataCentre(from) == dataCentre(to) {
			return 200 * time.Microsecond
		}
		return 1500 * time.Microsecond
	}
	c := &cluster{
		t: t, store: standin.NewStore(standin.Limits{}), net: memnet.New(delay),
		rng: rand.New(rand.NewPCG(seed, 1)), members: map[string]*member{},
	}
	c.store.SetFaults(standin.PartTable, standin.Faults{Delay: 4 * time.Millisecond})
	return c
}

// dataCentre returns the data centre in a node's name: "a" for "a-3".
func dataCentre(name string) string { return name[:1] }

func (c *cluster) describe(name string) *revision.Member {
	return &revision.Member{Name: name, DataCentre: dataCentre(name), Address: name + ":1", Role: cardamomyokev1.NodeRole_NODE_ROLE_ENTRY}
}

func (c *cluster) start(name string, seeds ...string) *member {
	m := &member{name: name, table: c.store.Client(name), done: make(chan struct{}), paused: make(chan chan struct{}, 1)}
	var peers []*revision.Member
	for _, s := range seeds {
		peers = append(peers, c.describe(s))
	}
	loop := control.New()
	m.agent = agent.New(agent.Config{
		Self: c.describe(name), Incarnation: ids.NewIncarnation(), Seeds: peers,
		Platform: platform.NewClient(m.table, platform.Options{}), Transport: c.net.Transport(name), Loop: loop, Hosts: m.table,
		Rand: rand.New(rand.NewPCG(c.rng.Uint64(), 2)),
	})
	ctx, cancel := context.WithCancel(context.Background())
	m.cancel = cancel
	go func() {
		defer close(m.done)
		loop.Run(ctx, tick, func(now time.Time) {
			select {
			case resume := <-m.paused:
				<-resume
				now = time.Now()
			default:
			}
			m.agent.Tick(now)
		})
	}()
	c.members[name] = m
	c.net.Attach(name, m.agent)
	c.updateHostList()
	return m
}

// startAll starts n nodes in each data centre.
func (c *cluster) startAll(n int, centres ...string) {
	for _, dc := range centres {
		for i := range n {
			c.start(fmt.Sprintf("%s-%d", dc, i))
		}
	}
}

func (c *cluster) kill(name string) {
	m := c.members[name]
	c.net.Attach(name, nil)
	m.agent.Close()
	m.cancel()
	<-m.done
	delete(c.members, name)
	c.updateHostList()
}

// updateHostList makes the host list contain the current processes after hostLag.
func (c *cluster) updateHostList() {
	var hosts []platform.Host
	for name := range c.members {
		hosts = append(hosts, platform.Host{Name: name, DataCentre: ids.DataCentre(dataCentre(name)), State: platform.HostLive})
	}
	c.store.SetHosts(hosts, hostLag)
}

func (c *cluster) stop() {
	for name := range c.members {
		c.kill(name)
	}
	time.Sleep(time.Minute) // lets messages and late writes in flight finish
}

// pause pauses a node's control loop; the process still serves its current view.
func (m *member) pause() (resume func()) {
	ch := make(chan struct{})
	m.paused <- ch
	return func() { close(ch) }
}

// partition separates the named nodes from the others and, if table is set, from the platform.
func (c *cluster) partition(table bool, names ...string) {
	inside := map[string]bool{}
	for _, name := range names {
		inside[name] = true
	}
	c.net.Partition(func(from, to string) bool { return inside[from] != inside[to] })
	for name, m := range c.members {
		m.table.SetDisconnected(table && inside[name])
	}
}

func (c *cluster) healPartition() { c.partition(false) }

func (c *cluster) meta(base uint64) *cardamomyokev1.ChangeMeta {
	c.operations++
	return &cardamomyokev1.ChangeMeta{Operator: "op", Reason: "test", OperationId: fmt.Sprintf("op-%d", c.operations), BaseRevision: base}
}

// change commits a new value of address_keep_ms, the simplest possible change.
func (c *cluster) change(at string, base uint64) *revision.LogEntry {
	c.t.Helper()
	e, err := c.members[at].agent.Change(context.Background(), c.meta(base), addressTTLEdit(1000+uint32(base)))
	if err != nil {
		c.t.Fatalf("change based on %d at %s: %v", base, at, err)
	}
	return e
}

func addressTTLEdit(ms uint32) func(*revision.State) ([]*cardamomyokev1.Edit, error) {
	return func(*revision.State) ([]*cardamomyokev1.Edit, error) {
		p := &cardamomyokev1.Policies{AddressKeepMs: ms, EjectionPercent: 30, QuarantineS: 60}
		return []*cardamomyokev1.Edit{{
			Action: cardamomyokev1.EditAction_EDIT_ACTION_CHANGE,
			Object: &cardamomyokev1.Edit_Policies{Policies: p},
		}}, nil
	}
}

// accepted waits until the node `at` learns that e is accepted, and returns how long that took.
func (c *cluster) accepted(at string, e *revision.LogEntry, limit time.Duration) time.Duration {
	c.t.Helper()
	start := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	v := c.members[at].agent.Wait(ctx, e.GetSeq())
	if v.Accepted < e.GetSeq() {
		c.t.Fatalf("entry %d is not accepted after %v, pending %v", e.GetSeq(), limit, v.Pending)
	}
	return time.Since(start)
}

// wantInForce checks that, once staleAfter has passed, every node that takes new work has at least revision rev in force.
func (c *cluster) wantInForce(rev uint64) {
	c.t.Helper()
	time.Sleep(staleAfter)
	for name, m := range c.members {
		v := m.agent.View()
		if v.Fresh(time.Now()) && v.InForce.Revision() < rev {
			c.t.Fatalf("%s takes work on revision %d, want %d", name, v.InForce.Revision(), rev)
		}
	}
}

func (c *cluster) wantFresh(want bool, names ...string) {
	c.t.Helper()
	for _, name := range names {
		if got := c.members[name].agent.Fresh(time.Now()); got != want {
			c.t.Fatalf("%s: fresh %v, want %v; view %+v", name, got, want, c.members[name].agent.View())
		}
	}
}

func (c *cluster) names(dc string) []string {
	var out []string
	for name := range c.members {
		if dataCentre(name) == dc {
			out = append(out, name)
		}
	}
	return out
}
