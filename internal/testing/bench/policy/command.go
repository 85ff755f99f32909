package policy

import (
	"fmt"
	"os"

	"github.com/alecthomas/kingpin/v2"
)

// UnmetCriteriaError reports that at least one criterion was not met. The printed results list which ones.
type UnmetCriteriaError struct{}

// Error implements error.
func (*UnmetCriteriaError) Error() string { return "policy: not all criteria are met" }

// Register adds the commands policy and subset to app.
func Register(app *kingpin.Application) {
	s := &Settings{}
	cmd := app.Command("policy", "Compare routing, admission and retries with their baselines on the same arrivals.")
	cmd.Flag("seed", "First seed of the traces.").Default("1").Uint64Var(&s.Seed)
	cmd.Flag("seeds", "Number of seeds.").Default("10").IntVar(&s.Seeds)
	cmd.Flag("workers", "Number of seeds that run concurrently.").Default("4").IntVar(&s.Workers)
	cmd.Action(func(*kingpin.ParseContext) error { return run(*s) })

	subsetCmd := app.Command("subset", "Measure, at the target size, the cost of slots that report to a subset of the entries only.")
	seed := subsetCmd.Flag("seed", "Seed of the arrivals.").Default("1").Uint64()
	subsetCmd.Action(func(*kingpin.ParseContext) error { return subsetTable(*seed).Text(os.Stdout) })
}

func run(s Settings) error {
	results, err := RunAll(s)
	if err != nil {
		return err
	}
	ok, err := results.Write(os.Stdout)
	if err != nil {
		return fmt.Errorf("write results: %w", err)
	}
	if !ok {
		return &UnmetCriteriaError{}
	}
	return nil
}
