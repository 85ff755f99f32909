package entry

import (
	"fmt"

	"github.com/cardamomyoke/cardamomyoke/internal/base/httpserver"
	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
	"github.com/cardamomyoke/cardamomyoke/internal/base/keys"
	"github.com/cardamomyoke/cardamomyoke/internal/base/logging"
	"github.com/cardamomyoke/cardamomyoke/internal/base/settings"
	"github.com/cardamomyoke/cardamomyoke/internal/base/tracing"
)

// Settings are the static settings of an entry.
type Settings struct {
	// Name of the entry host; it must be unique.
	Name string `yaml:"name"`
	// DataCentre that the host stands in.
	DataCentre ids.DataCentre `yaml:"data_centre"`
	// HTTP is where callers connect.
	HTTP struct {
		// Address to listen on, IP:PORT.
		Address string `yaml:"address"`
		// Loops is the number of event loops; default 2.
		Loops  int               `yaml:"loops"`
		Limits httpserver.Limits `yaml:"limits"`
	} `yaml:"http"`
	// Control is where RPC, metrics and health are served.
	Control struct {
		// Address to listen on, IP:PORT.
		Address string `yaml:"address"`
		// Seeds are control addresses of other nodes, IP:PORT, to ask for the configuration while the platform is down.
		Seeds []string `yaml:"seeds"`
	} `yaml:"control"`
	// Digests says where the entry hears of slots and other entries.
	Digests struct {
		// Address to listen on, IP:PORT (UDP).
		Address string `yaml:"address"`
		// Seeds are digest addresses of other entries, IP:PORT.
		Seeds []string `yaml:"seeds"`
	} `yaml:"digests"`
	// TLS names the keys of the control port and of RPC to other nodes; empty: both are plain.
	TLS keys.Settings `yaml:"tls"`
	// Platform is the address of the platform's service, IP:PORT.
	Platform string `yaml:"platform"`
	// DataCentres gives the time of one way from here to other data centres; unknown ones count as far.
	DataCentres map[ids.DataCentre]settings.Duration `yaml:"data_centres"`
	Log         logging.Options                      `yaml:"log"`
	Tracing     tracing.Options                      `yaml:"tracing"`
}

// Check implements settings.Checker.
func (s *Settings) Check() error {
	if err := settings.CheckName("$.name", s.Name, "the entry host's name"); err != nil {
		return err
	}
	if err := settings.CheckName("$.data_centre", string(s.DataCentre), "the data centre's name"); err != nil {
		return err
	}
	addresses := map[string]string{
		"$.http.address":    s.HTTP.Address,
		"$.control.address": s.Control.Address,
		"$.digests.address": s.Digests.Address,
		"$.platform":        s.Platform,
	}
	for _, path := range []string{"$.http.address", "$.control.address", "$.digests.address", "$.platform"} {
		if err := settings.CheckAddress(path, addresses[path]); err != nil {
			return err
		}
	}
	if err := settings.CheckAddresses("$.digests.seeds", s.Digests.Seeds); err != nil {
		return err
	}
	if err := settings.CheckAddresses("$.control.seeds", s.Control.Seeds); err != nil {
		return err
	}
	if err := s.TLS.Check(); err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	if err := s.Log.Check(); err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	return nil
}
