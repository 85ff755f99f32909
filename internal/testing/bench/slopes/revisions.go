package slopes

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/cardamomyoke/cardamomyoke/internal/base/control"
	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
	cardamomyokev1 "github.com/cardamomyoke/cardamomyoke/internal/gen/cardamomyoke/v1"
	"github.com/cardamomyoke/cardamomyoke/internal/gen/cardamomyoke/v1/cardamomyokev1connect"
	"github.com/cardamomyoke/cardamomyoke/internal/state/platform"
	"github.com/cardamomyoke/cardamomyoke/internal/state/revision"
	"github.com/cardamomyoke/cardamomyoke/internal/state/revision/agent"
	"github.com/cardamomyoke/cardamomyoke/internal/state/revision/memnet"
	"github.com/cardamomyoke/cardamomyoke/internal/testing/bench/meter"
	standin "github.com/cardamomyoke/cardamomyoke/internal/testing/standin/platform"
)

const (
	agentTick   = 50 * time.Millisecond
	joinTimeout = 30 * time.Second
	agentWarmup = 3 * time.Second // until nodes have received what they lacked at the start
	agentSpan   = 8 * time.Second
	changeCount = 5
)

// cluster is a deployment whose nodes run in this process, with a stand-in for the platform and an in-memory network.
type cluster struct {
	store  *standin.Store
	net    *memnet.Net
	agents []*agent.Agent
	names  []string
	cancel context.CancelFunc
}

// startCluster starts n nodes and waits until all of them are in the roster in force at every node.
func startCluster(n int) (*cluster, error) {
	ctx, cancel := context.WithCancel(context.Background())
	c := &cluster{store: standin.NewStore(standin.Limits{}), net: memnet.New(nil), cancel: cancel}
	rng := rand.New(rand.NewPCG(1, uint64(n)))
	all := members(n)
	for i, m := range all {
		client := c.store.Client(m.GetName())
		loop := control.New()
		node := agent.New(agent.Config{
			Self: m, Incarnation: ids.NewIncarnation(), Seeds: all[:min(i, 6)], Platform: platform.NewClient(client, platform.Options{}),
			Transport: c.net.Transport(m.GetName()), Loop: loop, Rand: rand.New(rand.NewPCG(rng.Uint64(), 2)),
		})
		go loop.Run(ctx, agentTick, node.Tick)
		c.agents = append(c.agents, node)
		c.names = append(c.names, m.GetName())
		c.net.Attach(m.GetName(), node)
	}
	deadline := time.Now().Add(joinTimeout)
	for !c.joined() {
		if time.Now().After(deadline) {
			c.stop()
			return nil, fmt.Errorf("join: %w", &ClusterTimeoutError{n})
		}
		time.Sleep(agentTick)
	}
	// Before there is a configuration, a node accepts no work and sends no vouch.
	if err := c.change(0); err != nil {
		c.stop()
		return nil, err
	}
	return c, nil
}

// ClusterTimeoutError reports that not all nodes joined within joinTimeout, or that a change was not accepted within
// it.
type ClusterTimeoutError struct{ Nodes int }

// Error implements error.
func (e *ClusterTimeoutError) Error() string {
	return fmt.Sprintf("cluster of %d nodes timed out", e.Nodes)
}

func (c *cluster) joined() bool {
	for _, node := range c.agents {
		v := node.View()
		if v == nil || v.InForce == nil || len(v.InForce.Roster.Members()) != len(c.agents) {
			return false
		}
	}
	return true
}

func (c *cluster) stop() {
	for _, node := range c.agents {
		node.Close()
	}
	c.cancel()
}

// traffic returns the total messages and bytes that the nodes have sent so far, and the bytes of each node.
func (c *cluster) traffic() (messages, bytes float64, each []float64) {
	for _, name := range c.names {
		u := c.net.Usage(name)
		messages += float64(u.Messages.Load())
		b := float64(u.Bytes.Load())
		bytes += b
		each = append(each, b)
	}
	return messages, bytes, each
}

