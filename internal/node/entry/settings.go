package entry

import (
	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
	"github.com/cardamomyoke/cardamomyoke/internal/base/settings"
	"github.com/cardamomyoke/cardamomyoke/internal/node/host"
)

// Settings are the static settings of an entry.
type Settings struct {
	host.Settings `yaml:",inline"`
	// DataCentres holds the one-way latency from here to other data centres; for a missing one, defaultLatency applies.
	DataCentres map[ids.DataCentre]settings.Duration `yaml:"data_centres"`
}

// Check implements settings.Checker.
func (s *Settings) Check() error { return s.Settings.Check("entry") }
