package daemon

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-kit/log"

	"github.com/cardamomyoke/cardamomyoke/internal/config"
	"github.com/cardamomyoke/cardamomyoke/internal/control"
	"github.com/cardamomyoke/cardamomyoke/internal/ids"
	"github.com/cardamomyoke/cardamomyoke/internal/platform"
	"github.com/cardamomyoke/cardamomyoke/internal/revision"
	"github.com/cardamomyoke/cardamomyoke/internal/revision/agent"
)

const (
	// platformTimeout bounds one call to the platform.
	platformTimeout = 2 * time.Second
	// tickEvery is the period of the control loop.
	tickEvery = 25 * time.Millisecond
)

// NodeOptions say who a node is.
type NodeOptions struct {
	Self *revision.Member
	// Seeds are RPC addresses of other nodes, IP:PORT, to ask while the table is down.
	Seeds []string
	// Platform is the address of the platform's service, IP:PORT.
	Platform string
	// Fixed is a configuration that never changes; nil in production.
	Fixed  *config.Snapshot
	Logger log.Logger
}

// Node is what every daemon of the system has: the control loop, the configuration, the platform and the RPC port.
type Node struct {
	Incarnation ids.Incarnation
	Loop        *control.Loop
	Platform    *platform.Client
	// Agent is nil with a fixed configuration.
	Agent   *agent.Agent
	Config  config.Source
	Mux     *http.ServeMux
	logger  log.Logger
	address string
	cancel  context.CancelFunc
	control *Control
}

// NewNode builds a node; nothing runs before Run.
func NewNode(o NodeOptions) *Node {
	n := &Node{
		Incarnation: ids.NewIncarnation(),
		Loop:        control.New(),
		Platform:    platform.NewClient(platform.NewHTTP(o.Platform, platformTimeout), platform.Options{}),
		Mux:         http.NewServeMux(),
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
		Transport:   agent.NewRPC(agent.HTTP2(), "http"),
		Loop:        n.Loop,
		Rand:        rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		Logger:      o.Logger,
	})
	n.Mux.Handle(agent.Handler(n.Agent))
	n.Config = n.Agent
	return n
}

// seedMembers makes members of addresses; a seed's name is learned from its answer.
func seedMembers(addresses []string) []*revision.Member {
	var out []*revision.Member
	for _, a := range addresses {
		out = append(out, &revision.Member{Name: a, Address: a})
	}
	return out
}

// Run opens the RPC port and runs the control loop, with tick in each period, until Stop.
func (n *Node) Run(set *metrics.Set, tick func(now time.Time)) error {
	c, err := StartControl(n.address, n.Mux, set, n.logger)
	if err != nil {
		return fmt.Errorf("node: %w", err)
	}
	n.control = c
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	go n.Loop.Run(ctx, tickEvery, func(now time.Time) {
		if n.Agent != nil {
			n.Agent.Tick(now)
		}
		tick(now)
	})
	return nil
}

// Roster returns the newest members that this node knows of, or nil.
func (n *Node) Roster() *revision.Roster {
	if n.Agent == nil || n.Agent.View().Newest == nil {
		return nil
	}
	return n.Agent.View().Newest.Roster
}

// Leave takes the node out of the roster, as the last step of an orderly shutdown: from then on no change waits for it.
func (n *Node) Leave(ctx context.Context) {
	if n.Agent != nil {
		n.Agent.Leave(ctx)
	}
}

// Stop ends the node.
func (n *Node) Stop() {
	if n.Agent != nil {
		n.Agent.Close()
	}
	n.cancel()
	n.control.Stop()
}