// revisionFigures measures an idle deployment, and then a few consecutive changes.
func revisionFigures(n int) ([]float64, error) {
	c, err := startCluster(n)
	if err != nil {
		return nil, err
	}
	defer c.stop()
	time.Sleep(agentWarmup)
	messages, bytes, each := c.traffic()
	usage, busy := c.store.Usage(), meter.ProcessorTime()
	time.Sleep(agentSpan)
	messages2, bytes2, each2 := c.traffic()
	usage2, busy2 := c.store.Usage(), meter.ProcessorTime()
	seconds, nodes := agentSpan.Seconds(), float64(n)
	busiest := 0.0
	for i := range each {
		busiest = max(busiest, (each2[i]-each[i])/seconds)
	}
	out := []float64{
		(messages2 - messages) / seconds / nodes, (bytes2 - bytes) / seconds / nodes, busiest,
		float64(usage2.Reads-usage.Reads) / seconds, float64(usage2.Writes-usage.Writes) / seconds,
		float64((busy2 - busy).Microseconds()) / seconds / nodes,
	}
	changes, err := c.changes()
	return append(out, changes...), err
}

// changes makes changeCount consecutive changes and returns the mean number of table writes per change and the longest
// time in ms until a change was accepted.
func (c *cluster) changes() ([]float64, error) {
	usage := c.store.Usage()
	longest := time.Duration(0)
	for i := range changeCount {
		began := time.Now()
		if err := c.change(i + 1); err != nil {
			return nil, err
		}
		longest = max(longest, time.Since(began))
	}
	usage2 := c.store.Usage()
	return []float64{float64(usage2.Writes-usage.Writes) / changeCount, float64(longest.Microseconds()) / 1e3}, nil
}

// change commits change number i at the first node and waits until it is accepted there.
func (c *cluster) change(i int) error {
	ctx, cancel := context.WithTimeout(context.Background(), joinTimeout)
	defer cancel()
	meta := &cardamomyokev1.ChangeMeta{
		Operator: "bench", Reason: "slopes", OperationId: fmt.Sprint("change-", i), BaseRevision: uint64(i),
	}
	e, err := c.agents[0].Change(ctx, meta, setAddressTTL(uint32(1000+i)))
	if err != nil {
		return fmt.Errorf("commit change: %w", err)
	}
	if c.agents[0].Wait(ctx, e.GetSeq()).Accepted < e.GetSeq() {
		return fmt.Errorf("wait for acceptance: %w", &ClusterTimeoutError{len(c.agents)})
	}
	return nil
}

// setAddressTTL returns an edit that sets the policies, with ms as the time that callers keep addresses.
func setAddressTTL(ms uint32) func(*revision.State) ([]*cardamomyokev1.Edit, error) {
	return func(*revision.State) ([]*cardamomyokev1.Edit, error) {
		return []*cardamomyokev1.Edit{{
			Action: cardamomyokev1.EditAction_EDIT_ACTION_CHANGE,
			Object: &cardamomyokev1.Edit_Policies{Policies: &cardamomyokev1.Policies{AddressKeepMs: ms, EjectionPercent: 30, QuarantineS: 60}},
		}}, nil
	}
}

// countingConn counts the bytes read from and written to a connection.
type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

// Read implements net.Conn.
func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}

// discardService accepts pushes and discards them.
type discardService struct {
	cardamomyokev1connect.UnimplementedRevisionServiceHandler
}

// Push implements the RPC.
func (discardService) Push(context.Context, *cardamomyokev1.PushRequest) (*cardamomyokev1.PushResponse, error) {
	return &cardamomyokev1.PushResponse{}, nil
}

// pushFigures sends the given number of heartbeats through a Connect client and server over loopback, with HTTP/2 like
// the agents. It returns the bytes in both directions and the processor time of both ends in microseconds.
func pushFigures(calls int) ([]float64, error) {
	server, address, err := serveDiscard()
	if err != nil {
		return nil, err
	}
	defer func() { _ = server.Close() }()
	var bytes atomic.Int64
	transport := &http.Transport{Protocols: new(http.Protocols), DialContext: func(ctx context.Context, network, to string) (net.Conn, error) {
		c, err := (&net.Dialer{}).DialContext(ctx, network, to)
		if err != nil {
			return nil, fmt.Errorf("dial: %w", err)
		}
		return countingConn{c, &bytes}, nil
	}}
	transport.Protocols.SetUnencryptedHTTP2(true)
	rpc := agent.NewRPC(&http.Client{Transport: transport}, "http")
	to := &revision.Member{Name: "to", Address: address}
	push := newHeartbeat(targetMembers)
	send := func(n int) error {
		for range n {
			if err := rpc.Push(context.Background(), to, push); err != nil {
				return fmt.Errorf("push: %w", err)
			}
		}
		return nil
	}
	const warmupCalls = 20
	if err := send(warmupCalls); err != nil {
		return nil, err
	}
	before, busy := bytes.Load(), meter.ProcessorTime()
	if err := send(calls); err != nil {
		return nil, err
	}
	return []float64{float64(bytes.Load() - before), float64((meter.ProcessorTime() - busy).Microseconds())}, nil
}

