// Package entrymain assembles the entry daemon: the entry, the operators' RPC service and the duties, tasks that one
// entry at a time performs while it holds their lease.
package entrymain

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/go-kit/log"

	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
	"github.com/cardamomyoke/cardamomyoke/internal/base/program"
	"github.com/cardamomyoke/cardamomyoke/internal/base/settings"
	"github.com/cardamomyoke/cardamomyoke/internal/experts/expertmap/node"
	"github.com/cardamomyoke/cardamomyoke/internal/experts/rebalance"
	cardamomyokev1 "github.com/cardamomyoke/cardamomyoke/internal/gen/cardamomyoke/v1"
	"github.com/cardamomyoke/cardamomyoke/internal/gen/cardamomyoke/v1/cardamomyokev1connect"
	"github.com/cardamomyoke/cardamomyoke/internal/node/daemon"
	"github.com/cardamomyoke/cardamomyoke/internal/node/entry"
	"github.com/cardamomyoke/cardamomyoke/internal/node/operator"
	"github.com/cardamomyoke/cardamomyoke/internal/state/lease/manager"
	"github.com/cardamomyoke/cardamomyoke/internal/state/revision"
)

// Program returns the entry daemon.
func Program() program.Program {
	var configFile *string
	return program.Program{
		Name:     "cardamomyoke-entry",
		Help:     "Accepts callers' requests and routes them to slots.",
		Settings: func() settings.Checker { return &entry.Settings{} },
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
	set := checked.(*entry.Settings)
	r, err := daemon.Open(ctx, daemon.RuntimeOptions{
		Process: "cardamomyoke-entry", Log: set.Log, Tracing: set.Tracing, TLS: set.TLS,
		Node: daemon.NodeOptions{
			Self: &revision.Member{
				Name:       set.Name,
				DataCentre: string(set.DataCentre),
				Role:       cardamomyokev1.NodeRole_NODE_ROLE_ENTRY,
				Address:    set.Control.Address,

				DigestAddress: set.Digests.Address,
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
	e, err := entry.Start(set, entry.Deps{
		Config: n.Config, Loop: n.Loop, Incarnation: n.Incarnation, Roster: n.Roster, Table: n.Platform,
		Logger: r.Logger, Tracer: r.Tracer, Audit: n.Record,
	})
	if err != nil {
		return fmt.Errorf("start: %w", err)
	}
	tick := e.Tick
	if n.Agent != nil {
		tick = withDuties(set, n, e.Tick, r.Logger)
		n.Mux.Handle(operator.Handler(operator.New(operator.Options{
			Node: set.Name, Agent: n.Agent, Table: n.Platform, Upstreams: e.UpstreamStatuses,
			Audit: n.Audit,
		}), n.HandlerOptions()...))
	}
	n.CatchUpAudit(ctx)
	return r.Serve(ctx, e, tick, o.Grace)
}

// withDuties returns a tick function that also runs the duties for which this entry may hold a lease.
func withDuties(set *entry.Settings, n *daemon.Node, tick func(time.Time), logger log.Logger) func(time.Time) {
	hub := node.NewHub()
	n.Mux.Handle(cardamomyokev1connect.NewExpertMapServiceHandler(hub))
	leases := manager.New(manager.Config{
		Name:        set.Name,
		Incarnation: n.Incarnation,
		Table:       n.Platform,
		Loop:        n.Loop,
		Rand:        rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		Logger:      logger,
		OnAcquired:  n.Audit.LeaseAcquired,
	})
	runner := rebalance.NewRunner(rebalance.RunnerOptions{
		Node:      ids.Node(set.Name),
		Config:    n.Config,
		Directory: n.Directory(),
		Leases:    leases,
		Hub:       hub,
		Loop:      n.Loop,
		Objects:   n.Platform,
		Weights:   n.Platform,
		Audit:     n.Record,
		Logger:    logger,
	})
	return func(now time.Time) {
		tick(now)
		leases.Tick(now)
		runner.Tick(now)
	}
}
