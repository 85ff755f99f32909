package htmlreport

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"time"

	"github.com/alecthomas/kingpin/v2"
)

// Options configures which benches run, how long, and where the results go.
type Options struct {
	// Out is the folder for the page, the summary and the plots.
	Out string
	// Seed is the first of Seeds consecutive seeds; Hours is the length of a popularity trace in hours.
	Seed         uint64
	Seeds, Hours int
	// Requests is the number of requests for each path of the load bench; Workers is the number of concurrent runs.
	Requests, Workers int
	// Nodes holds the sizes of the deployments in the configuration bench; Changes is the number of changes in each.
	Nodes   []int
	Changes int
	// Slopes is a JSON file of slopes to show instead of measuring them; empty to measure.
	Slopes string
	// Benches are the names of the benches to run, in the order of their sections.
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

// Names of the benches.
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

// Build runs the benches and returns their page. The section of a bench that fails holds its error; the other benches
// still run.
func Build(o Options, log io.Writer) Page {
	page := Page{
		Title: "cardamomyoke: what was measured",
		Provenance: fmt.Sprintf("Made %s; seeds %d to %d. Times are of one machine.",
			time.Now().UTC().Format("2006-01-02 15:04 UTC"), o.Seed, o.Seed+uint64(o.Seeds)-1),
	}
	for _, name := range o.Benches {
		began := time.Now()
		section, err := runBench(name, o, log)
		if err != nil {
			section.Error = err.Error()
		}
		fmt.Fprintf(log, "%-30s %6.1fs\n", section.Title, time.Since(began).Seconds())
		page.Sections = append(page.Sections, section)
	}
	return page
}

// FailedError reports that a bench failed and has no result.
type FailedError struct{ Section, Cause string }

// Error implements error.
func (e *FailedError) Error() string { return e.Section + ": " + e.Cause }

func run(o Options, w io.Writer) error {
	if err := os.MkdirAll(o.Out, 0o755); err != nil {
		return fmt.Errorf("report: %w", err)
	}
	page := Build(o, os.Stderr)
	if err := writeFile(filepath.Join(o.Out, "report.html"), page.WriteHTML); err != nil {
		return err
	}
	if err := writeFile(filepath.Join(o.Out, "report.txt"), page.WriteText); err != nil {
		return err
	}
	if err := page.WriteText(w); err != nil {
		return err
	}
	for _, s := range page.Sections {
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
