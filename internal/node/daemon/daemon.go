// Package daemon is what the daemons with a slot or entry share: the runtime of logger, tracer and node.
package daemon

import (
	"fmt"
	"os"

	"github.com/alecthomas/kingpin/v2"
	"google.golang.org/protobuf/encoding/protojson"

	cardamomyokev1 "github.com/cardamomyoke/cardamomyoke/internal/gen/cardamomyoke/v1"
	"github.com/cardamomyoke/cardamomyoke/internal/state/config"
)

// FixedFlag adds the flag for a configuration that never changes, in place of the platform's, for measurements.
func FixedFlag(run *kingpin.CmdClause) *string {
	return run.Flag("configuration", "Configuration file (JSON) that never changes, for measurements.").ExistingFile()
}

// ReadFixed reads the configuration that FixedFlag names; nil if it names none.
func ReadFixed(file string) (*config.Snapshot, error) {
	if file == "" {
		return nil, nil
	}
	return ReadConfiguration(file)
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
