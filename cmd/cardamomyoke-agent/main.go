// Command cardamomyoke-agent runs on the same host as a rank of a model group and relays reads and orders to the rank's
// engine on the users' platform.
package main

import (
	"context"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/go-kit/log"

	"github.com/cardamomyoke/cardamomyoke/internal/base/logging"
	"github.com/cardamomyoke/cardamomyoke/internal/base/program"
	"github.com/cardamomyoke/cardamomyoke/internal/base/settings"
	"github.com/cardamomyoke/cardamomyoke/internal/node/agent"
	"github.com/cardamomyoke/cardamomyoke/platform/engine"
)

// gcPercent trades processor time, of which an agent uses almost none, for memory.
const gcPercent = 25

// logLines is the maximum number of log lines that wait to be written. An agent logs only a few at its start and end.
const logLines = 64

func main() {
	os.Exit(program.Main(program.Program{
		Name:     "cardamomyoke-agent",
		Help:     "Relays reads and orders to the rank of a model group on the same host.",
		Settings: func() settings.Checker { return &agent.Settings{} },
		Run:      run,
	}, os.Args[1:]))
}

func run(ctx context.Context, checked settings.Checker, _ program.Options) error {
	set := checked.(*agent.Settings)
	debug.SetGCPercent(gcPercent)
	out := logging.NewAsync(os.Stdout, logLines, set.Log.Format)
	defer out.Close()
	signal.Ignore(syscall.SIGHUP)
	return agent.Run(ctx, set, engine.New(), log.With(logging.New(out, set.Log), "node", set.Name))
}
