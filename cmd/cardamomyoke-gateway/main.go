// cardamomyoke-gateway takes callers' requests on the users' platform and sends them straight to upstreams.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/go-kit/log"

	"github.com/cardamomyoke/cardamomyoke/internal/agent"
	"github.com/cardamomyoke/cardamomyoke/internal/gateway"
	"github.com/cardamomyoke/cardamomyoke/internal/logging"
	"github.com/cardamomyoke/cardamomyoke/internal/program"
	"github.com/cardamomyoke/cardamomyoke/internal/settings"
	"github.com/cardamomyoke/cardamomyoke/platform"
	"github.com/cardamomyoke/cardamomyoke/platform/engine"
)

// gcPercent trades processor time for memory, of which a host has little.
const gcPercent = 40

// logLines is how many log lines may wait to be written: some seconds at the busiest.
const logLines = 4096

func main() {
	os.Exit(program.Main(program.Program{
		Name:     "cardamomyoke-gateway",
		Help:     "Takes callers' requests and sends them straight to upstreams.",
		Settings: func() settings.Checker { return &gateway.Settings{} },
		Run:      run,
	}, os.Args[1:]))
}

func run(ctx context.Context, checked settings.Checker, _ program.Options) error {
	set := checked.(*gateway.Settings)
	debug.SetGCPercent(gcPercent)
	out := logging.NewAsync(os.Stdout, logLines)
	defer out.Close()
	logger := log.With(logging.New(out, set.Log), "node", set.Name)
	signal.Ignore(syscall.SIGHUP)
	store := platform.NewStore(func() string { return set.Store })
	g, err := gateway.Start(set, gateway.Deps{
		Feed: store, Table: store, Ranks: agent.NewClient(engine.New(), set.AgentPort),
		Dialect: platform.Headers{}, Decoder: platform.Rows{}, Logger: logger,
	})
	if err != nil {
		return fmt.Errorf("start: %w", err)
	}
	return g.Run(ctx)
}
