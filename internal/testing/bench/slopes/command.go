package slopes

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/alecthomas/kingpin/v2"
)

type options struct {
	out, committed, only string
}

// Register adds the command slopes.
func Register(app *kingpin.Application) {
	var o options
	cmd := app.Command("slopes", "Measure how each role's state, messages and processor time grow.")
	cmd.Flag("out", "JSON file to write.").Default("out/slopes.json").StringVar(&o.out)
	cmd.Flag("check", "Committed JSON file that the run must reproduce.").StringVar(&o.committed)
	cmd.Flag("only", "Run only the experiments whose first figure begins so.").StringVar(&o.only)
	cmd.Action(func(*kingpin.ParseContext) error { return run(o) })
}

func run(o options) error {
	series, err := Measure(selected(o.only), os.Stderr)
	if err != nil {
		return fmt.Errorf("slopes: %w", err)
	}
	if err := Save(o.out, series); err != nil {
		return err
	}
	t := Table(series)
	if err := t.Text(os.Stdout); err != nil {
		return err
	}
	if o.committed == "" {
		return nil
	}
	committed, err := Read(o.committed)
	if err != nil {
		return err
	}
	errs := Check(committed, series)
	fmt.Printf("compared with %s: %d series, %d differences\n", o.committed, len(committed), len(errs))
	return errors.Join(errs...)
}

// selected returns the experiments whose first figure's name starts with prefix.
func selected(prefix string) []Experiment {
	return slices.DeleteFunc(Experiments(), func(e Experiment) bool { return !strings.HasPrefix(e.Metrics[0].Name, prefix) })
}

// Save writes series to file as JSON and creates its folder if needed.
func Save(file string, series []Series) error {
	data, err := json.MarshalIndent(series, "", " ")
	if err != nil {
		return fmt.Errorf("encode slopes: %w", err)
	}
	if err := os.MkdirAll(filepath.Dir(file), 0o755); err != nil {
		return fmt.Errorf("write slopes: %w", err)
	}
	if err := os.WriteFile(file, append(data, '\n'), 0o644); err != nil {
		return fmt.Errorf("write slopes: %w", err)
	}
	return nil
}

// Read returns the series in a file that Save wrote.
func Read(file string) ([]Series, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("read slopes: %w", err)
	}
	var series []Series
	if err := json.Unmarshal(data, &series); err != nil {
		return nil, fmt.Errorf("read slopes %s: %w", file, err)
	}
	return series, nil
}
