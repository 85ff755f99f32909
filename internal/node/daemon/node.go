package daemon

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/VictoriaMetrics/metrics"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/cardamomyoke/cardamomyoke/internal/base/control"
	"github.com/cardamomyoke/cardamomyoke/internal/base/controlport"
	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
	"github.com/cardamomyoke/cardamomyoke/internal/base/keys"
	"github.com/cardamomyoke/cardamomyoke/internal/experts/rebalance"
	"github.com/cardamomyoke/cardamomyoke/internal/state/audit"
	"github.com/cardamomyoke/cardamomyoke/internal/state/audit/writer"
	"github.com/cardamomyoke/cardamomyoke/internal/state/config"
	"github.com/cardamomyoke/cardamomyoke/internal/state/platform"
	"github.com/cardamomyoke/cardamomyoke/internal/state/revision"
	"github.com/cardamomyoke/cardamomyoke/internal/state/revision/agent"
)

const (
	// platformTimeout bounds one call to the platform.
	platformTimeout = 2 * time.Second
	// tickInterval is the interval of the control loop's ticks.
	tickInterval = 25 * time.Millisecond
)

// NodeOptions configures a Node.
type NodeOptions struct {
	Self *revision.Member
	// Seeds are control addresses of other nodes, IP:PORT, from which the node gets the configuration while the platform
	// is unavailable.
	Seeds []string
	// Platform is the address of the platform service, IP:PORT.
	Platform string
	// Fixed is a configuration that never changes. It is nil in production.
	Fixed *config.Snapshot
	// Keys are the TLS keys for the control port and for RPC to other nodes. If nil, both are unencrypted.
	Keys   *keys.Source
	Logger log.Logger
}

// Node holds what every daemon of the system needs: the control loop, the configuration, the platform client and the
// control port.
type Node struct {
	Incarnation ids.Incarnation
	Loop        *control.Loop
	Platform    *platform.Client
	// Agent is nil with a fixed configuration.
	Agent *agent.Agent
	// Audit is nil with a fixed configuration.
	Audit   *writer.Auditor
	Config  config.Source
	Mux     *http.ServeMux
	keys    *keys.Source
	logger  log.Logger
	address string
	cancel  context.CancelFunc
	control *controlport.Port
}

// NewNode returns a node that Run starts.
func NewNode(o NodeOptions) *Node {
	n := &Node{
		Incarnation: ids.NewIncarnation(),
		Loop:        control.New(),
		Platform:    platform.NewClient(platform.NewHTTP(o.Platform, platformTimeout), platform.Options{}),
		Mux:         http.NewServeMux(),
		keys:        o.Keys,
		logger:      o.Logger,
		address:     o.Self.GetAddress(),
	}
	if o.Fixed != nil {
		n.Config = config.Static{Snapshot: o.Fixed}
		return n
	}
	n.Agent = agent.New(agent.Config{
		Self:        o.Self,
		Incarnation: n.Incarnation,
		Seeds:       seedMembers(o.Seeds),
		Platform:    n.Platform,
		Hosts:       n.Platform,
		Transport:   agent.NewRPC(peerClient(o.Keys)),
		Loop:        n.Loop,
		Rand:        rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		Logger:      o.Logger,
	})
	n.Mux.Handle(agent.Handler(n.Agent))
	n.Config = n.Agent
	n.Audit = n.newAudit(o)
	return n
}

func (n *Node) newAudit(o NodeOptions) *writer.Auditor {
	return &writer.Auditor{
		Writer: writer.New(writer.Options{
			Node: o.Self.GetName(), Incarnation: n.Incarnation, Table: n.Platform, Objects: n.Platform,
			Rand: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())), Logger: o.Logger,
		}),
		Changes: writer.NewChanges(n.Platform, n.Agent.Store(), func() *revision.State { return n.Agent.View().InForce }),
	}
}

// CatchUpAudit starts to write the audit rows of changes whose own entry crashed before writing them, until ctx is
// done. Entries call it.
func (n *Node) CatchUpAudit(ctx context.Context) {
	if n.Audit != nil {
		go n.Audit.RunCatchUp(ctx, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())), n.logger)
	}
}

// Record adds an audit row about an action of this node. It does nothing with a fixed configuration.
func (n *Node) Record(now time.Time, r *audit.Row) {
	if n.Audit != nil {
		n.Audit.Record(now, r)
	}
}

// peerClient returns the HTTP client for RPC to other nodes, and the URL scheme of their addresses.
func peerClient(source *keys.Source) (client *http.Client, scheme string) {
	if source == nil {
		return agent.HTTP2(), "http"
	}
	return source.HTTPClient(), "https"
}

// HandlerOptions returns the options of the operators' service on this node: authorization by certificate if the control
// port uses TLS, otherwise none.
func (n *Node) HandlerOptions() []connect.HandlerOption {
	if n.keys == nil {
		return nil
	}
	return []connect.HandlerOption{connect.WithInterceptors(keys.Interceptor{})}
}

// seedMembers returns members for seed addresses. The address serves as the name, since a seed's real name is only known
// from its response.
func seedMembers(addresses []string) []*revision.Member {
	var out []*revision.Member
	for _, a := range addresses {
		out = append(out, &revision.Member{Name: a, Address: a})
	}
	return out
}

// Run opens the control port and starts the control loop, which calls tick at each interval until Stop.
func (n *Node) Run(set *metrics.Set, tick func(now time.Time)) error {
	c, err := controlport.Start(n.address, n.Mux, set, n.keys, n.logger)
	if err != nil {
		return fmt.Errorf("node: %w", err)
	}
	n.control = c
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	go n.Loop.Run(ctx, tickInterval, n.tickFunc(tick))
	if n.Audit != nil {
		go n.Audit.Run(ctx)
	}
	if n.keys != nil {
		go n.keys.Run(ctx)
	}
	return nil
}

// tickFunc returns the function that the control loop calls at each interval.
func (n *Node) tickFunc(tick func(now time.Time)) func(now time.Time) {
	if n.Agent == nil {
		return tick
	}
	recorder := &writer.RevisionRecorder{Writer: n.Audit.Writer}
	return func(now time.Time) {
		n.Agent.Tick(now)
		recorder.Observe(now, n.Agent.View())
		tick(now)
	}
}

// Roster returns the newest roster that this node has, or nil if it has none.
func (n *Node) Roster() *revision.Roster {
	if n.Agent == nil || n.Agent.View().Newest == nil {
		return nil
	}
	return n.Agent.View().Newest.Roster
}

// Directory returns a directory that resolves other nodes by the roster.
func (n *Node) Directory() *rebalance.Directory {
	members := func() []*revision.Member {
		if r := n.Roster(); r != nil {
			return r.Members()
		}
		return nil
	}
	client, scheme := peerClient(n.keys)
	return &rebalance.Directory{Members: members, Client: client, Scheme: scheme}
}

// Leave removes the node from the roster, so that changes no longer wait for its acknowledgement, and writes the pending
// audit rows. It is the last step of a graceful shutdown.
func (n *Node) Leave(ctx context.Context) {
	if n.Agent == nil {
		return
	}
	n.Agent.Leave(ctx)
	if err := n.Audit.Flush(ctx); err != nil {
		_ = level.Warn(n.logger).Log("msg", "audit rows not written before exit", "rows", n.Audit.Waiting(), "err", err)
	}
}

// Stop stops the agent, the control loop and the control port.
func (n *Node) Stop() {
	if n.Agent != nil {
		n.Agent.Close()
	}
	n.cancel()
	n.control.Stop()
}
