// Package slotmain puts a slot process together.
package slotmain

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"time"

	"github.com/go-kit/log/level"

	"github.com/cardamomyoke/cardamomyoke/internal/config"
	"github.com/cardamomyoke/cardamomyoke/internal/daemon"
	"github.com/cardamomyoke/cardamomyoke/internal/logging"
	"github.com/cardamomyoke/cardamomyoke/internal/platform"
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

// httpTimeout bounds one call to the platform.
const httpTimeout = 2 * time.Second

func run(ctx context.Context, checked settings.Checker, o daemon.Options) error {
	set := checked.(*slot.Settings)
	logger := logging.New(os.Stderr, set.Log)
	tracer, err := tracing.New(ctx, "cardamomyoke-slot", set.Tracing)
	if err != nil {
		return fmt.Errorf("tracing: %w", err)
	}
	defer func() { _ = tracer.Close(context.Background()) }()
	table := platform.NewClient(platform.NewHTTP(set.Platform, httpTimeout), platform.Options{})
	s, err := slot.Start(set, slot.Deps{Config: config.Static{Snapshot: o.Fixed}, Table: table, Logger: logger, Tracer: tracer})
	if err != nil {
		return fmt.Errorf("start: %w", err)
	}
	control, err := daemon.StartControl(set.Control.Address, http.NewServeMux(), s.Metrics(), logger)
	if err != nil {
		s.Kill()
		return fmt.Errorf("start: %w", err)
	}
	defer control.Stop()
	<-ctx.Done()
	_ = level.Info(logger).Log("msg", "shutting down")
	grace, cancel := context.WithTimeout(context.Background(), o.Grace)
	defer cancel()
	if err := s.Shutdown(grace); err != nil {
		return fmt.Errorf("shutdown: %w", err)
	}
	return nil
}
