// Package slotmain puts a slot process together.
package slotmain

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/go-kit/log/level"

	"github.com/cardamomyoke/cardamomyoke/internal/daemon"
	cardamomyokev1 "github.com/cardamomyoke/cardamomyoke/internal/gen/cardamomyoke/v1"
	"github.com/cardamomyoke/cardamomyoke/internal/keys"
	"github.com/cardamomyoke/cardamomyoke/internal/logging"
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
	node := daemon.NewNode(daemon.NodeOptions{
		Self: &revision.Member{
			Name:       set.Name,
			DataCentre: string(set.DataCentre),
			Role:       cardamomyokev1.NodeRole_NODE_ROLE_SLOT,
			Address:    set.Control.Address,

			DigestAddress: set.Digests.Address,
		},
		Seeds:    set.Control.Seeds,
		Platform: set.Platform,
		Fixed:    o.Fixed,
		Keys:     source,
		Logger:   logger,
	})
	s, err := slot.Start(set, slot.Deps{
		Config: node.Config, Incarnation: node.Incarnation, Roster: node.Roster, Table: node.Platform, Logger: logger, Tracer: tracer,
	})
	if err != nil {
		return fmt.Errorf("start: %w", err)
	}
	if err := node.Run(s.Metrics(), func(time.Time) {}); err != nil {
		s.Kill()
		return fmt.Errorf("start: %w", err)
	}
	defer node.Stop()
	<-ctx.Done()
	_ = level.Info(logger).Log("msg", "shutting down")
	grace, cancel := context.WithTimeout(context.Background(), o.Grace)
	defer cancel()
	err = s.Shutdown(grace)
	node.Leave(grace)
	if err != nil {
		return fmt.Errorf("shutdown: %w", err)
	}
	return nil
}
