// Command cardamomyoke-gateway accepts callers' requests on the users' platform and sends them directly to upstreams.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/cardamomyoke/cardamomyoke/internal/base/logging"
	"github.com/cardamomyoke/cardamomyoke/internal/base/program"
	"github.com/cardamomyoke/cardamomyoke/internal/base/settings"
	"github.com/cardamomyoke/cardamomyoke/internal/base/tracing"
	"github.com/cardamomyoke/cardamomyoke/internal/node/agent"
	"github.com/cardamomyoke/cardamomyoke/internal/node/gateway"
	"github.com/cardamomyoke/cardamomyoke/platform"
	"github.com/cardamomyoke/cardamomyoke/platform/engine"
)

// gcPercent trades processor time for memory, of which a host has little.
const gcPercent = 40

// logLines is the maximum number of log lines that wait to be written: the lines of some seconds under the highest load.
const logLines = 4096

func main() {
	os.Exit(program.Main(program.Program{
		Name:     "cardamomyoke-gateway",
		Help:     "Accepts callers' requests and sends them directly to upstreams.",
		Settings: func() settings.Checker { return &gateway.Settings{} },
		Run:      run,
	}, os.Args[1:]))
}

// reloadInterval is the interval at which the settings file is checked, since it may change without a signal.
const reloadInterval = 2 * time.Second

func run(ctx context.Context, checked settings.Checker, o program.Options) error {
	set := checked.(*gateway.Settings)
	debug.SetGCPercent(gcPercent)
	out := logging.NewAsync(os.Stdout, logLines, set.Log.Format)
	defer out.Close()
	logger := log.With(logging.New(out, set.Log), "node", set.Name)
	// SIGHUP is registered before anything else is started: until then it would terminate the process.
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	var live atomic.Pointer[gateway.Settings]
	live.Store(set)
	tracer, err := tracing.New(ctx, "cardamomyoke-gateway", set.Tracing)
	if err != nil {
		return fmt.Errorf("tracing: %w", err)
	}
	defer closeTracer(tracer, logger)
	store := platform.NewStore(func() string { return live.Load().Store })
	g, err := gateway.Start(set, gateway.Deps{
		Feed: store, Table: store, Ranks: agent.NewClient(engine.New(), set.AgentPort),
		Dialect: platform.Headers{}, Decoder: platform.Rows{}, Logger: logger,
		Tracer: tracer,
	})
	if err != nil {
		return fmt.Errorf("start: %w", err)
	}
	go watch(ctx, o, signals, logger, func(next *gateway.Settings) []string {
		needsRestart := g.Reload(next)
		live.Store(g.Settings())
		return needsRestart
	})
	return g.Run(ctx)
}

// flushTimeout bounds the export of the last spans. It fits into the time between the end of the gateway's shutdown and
// the kill by the platform.
const flushTimeout = 200 * time.Millisecond

func closeTracer(t *tracing.Tracer, logger log.Logger) {
	ctx, cancel := context.WithTimeout(context.Background(), flushTimeout)
	defer cancel()
	if err := t.Close(ctx); err != nil {
		_ = level.Warn(logger).Log("msg", "spans lost", "reason", "the exporter did not accept them before exit", "err", err)
	}
}

// watch reloads the settings when their file changes or SIGHUP arrives, until ctx is done.
func watch(ctx context.Context, o program.Options, signals <-chan os.Signal, logger log.Logger, reload func(*gateway.Settings) []string) {
	w := &settings.Watcher{
		File: o.SettingsFile, Interval: reloadInterval, Signals: signals,
		NewSettings: func() settings.Checker { return &gateway.Settings{} },
		Changed: func(next settings.Checker) {
			needsRestart := reload(next.(*gateway.Settings))
			_ = level.Info(logger).Log("msg", "settings reloaded", "needs_restart", strings.Join(needsRestart, ","))
		},
		Refused: func(err error) {
			_ = level.Error(logger).Log("msg", "settings kept", "reason", "the new ones cannot be used", "err", err)
		},
		Unchanged: func() { _ = level.Info(logger).Log("msg", "settings kept", "reason", "the file has not changed") },
	}
	w.Run(ctx, o.SettingsText)
}
