// Package daemon is what the mains of the daemons share: commands, settings and signals.
package daemon

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"google.golang.org/protobuf/encoding/protojson"

	"github.com/cardamomyoke/cardamomyoke/internal/config"
	cardamomyokev1 "github.com/cardamomyoke/cardamomyoke/internal/gen/cardamomyoke/v1"
	"github.com/cardamomyoke/cardamomyoke/internal/settings"
)

// Exit codes of all programs; scripts compare them.
const (
	ExitOK = 0
	// ExitFailed: the program met an error while it ran.
	ExitFailed = 1
	// ExitUsage: the command line or the settings are wrong.
	ExitUsage = 2
)

// Program is one daemon.
type Program struct {
	Name string
	Help string
	// Settings returns an empty settings value.
	Settings func() settings.Checker
	// Run runs until ctx ends and then shuts down in order.
	Run func(ctx context.Context, set settings.Checker, o Options) error
}

// Options are the command line's.
type Options struct {
	// Fixed is a configuration that never changes, in place of the platform's; nil in production.
	Fixed *config.Snapshot
	// Grace bounds an orderly shutdown.
	Grace time.Duration
}

// Main parses the command line and runs the program; it returns the exit code.
func Main(p Program, args []string) int {
	app := kingpin.New(p.Name, p.Help)
	run := app.Command("run", "Run the daemon until SIGTERM or SIGINT; then shut down without cutting anything off.")
	runFile := run.Flag("settings", "Settings file (YAML).").Envar("CARDAMOMYOKE_SETTINGS").Required().ExistingFile()
	fixed := run.Flag("configuration", "Configuration file (JSON) that never changes, for measurements.").ExistingFile()
	grace := run.Flag("grace", "Longest time for an orderly shutdown.").Default("60s").Duration()
	check := app.Command("check-settings", "Check a settings file and say where its first fault is.")
	checkFile := check.Arg("file", "Settings file (YAML).").Required().ExistingFile()
	command, err := app.Parse(args)
	if err != nil {
		fmt.Fprintf(os.Stderr, "%s: %v\n", p.Name, err)
		return ExitUsage
	}
	if command == check.FullCommand() {
		return checkSettings(p, *checkFile)
	}
	set := p.Settings()
	if err := settings.Read(*runFile, set); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return ExitUsage
	}
	o := Options{Grace: *grace}
	if *fixed != "" {
		if o.Fixed, err = ReadConfiguration(*fixed); err != nil {
			fmt.Fprintln(os.Stderr, err)
			return ExitUsage
		}
	}
	return runUntilSignal(p, set, o)
}

func checkSettings(p Program, file string) int {
	if err := settings.Read(file, p.Settings()); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return ExitUsage
	}
	fmt.Printf("%s: ok\n", file)
	return ExitOK
}

func runUntilSignal(p Program, set settings.Checker, o Options) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := p.Run(ctx, set, o); err != nil {
		fmt.Fprintf(os.Stderr, "%s: %v\n", p.Name, err)
		return ExitFailed
	}
	return ExitOK
}

// ReadConfiguration reads a configuration from a JSON file and checks it.
func ReadConfiguration(file string) (*config.Snapshot, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	c := &cardamomyokev1.Configuration{}
	if err := protojson.Unmarshal(text, c); err != nil {
		return nil, fmt.Errorf("configuration %s: %w", file, err)
	}
	snap, err := config.NewSnapshot(c)
	if err != nil {
		return nil, fmt.Errorf("configuration %s: %w", file, err)
	}
	return snap, nil
}
