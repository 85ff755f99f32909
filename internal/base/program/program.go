// Package program is the command line that all daemons share: it parses commands, reads settings and handles signals.
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

// Exit codes of all programs. Scripts depend on them.
const (
	ExitOK = 0
	// ExitFailed means that the program failed while it was running.
	ExitFailed = 1
	// ExitUsage means that the command line or the settings are invalid.
	ExitUsage = 2
)

// Program describes a daemon to Main.
type Program struct {
	Name string
	Help string
	// Settings returns an empty settings value.
	Settings func() settings.Checker
	// Flags adds the daemon's own flags to the run command; nil for none.
	Flags func(run *kingpin.CmdClause)
	// Run runs the daemon until ctx is done and then shuts it down gracefully.
	Run func(ctx context.Context, set settings.Checker, o Options) error
}

// Options holds the command line's values for Program.Run.
type Options struct {
	// Grace is the maximum duration of a graceful shutdown.
	Grace time.Duration
	// SettingsFile is the path of the settings file, and SettingsText its content when it was read.
	SettingsFile string
	SettingsText []byte
}

// Main parses the command line, runs the command and returns the exit code.
func Main(p Program, args []string) int {
	app := kingpin.New(p.Name, p.Help)
	run := app.Command("run", "Run the daemon until SIGTERM or SIGINT; then shut down gracefully, completing requests in flight.")
	runFile := run.Flag("settings", "Settings file (YAML).").Envar("CARDAMOMYOKE_SETTINGS").Required().ExistingFile()
	grace := run.Flag("grace", "Maximum duration of a graceful shutdown.").Default("60s").Duration()
	if p.Flags != nil {
		p.Flags(run)
	}
	check := app.Command("check-settings", "Check a settings file and report the location of its first error.")
	checkFile := check.Arg("file", "Settings file (YAML).").Required().ExistingFile()
	show := app.Command("print-settings", "Check a settings file and print all keys with the values in use, including keys that the file omits.")
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
