package mapswitch

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"

	"github.com/cardamomyoke/cardamomyoke/internal/base/control"
	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
	"github.com/cardamomyoke/cardamomyoke/internal/experts/expertmap"
	"github.com/cardamomyoke/cardamomyoke/internal/experts/expertmap/node"
	"github.com/cardamomyoke/cardamomyoke/internal/gen/cardamomyoke/v1/cardamomyokev1connect"
)

const (
	groupName    = ids.Group("bench")
	proposerName = ids.Node("proposer")
)

// group is a group of ranks with their slots and one proposer. Each has its own address on loopback.
type group struct {
	ctx       context.Context
	cancel    context.CancelFunc
	engines   *lockstep
	proposer  *node.Proposer
	addresses map[expertmap.Addr]string
	servers   []*http.Server
	// sent counts messages. proposerMuted drops the proposer's messages after its cap requests, as if it had crashed.
	sent          atomic.Int64
	proposerMuted atomic.Bool
}

// countingTransport counts messages and drops those of a muted proposer.
type countingTransport struct {
	node.Transport
	group *group
}

// Send implements node.Transport.
func (c countingTransport) Send(g ids.Group, from, to expertmap.Addr, m expertmap.Message) {
	_, certificate := m.(expertmap.Certificate)
	_, refusal := m.(expertmap.Refusal)
	if c.group.proposerMuted.Load() && from.IsProposer() && (certificate || refusal) {
		return
	}
	c.group.sent.Add(1)
	c.Transport.Send(g, from, to, m)
}

// startGroup starts the slots of all ranks and a proposer, and switches the group to its first map.
func startGroup(ranks int, stepTime time.Duration, seed uint64) (*group, error) {
	ctx, cancel := context.WithCancel(context.Background())
	rng := rand.New(rand.NewPCG(seed, uint64(ranks)))
	g := &group{ctx: ctx, cancel: cancel, engines: newLockstep(ranks, stepTime, rng), addresses: map[expertmap.Addr]string{}}
	hubs := map[expertmap.Addr]*node.Hub{}
	for r := range ranks {
		hubs[expertmap.Addr{Rank: expertmap.Rank(r)}] = node.NewHub()
	}
	hubs[expertmap.Addr{Proposer: proposerName}] = node.NewHub()
	for a, h := range hubs {
		if err := g.serve(a, h); err != nil {
			g.close()
			return nil, err
		}
	}
	for a, h := range hubs {
		g.startMember(a, h, ranks)
	}
	go g.engines.run()
	_, err := g.proposer.Propose(ctx, 1, expertmap.MapID{Version: 1, Name: "first"})
	return g, err
}

// serve starts an HTTP server for the hub of one slot or of the proposer.
func (g *group) serve(a expertmap.Addr, h *node.Hub) error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	mux := http.NewServeMux()
	mux.Handle(cardamomyokev1connect.NewExpertMapServiceHandler(h))
	server := &http.Server{Handler: mux}
	g.servers = append(g.servers, server)
	g.addresses[a] = "http://" + listener.Addr().String()
	go func() { _ = server.Serve(listener) }()
	return nil
}

// startMember starts the proposer or the slot of one rank.
func (g *group) startMember(a expertmap.Addr, h *node.Hub, ranks int) {
	resolve := func(_ ids.Group, to expertmap.Addr) (string, bool) {
		url, ok := g.addresses[to]
		return url, ok
	}
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
	tr := countingTransport{node.NewTransport(g.ctx, client, resolve), g}
	loop := control.New()
	go loop.Run(g.ctx, time.Second, func(time.Time) {})
	if a.IsProposer() {
		cfg := expertmap.ProposerConfig{ID: 1, Ranks: ranks, Timing: expertmap.DefaultProposerTiming()}
		g.proposer = node.NewProposer(node.ProposerOptions{Group: groupName, Node: a.Proposer, Config: cfg, Loop: loop, Transport: tr})
		h.AddProposer(groupName, g.proposer)
		go g.proposer.Run(g.ctx)
		return
	}
	cfg := expertmap.SlotConfig{Rank: a.Rank, Ranks: ranks, Incarnation: node.NewIncarnation(), Timing: expertmap.DefaultSlotTiming()}
	slot := node.NewSlot(node.SlotOptions{
		Group: groupName, Config: cfg, Engine: rankEngine{g.engines, int(a.Rank)}, Loop: loop, Transport: tr, Logger: log.NewNopLogger(),
	})
	h.AddSlot(groupName, slot)
	go slot.Run(g.ctx)
}

func (g *group) close() {
	g.engines.close()
	g.cancel()
	for _, s := range g.servers {
		_ = s.Close()
	}
}
