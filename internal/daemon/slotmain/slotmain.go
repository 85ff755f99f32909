// Package slotmain puts a slot process together.
package slotmain

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/cardamomyoke/cardamomyoke/internal/daemon"
	"github.com/cardamomyoke/cardamomyoke/internal/expertmap"
	"github.com/cardamomyoke/cardamomyoke/internal/expertmap/node"
	cardamomyokev1 "github.com/cardamomyoke/cardamomyoke/internal/gen/cardamomyoke/v1"
	"github.com/cardamomyoke/cardamomyoke/internal/gen/cardamomyoke/v1/cardamomyokev1connect"
	"github.com/cardamomyoke/cardamomyoke/internal/keys"
	"github.com/cardamomyoke/cardamomyoke/internal/logging"
	"github.com/cardamomyoke/cardamomyoke/internal/rank"
	"github.com/cardamomyoke/cardamomyoke/internal/revision"
	"github.com/cardamomyoke/cardamomyoke/internal/settings"
	"github.com/cardamomyoke/cardamomyoke/internal/slot"
	"github.com/cardamomyoke/cardamomyoke/internal/tracing"
)

// Program returns the slot daemon.
func Program() daemon.Program {
	return daemon.Program{
		Name:     "cardamomyoke-slot",
		Help:     "Runs beside an upstream and is the only process that hands it work or orders.",
		Settings: func() settings.Checker { return &slot.Settings{} },
		Run:      run,
	}
}

func run(ctx context.Context, checked settings.Checker, o daemon.Options) error {
	set := checked.(*slot.Settings)
	logger := logging.New(os.Stderr, set.Log)
	tracer, err := tracing.New(ctx, "cardamomyoke-slot", set.Tracing)
	if err != nil {
		return fmt.Errorf("tracing: %w", err)
	}
	defer func() { _ = tracer.Close(context.Background()) }()
	source, err := keys.Load(set.TLS, logger)
	if err != nil {
		return fmt.Errorf("start: %w", err)
	}
	n := daemon.NewNode(daemon.NodeOptions{
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
		Fixed:    o.Fixed,
		Keys:     source,
		Logger:   logger,
	})
	s, err := slot.Start(set, slot.Deps{
		Config: n.Config, Incarnation: n.Incarnation, Roster: n.Roster, Table: n.Platform, Logger: logger, Tracer: tracer,
	})
	if err != nil {
		return fmt.Errorf("start: %w", err)
	}
	if set.Group.Name != "" {
		groupCtx, stop := context.WithCancel(context.Background())
		defer stop()
		joinGroup(groupCtx, set, n, logger)
	}
	if err := n.Run(s.Metrics(), func(time.Time) {}); err != nil {
		s.Kill()
		return fmt.Errorf("start: %w", err)
	}
	defer n.Stop()
	<-ctx.Done()
	_ = level.Info(logger).Log("msg", "shutting down")
	grace, cancel := context.WithTimeout(context.Background(), o.Grace)
	defer cancel()
	err = s.Shutdown(grace)
	n.Leave(grace)
	if err != nil {
		return fmt.Errorf("shutdown: %w", err)
	}
	return nil
}

// joinGroup runs the rank's part of the map switch and answers for its reports.
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
