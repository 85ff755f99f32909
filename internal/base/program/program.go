// Package program is what the mains of all daemons share: commands, settings and signals.
package program

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/cardamomyoke/cardamomyoke/internal/base/settings"
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
	// Flags adds flags of its own to the run command; nil for none.
	Flags func(run *kingpin.CmdClause)
	// Run runs until ctx ends and then shuts down in order.
	Run func(ctx context.Context, set settings.Checker, o Options) error
}

// Options are the command line's.
type Options struct {
	// Grace bounds an orderly shutdown.
	Grace time.Duration
	// SettingsFile is where the settings were read, SettingsText what was read.
	SettingsFile string
	SettingsText []byte
}

// Main parses the command line and runs the program; it returns the exit code.
func Main(p Program, args []string) int {
	app := kingpin.New(p.Name, p.Help)
	run := app.Command("run", "Run the daemon until SIGTERM or SIGINT; then shut down without cutting anything off.")
	runFile := run.Flag("settings", "Settings file (YAML).").Envar("CARDAMOMYOKE_SETTINGS").Required().ExistingFile()
	grace := run.Flag("grace", "Longest time for an orderly shutdown.").Default("60s").Duration()
	if p.Flags != nil {
		p.Flags(run)
	}
	check := app.Command("check-settings", "Check a settings file and say where its first fault is.")
	checkFile := check.Arg("file", "Settings file (YAML).").Required().ExistingFile()
	show := app.Command("print-settings", "Check a settings file and print all keys as they are taken, also those that it leaves out.")
	showFile := show.Arg("file", "Settings file (YAML).").Required().ExistingFile()
	version := app.Command("version", "Print the program's version.")
	command, err := app.Parse(args)
	if err != nil {
		fmt.Fprintf(os.Stderr, "%s: %v\n", p.Name, err)
		return ExitUsage
	}
	switch command {
	case check.FullCommand():
		return checkSettings(p, *checkFile)
	case show.FullCommand():
		return printSettings(p, *showFile)
	case version.FullCommand():
		fmt.Println(p.Name, Version())
		return ExitOK
	}
	text, err := os.ReadFile(*runFile)
	if err != nil {
		fmt.Fprintln(os.Stderr, &settings.FileError{File: *runFile, Cause: err})
		return ExitUsage
	}
	set := p.Settings()
	if err := settings.Parse(*runFile, text, set); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return ExitUsage
	}
	return runUntilSignal(p, set, Options{Grace: *grace, SettingsFile: *runFile, SettingsText: text})
}

func checkSettings(p Program, file string) int {
	if err := settings.Read(file, p.Settings()); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return ExitUsage
	}
	fmt.Printf("%s: ok\n", file)
	return ExitOK
}

func printSettings(p Program, file string) int {
	set := p.Settings()
	if err := settings.Read(file, set); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return ExitUsage
	}
	text, err := settings.Format(set)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return ExitFailed
	}
	fmt.Print(string(text))
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
