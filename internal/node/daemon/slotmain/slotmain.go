// Package slotmain assembles the slot daemon: the slot and, for an engine that is a rank of a model group, its side of
// the switch from one expert map to the next.
package slotmain

import (
	"context"
	"fmt"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/go-kit/log"

	"github.com/cardamomyoke/cardamomyoke/internal/base/program"
	"github.com/cardamomyoke/cardamomyoke/internal/base/settings"
	"github.com/cardamomyoke/cardamomyoke/internal/experts/expertmap"
	"github.com/cardamomyoke/cardamomyoke/internal/experts/expertmap/node"
	cardamomyokev1 "github.com/cardamomyoke/cardamomyoke/internal/gen/cardamomyoke/v1"
	"github.com/cardamomyoke/cardamomyoke/internal/gen/cardamomyoke/v1/cardamomyokev1connect"
	"github.com/cardamomyoke/cardamomyoke/internal/node/daemon"
	"github.com/cardamomyoke/cardamomyoke/internal/node/rank"
	"github.com/cardamomyoke/cardamomyoke/internal/node/slot"
	"github.com/cardamomyoke/cardamomyoke/internal/state/revision"
)

// Program returns the slot daemon.
func Program() program.Program {
	var configFile *string
	return program.Program{
		Name:     "cardamomyoke-slot",
		Help:     "Runs on the same host as an upstream and is the only process that sends it requests and orders.",
		Settings: func() settings.Checker { return &slot.Settings{} },
		Flags:    func(cmd *kingpin.CmdClause) { configFile = daemon.FixedConfigFlag(cmd) },
		Run: func(ctx context.Context, set settings.Checker, o program.Options) error {
			return run(ctx, set, o, *configFile)
		},
	}
}

func run(ctx context.Context, checked settings.Checker, o program.Options, file string) error {
	fixed, err := daemon.ReadFixedConfig(file)
	if err != nil {
		return err
	}
	set := checked.(*slot.Settings)
	r, err := daemon.Open(ctx, daemon.RuntimeOptions{
		Process: "cardamomyoke-slot", Log: set.Log, Tracing: set.Tracing, TLS: set.TLS,
		Node: daemon.NodeOptions{
			Self: &revision.Member{
				Name:       set.Name,
				DataCentre: string(set.DataCentre),
				Role:       cardamomyokev1.NodeRole_NODE_ROLE_SLOT,
				Address:    set.Control.Address,

				DigestAddress: set.Digests.Address,
				Group:         string(set.Group.Name),
				Rank:          set.Group.Rank,
			},
			Seeds:    set.Control.Seeds,
			Platform: set.Platform,
			Fixed:    fixed,
		},
	})
	if err != nil {
		return err
	}
	n := r.Node
	s, err := slot.Start(set, slot.Deps{
		Config: n.Config, Incarnation: n.Incarnation, Roster: n.Roster, Table: n.Platform,
		Logger: r.Logger, Tracer: r.Tracer,
	})
	if err != nil {
		return fmt.Errorf("start: %w", err)
	}
	if set.Group.Name != "" {
		groupCtx, stop := context.WithCancel(context.Background())
		defer stop()
		joinGroup(groupCtx, set, n, r.Logger)
	}
	return r.Serve(ctx, s, func(time.Time) {}, o.Grace)
}

// joinGroup runs the rank's side of the group's map switch and serves the RPC for the rank's reports.
func joinGroup(ctx context.Context, set *slot.Settings, n *daemon.Node, logger log.Logger) {
	r := expertmap.Rank(set.Group.Rank)
	engine := rank.NewEngine(set.Upstream.Address, set.Group.Name, r)
	directory := n.Directory()
	member := node.NewSlot(node.SlotOptions{
		Group: set.Group.Name,
		Config: expertmap.SlotConfig{
			Rank: r, Ranks: set.Group.Ranks, Incarnation: node.NewIncarnation(), Timing: expertmap.DefaultSlotTiming(),
		},
		Engine:    engine,
		Loop:      n.Loop,
		Transport: node.NewTransport(ctx, directory.Client, directory.Resolve),
		Logger:    logger,
	})
	hub := node.NewHub()
	hub.AddSlot(set.Group.Name, member)
	n.Mux.Handle(cardamomyokev1connect.NewExpertMapServiceHandler(hub))
	n.Mux.Handle(cardamomyokev1connect.NewRankServiceHandler(engine))
	go member.Run(ctx)
}
