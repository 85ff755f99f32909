// Package entrymain puts an entry process together.
package entrymain

import (
	"context"
	"fmt"
	"os"

	"github.com/go-kit/log/level"

	"github.com/cardamomyoke/cardamomyoke/internal/daemon"
	"github.com/cardamomyoke/cardamomyoke/internal/entry"
	cardamomyokev1 "github.com/cardamomyoke/cardamomyoke/internal/gen/cardamomyoke/v1"
	"github.com/cardamomyoke/cardamomyoke/internal/keys"
	"github.com/cardamomyoke/cardamomyoke/internal/logging"
	"github.com/cardamomyoke/cardamomyoke/internal/operator"
	"github.com/cardamomyoke/cardamomyoke/internal/revision"
	"github.com/cardamomyoke/cardamomyoke/internal/settings"
	"github.com/cardamomyoke/cardamomyoke/internal/tracing"
)

// Program returns the entry daemon.
func Program() daemon.Program {
	return daemon.Program{
		Name:     "cardamomyoke-entry",
		Help:     "Takes callers' requests and routes them to slots.",
		Settings: func() settings.Checker { return &entry.Settings{} },
		Run:      run,
	}
}

func run(ctx context.Context, checked settings.Checker, o daemon.Options) error {
	set := checked.(*entry.Settings)
	logger := logging.New(os.Stderr, set.Log)
	tracer, err := tracing.New(ctx, "cardamomyoke-entry", set.Tracing)
	if err != nil {
		return fmt.Errorf("tracing: %w", err)
	}
	defer func() { _ = tracer.Close(context.Background()) }()
	source, err := keys.Load(set.TLS, logger)
	if err != nil {
		return fmt.Errorf("start: %w", err)
	}
	node := daemon.NewNode(daemon.NodeOptions{
		Self: &revision.Member{
			Name:       set.Name,
			DataCentre: string(set.DataCentre),
			Role:       cardamomyokev1.NodeRole_NODE_ROLE_ENTRY,
			Address:    set.Control.Address,

			DigestAddress: set.Digests.Address,
		},
		Seeds:    set.Control.Seeds,
		Platform: set.Platform,
		Fixed:    o.Fixed,
		Keys:     source,
		Logger:   logger,
	})
	e, err := entry.Start(set, entry.Deps{
		Config: node.Config, Loop: node.Loop, Incarnation: node.Incarnation, Roster: node.Roster, Table: node.Platform, Logger: logger, Tracer: tracer,
		Audit: node.Record,
	})
	if err != nil {
		return fmt.Errorf("start: %w", err)
	}
	if node.Agent != nil {
		node.Mux.Handle(operator.Handler(operator.New(operator.Options{
			Node: set.Name, Agent: node.Agent, Table: node.Platform, Upstreams: e.UpstreamStatuses,
			Audit: node.Audit,
		}), node.HandlerOptions()...))
	}
	node.CatchUpAudit(ctx)
	if err := node.Run(e.Metrics(), e.Tick); err != nil {
		e.Kill()
		return fmt.Errorf("start: %w", err)
	}
	defer node.Stop()
	<-ctx.Done()
	_ = level.Info(logger).Log("msg", "shutting down")
	grace, cancel := context.WithTimeout(context.Background(), o.Grace)
	defer cancel()
	err = e.Shutdown(grace)
	node.Leave(grace)
	if err != nil {
		return fmt.Errorf("shutdown: %w", err)
	}
	return nil
}
