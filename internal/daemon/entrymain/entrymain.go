// Package entrymain puts an entry process together.
package entrymain

import (
	"context"
	"fmt"
	"net/http"
	"os"

	"github.com/go-kit/log/level"

	"github.com/cardamomyoke/cardamomyoke/internal/config"
	"github.com/cardamomyoke/cardamomyoke/internal/daemon"
	"github.com/cardamomyoke/cardamomyoke/internal/entry"
	"github.com/cardamomyoke/cardamomyoke/internal/logging"
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
	e, err := entry.Start(set, entry.Deps{Config: config.Static{Snapshot: o.Fixed}, Logger: logger, Tracer: tracer})
	if err != nil {
		return fmt.Errorf("start: %w", err)
	}
	control, err := daemon.StartControl(set.Control.Address, http.NewServeMux(), e.Metrics(), logger)
	if err != nil {
		e.Kill()
		return fmt.Errorf("start: %w", err)
	}
	defer control.Stop()
	<-ctx.Done()
	_ = level.Info(logger).Log("msg", "shutting down")
	grace, cancel := context.WithTimeout(context.Background(), o.Grace)
	defer cancel()
	if err := e.Shutdown(grace); err != nil {
		return fmt.Errorf("shutdown: %w", err)
	}
	return nil
}
