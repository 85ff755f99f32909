// cardamomyoke-agent stands beside a rank of a model group on the users' platform and passes on reads and orders.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/go-kit/log"

	"github.com/cardamomyoke/cardamomyoke/internal/agent"
	"github.com/cardamomyoke/cardamomyoke/internal/daemon"
	"github.com/cardamomyoke/cardamomyoke/internal/logging"
	"github.com/cardamomyoke/cardamomyoke/internal/settings"
	"github.com/cardamomyoke/cardamomyoke/platform"
)

// logLines is how many log lines may wait to be written; an agent writes a few at its start and end.
const logLines = 64

func main() {
	os.Exit(daemon.Main(daemon.Program{
		Name:     "cardamomyoke-agent",
		Help:     "Passes reads and orders on to the rank of a model group beside it.",
		Settings: func() settings.Checker { return &agent.Settings{} },
		Run:      run,
	}, os.Args[1:]))
}

func run(ctx context.Context, checked settings.Checker, _ daemon.Options) error {
	set := checked.(*agent.Settings)
	out := logging.NewAsync(os.Stdout, logLines)
	defer out.Close()
	signal.Ignore(syscall.SIGHUP)
	return agent.Run(ctx, set, platform.NewEngines(), log.With(logging.New(out, set.Log), "node", set.Name))
}
