package policy

import (
	"fmt"
	"os"

	"github.com/alecthomas/kingpin/v2"
)

// ShortError says that claims were not met; the lines above it say which.
type ShortError struct{}

// Error implements error.
func (*ShortError) Error() string { return "policy: not every claim is met" }

// Register adds the commands policy and subset to app.
func Register(app *kingpin.Application) {
	s := &Settings{}
	cmd := app.Command("policy", "Run routing, admission and retries beside their baselines on the same arrivals.")
	cmd.Flag("seed", "First seed of the traces.").Default("1").Uint64Var(&s.Seed)
	cmd.Flag("seeds", "Number of seeds.").Default("10").IntVar(&s.Seeds)
	cmd.Flag("workers", "Number of runs at once.").Default("4").IntVar(&s.Workers)
	cmd.Action(func(*kingpin.ParseContext) error { return run(*s) })

	subset := app.Command("subset", "Measure, at the target's size, what it costs that a slot tells a few entries only.")
	seed := subset.Flag("seed", "Seed of the arrivals.").Default("1").Uint64()
	subset.Action(func(*kingpin.ParseContext) error { return subsetTable(*seed).Text(os.Stdout) })
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
		return &ShortError{}
	}
	return nil
}
