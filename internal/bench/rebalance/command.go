package rebalance

import (
	"fmt"
	"os"

	"github.com/alecthomas/kingpin/v2"
)

// ShortError says that a claim was not met.
type ShortError struct{ Deployment string }

// Error implements error.
func (e *ShortError) Error() string { return "rebalance: a claim of " + e.Deployment + " is short" }

// Register adds the command rebalance to app.
func Register(app *kingpin.Application) {
	cmd := app.Command("rebalance", "Run the placement policy and its baselines on drift traces.")
	name := cmd.Flag("deployment", "Whose settings and load to use.").Default(nameOfSkewDeployment).Enum(deploymentNames()...)
	s := &Settings{}
	cmd.Flag("seed", "First seed of the traces.").Default("1").Uint64Var(&s.Seed)
	cmd.Flag("seeds", "Number of seeds.").Default("10").IntVar(&s.Seeds)
	cmd.Flag("hours", "Length of each trace.").Default("24").IntVar(&s.Hours)
	cmd.Flag("workers", "Number of traces that run at once.").Default("4").IntVar(&s.Workers)
	cmd.Flag("out", "Folder for the plots.").Default("out").StringVar(&s.Out)
	cmd.Action(func(*kingpin.ParseContext) error {
		for _, d := range Deployments() {
			if d.Name == *name {
				s.Deployment = d
			}
		}
		return run(*s)
	})
}

func run(s Settings) error {
	results, err := RunAll(s)
	if err != nil {
		return err
	}
	ok, err := results.Write(os.Stdout, s)
	if err != nil {
		return fmt.Errorf("write results: %w", err)
	}
	if !ok {
		return &ShortError{s.Deployment.Name}
	}
	return nil
}

func deploymentNames() []string {
	var names []string
	for _, d := range Deployments() {
		names = append(names, d.Name)
	}
	return names
}
