// Command cardamomyoke-standin runs stand-ins for the environment of the system, for tests and the demo: the platform,
// engines and plain services.
package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/cardamomyoke/cardamomyoke/internal/testing/standin/engine"
	"github.com/cardamomyoke/cardamomyoke/internal/testing/standin/plain"
	"github.com/cardamomyoke/cardamomyoke/internal/testing/standin/platform"
)

func main() {
	app := kingpin.New("cardamomyoke-standin", "Stand-ins for the platform, engines and plain services; for tests and the demo.")
	registerPlatform(app)
	registerEngine(app)
	registerPlain(app)
	kingpin.MustParse(app.Parse(os.Args[1:]))
}

// untilSignal waits for SIGTERM or SIGINT.
func untilSignal() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	<-ctx.Done()
}

func registerPlatform(app *kingpin.Application) {
	cmd := app.Command("platform", "Table, object store, host list and weight store over HTTP.")
	address := cmd.Flag("listen", "Address, IP:PORT.").Required().String()
	cmd.Action(func(*kingpin.ParseContext) error {
		server := &http.Server{
			Addr:              *address,
			Handler:           platform.Handler(platform.NewStore(platform.Limits{})),
			ReadHeaderTimeout: 5 * time.Second,
		}
		go untilSignalThen(func() { _ = server.Close() })
		if err := server.ListenAndServe(); !errors.Is(err, http.ErrServerClosed) {
			return fmt.Errorf("platform: %w", err)
		}
		return nil
	})
}

func untilSignalThen(f func()) {
	untilSignal()
	f()
}

func registerEngine(app *kingpin.Application) {
	var o engine.Options
	cmd := app.Command("engine", "A model engine.")
	address := cmd.Flag("listen", "Address, IP:PORT.").Required().String()
	cmd.Flag("batch", "Maximum number of requests that run concurrently.").Default("8").IntVar(&o.Batch)
	cmd.Flag("step", "Time of a step.").Default("6ms").DurationVar(&o.Step)
	cmd.Flag("prompt-token", "Time of a prompt token that is not cached.").Default("20us").DurationVar(&o.PromptTokenTime)
	cmd.Flag("cache-blocks", "Blocks that the prefix cache holds.").Default("4096").IntVar(&o.CacheBlocks)
	cmd.Flag("cache-lag", "How late cache events are.").Default("300ms").DurationVar(&o.CacheLag)
	cmd.Flag("cache-gap", "Every N-th cache event is lost; 0 loses none.").Default("10").IntVar(&o.CacheGap)
	cmd.Flag("honour-fence", "Refuse orders with an old fencing token.").BoolVar(&o.HonourFence)
	cmd.Flag("crash", "Text that crashes the engine if a prompt contains it.").StringVar(&o.CrashText)
	cmd.Flag("load-lag", "How old a load report is.").Default("200ms").DurationVar(&o.LoadLag)
	cmd.Action(func(*kingpin.ParseContext) error {
		o.OnCrash = func() { os.Exit(1) }
		e, err := engine.Start(*address, o)
		if err != nil {
			return err
		}
		untilSignal()
		e.Stop()
		return nil
	})
}

func registerPlain(app *kingpin.Application) {
	cmd := app.Command("plain", "A plain service that counts how often each key ran.")
	address := cmd.Flag("listen", "Address, IP:PORT.").Required().String()
	delay := cmd.Flag("delay", "Time that a request takes.").Default("5ms").Duration()
	cmd.Action(func(*kingpin.ParseContext) error {
		s, err := plain.Start(*address, *delay)
		if err != nil {
			return err
		}
		untilSignal()
		s.Stop()
		return nil
	})
}
