// Package daemon contains what the slot and entry daemons have in common: flags, logger, tracer, the node with its
// configuration and control port, and a graceful shutdown.
package daemon

import (
	"fmt"
	"os"

	"github.com/alecthomas/kingpin/v2"
	"google.golang.org/protobuf/encoding/protojson"

	cardamomyokev1 "github.com/cardamomyoke/cardamomyoke/internal/gen/cardamomyoke/v1"
	"github.com/cardamomyoke/cardamomyoke/internal/state/config"
)

// FixedConfigFlag adds the flag for a configuration file that replaces the platform's configuration and never changes. It is
// for measurements.
func FixedConfigFlag(run *kingpin.CmdClause) *string {
	return run.Flag("configuration", "Configuration file (JSON) that never changes, for measurements.").ExistingFile()
}

// ReadFixedConfig reads the configuration file given by FixedConfigFlag. It returns nil if file is empty.
func ReadFixedConfig(file string) (*config.Snapshot, error) {
	if file == "" {
		return nil, nil
	}
	return ReadConfiguration(file)
}

// ReadConfiguration reads and validates a configuration from a JSON file.
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
