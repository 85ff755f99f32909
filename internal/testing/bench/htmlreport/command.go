package htmlreport

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"time"

	"github.com/alecthomas/kingpin/v2"
)

// Options say how long the benches run.
type Options struct {
	// Out is the folder for the page, the summary and the plots.
	Out string
	// Seed is the first of Seeds seeds; Hours is the length of a trace of popularity.
	Seed         uint64
	Seeds, Hours int
	// Requests are those of each path of the load; Workers is the number of runs at once.
	Requests, Workers int
	// Nodes are the sizes of the deployments in which changes are accepted, Changes their number for each.
	Nodes   []int
	Changes int
	// Slopes is a JSON file of slopes to show in place of measuring them.
	Slopes string
	// Benches are the sections to run, in this order.
	Benches []string
}

// Register adds the command report.
func Register(app *kingpin.Application) {
	var o Options
	cmd := app.Command("report", "Run the benches and write one HTML page and a text summary.")
	cmd.Flag("out", "Folder to write to.").Default("out/report").StringVar(&o.Out)
	cmd.Flag("seed", "First seed.").Default("1").Uint64Var(&o.Seed)
	cmd.Flag("seeds", "Number of seeds.").Default("2").IntVar(&o.Seeds)
	cmd.Flag("hours", "Length of each trace of popularity.").Default("24").IntVar(&o.Hours)
	cmd.Flag("requests", "Requests of each path of the load.").Default("2000").IntVar(&o.Requests)
	cmd.Flag("workers", "Number of runs at once.").Default("4").IntVar(&o.Workers)
	cmd.Flag("nodes", "Sizes of deployments for the configuration.").Default("10", "30", "60").IntsVar(&o.Nodes)
	cmd.Flag("changes", "Changes for each of them.").Default("10").IntVar(&o.Changes)
	cmd.Flag("slopes", "Show the slopes of this JSON file in place of measuring them.").StringVar(&o.Slopes)
	cmd.Flag("bench", "Benches to run; repeat it for several.").Default(benchNames...).EnumsVar(&o.Benches, benchNames...)
	cmd.Action(func(*kingpin.ParseContext) error { return run(o, os.Stdout) })
}

// The benches.
const (
	benchRebalance = "rebalance"
	benchPolicy    = "policy"
	benchLoad      = "load"
	benchConfig    = "config"
	benchSlopes    = "slopes"
)

var benchNames = []string{benchRebalance, benchPolicy, benchConfig, benchLoad, benchSlopes}

func runBench(name string, o Options, log io.Writer) (Section, error) {
	switch name {
	case benchRebalance:
		return rebalanceSection(o)
	case benchPolicy:
		return policySection(o)
	case benchConfig:
		return configSection(o)
	case benchLoad:
		return loadSection(o)
	}
	return slopesSection(o, log)
}

// Build runs the benches. One that fails leaves a section that says so, and the others still run.
func Build(o Options, log io.Writer) Page {
	p := Page{
		Title: "cardamomyoke: what was measured",
		Provenance: fmt.Sprintf("Made %s; seeds %d to %d. Times are of one machine.",
			time.Now().UTC().Format("2006-01-02 15:04 UTC"), o.Seed, o.Seed+uint64(o.Seeds)-1),
	}
	for _, name := range o.Benches {
		began := time.Now()
		s, err := runBench(name, o, log)
		if err != nil {
			s.Error = err.Error()
		}
		fmt.Fprintf(log, "%-30s %6.1fs\n", s.Title, time.Since(began).Seconds())
		p.Sections = append(p.Sections, s)
	}
	return p
}

// FailedError says that a bench gave no result.
type FailedError struct{ Section, Cause string }

// Error implements error.
func (e *FailedError) Error() string { return e.Section + ": " + e.Cause }

func run(o Options, w io.Writer) error {
	if err := os.MkdirAll(o.Out, 0o755); err != nil {
		return fmt.Errorf("report: %w", err)
	}
	p := Build(o, os.Stderr)
	if err := writeFile(filepath.Join(o.Out, "report.html"), p.WriteHTML); err != nil {
		return err
	}
	if err := writeFile(filepath.Join(o.Out, "report.txt"), p.WriteText); err != nil {
		return err
	}
	if err := p.WriteText(w); err != nil {
		return err
	}
	for _, s := range p.Sections {
		if s.Error != "" {
			return fmt.Errorf("report: %w", &FailedError{s.Title, s.Error})
		}
	}
	return nil
}

func writeFile(name string, write func(io.Writer) error) error {
	f, err := os.Create(name)
	if err != nil {
		return fmt.Errorf("report: %w", err)
	}
	if err := write(f); err != nil {
		_ = f.Close()
		return err
	}
	if err := f.Close(); err != nil {
		return fmt.Errorf("report: %w", err)
	}
	return nil
}
