package rebalance

import (
	"fmt"
	"os"

	"github.com/alecthomas/kingpin/v2"

	"github.com/cardamomyoke/cardamomyoke/internal/testing/bench/report"
)

// MissedCriterionError reports that a deployment misses at least one criterion.
type MissedCriterionError struct{ Deployment string }

// Error implements error.
func (e *MissedCriterionError) Error() string {
	return "rebalance: deployment " + e.Deployment + " misses a criterion"
}

// Register adds the commands rebalance, rebalance-pieces and rebalance-cost to app.
func Register(app *kingpin.Application) {
	s := &Settings{}
	traces := addCommand(app, s, "rebalance", "Run the placement policy and its baselines on drift traces.", runTraces)
	traces.Flag("hours", "Length of each trace.").Default("24").IntVar(&s.Hours)
	traces.Flag("workers", "Number of traces that run concurrently.").Default("4").IntVar(&s.Workers)
	traces.Flag("out", "Folder for the plots.").Default("out").StringVar(&s.Out)
	addCommand(app, &Settings{}, "rebalance-pieces", "Compare ways to split weights into pieces and plans into switches.", runPieces)
	addCommand(app, &Settings{}, "rebalance-cost", "Time one decision at several sizes of the group.", runCost)
}

// addCommand adds a command with the flags common to all three. Each command needs its own s.
func addCommand(app *kingpin.Application, s *Settings, name, help string, action func(Settings) error) *kingpin.CmdClause {
	cmd := app.Command(name, help)
	deployment := cmd.Flag("deployment", "Whose settings and load to use.").Default(skewDeployment).Enum(deploymentNames()...)
	cmd.Flag("seed", "First seed of the traces.").Default("1").Uint64Var(&s.Seed)
	cmd.Flag("seeds", "Number of seeds.").Default("10").IntVar(&s.Seeds)
	cmd.Action(func(*kingpin.ParseContext) error {
		for _, d := range Deployments() {
			if d.Name == *deployment {
				s.Deployment = d
			}
		}
		return action(*s)
	})
	return cmd
}

func runPieces(s Settings) error {
	for _, table := range []func(Settings) (report.Table, error){PiecesTable, BatchTable} {
		t, err := table(s)
		if err != nil {
			return err
		}
		if err := t.Text(os.Stdout); err != nil {
			return err
		}
	}
	return nil
}

func runCost(s Settings) error {
	t, err := CostTable(s.Seed)
	if err != nil {
		return err
	}
	return t.Text(os.Stdout)
}

func runTraces(s Settings) error {
	results, err := RunAll(s)
	if err != nil {
		return err
	}
	ok, err := results.Write(os.Stdout, s)
	if err != nil {
		return fmt.Errorf("write results: %w", err)
	}
	if !ok {
		return &MissedCriterionError{s.Deployment.Name}
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