// newHeartbeat returns the push that a node sends when nothing changes, in a deployment of n members. It includes the
// bitmap of missing members.
func newHeartbeat(n int) *revision.Push {
	return &revision.Push{
		From: "entry-0001", Incarnation: incarnation, Origin: incarnation, Beat: 100_000, Committed: 700_000, Accepted: 700_000,
		TableAgeUs: 700_000, Echo: 100_000, EchoAgeUs: 1_000_000, Staged: 700_000, Missing: make([]byte, (n+7)/8),
		Vouch: &cardamomyokev1.Vouch{Seq: 700_000, AgeUs: 400_000, All: true, DataCentres: []string{"centre-0", "centre-1", "centre-2", "centre-3", "centre-4", "centre-5"}},
	}
}

// newHeartbeatAck returns the acknowledgement that a node sends to its parent for itself and all nodes below it.
func newHeartbeatAck(n int) *revision.Ack {
	bits := make([]byte, (n+7)/8)
	return &revision.Ack{
		From: "entry-0001", Incarnation: incarnation, Origin: incarnation, Beat: 100_000, Nonce: 100_000, Staged: 700_000,
		Committed: 700_000, Address: "10.1.0.1:7200", Holds: bits, Alive: bits, MaxStaged: 700_000,
	}
}

// serveDiscard starts a server for discardService on loopback and returns it with its address.
func serveDiscard() (*http.Server, string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, "", fmt.Errorf("listen: %w", err)
	}
	mux := http.NewServeMux()
	mux.Handle(cardamomyokev1connect.NewRevisionServiceHandler(discardService{}))
	server := &http.Server{Handler: mux, Protocols: new(http.Protocols)}
	server.Protocols.SetUnencryptedHTTP2(true)
	go func() { _ = server.Serve(listener) }()
	return server, listener.Addr().String(), nil
}

func revisionExperiments() []Experiment {
	return []Experiment{
		{
			Driver: "nodes", Sizes: []int{12, 24, 48, 96}, Target: targetMembers,
			Metrics: []Metric{
				{"revision.messages", "every node", "messages/s a node", Paced}, {"revision.bytes", "every node", "B/s a node, without headers", Paced},
				{"revision.bytes.busiest", "every node", "B/s of the busiest, without headers", Paced},
				{"revision.reads", "platform", "reads/s, all nodes", Paced}, {"revision.writes", "platform", "writes/s, all nodes", Paced},
				{"revision.processor", "every node", "µs/s a node", Timed},
				{"revision.change.writes", "platform", "writes a change", Counted}, {"revision.change.accepted", "every node", "ms until accepted", Waited},
			},
			Run: revisionFigures,
		},
		{
			Driver: "members", Sizes: []int{19, 285, 570, 1140}, Target: targetMembers,
			Metrics: []Metric{
				{"revision.push.size", "every node", "B encoded", Exact}, {"revision.ack.size", "every node", "B encoded", Exact},
			},
			Run: func(n int) ([]float64, error) {
				return []float64{float64(proto.Size(newHeartbeat(n))), float64(proto.Size(newHeartbeatAck(n)))}, nil
			},
		},
		{
			Driver: "beats to one node", Sizes: []int{100, 200, 400, 800}, Target: 100,
			Metrics: []Metric{{"rpc.beat.bytes", "every node", "B both ways", Counted}, {"rpc.beat.processor", "every node", "µs, both ends", Timed}},
			Run:     pushFigures,
		},
	}
}
