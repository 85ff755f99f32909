// Package host holds the static settings that entries and slots have in common: what a host's process needs to know of the
// host, its ports and its surroundings.
package host

import (
	"fmt"

	"github.com/cardamomyoke/cardamomyoke/internal/base/httpserver"
	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
	"github.com/cardamomyoke/cardamomyoke/internal/base/keys"
	"github.com/cardamomyoke/cardamomyoke/internal/base/logging"
	"github.com/cardamomyoke/cardamomyoke/internal/base/settings"
	"github.com/cardamomyoke/cardamomyoke/internal/base/tracing"
)

// Settings are embedded in those of each process.
type Settings struct {
	// Name of the host; it must be unique.
	Name string `yaml:"name"`
	// DataCentre that the host stands in.
	DataCentre ids.DataCentre `yaml:"data_centre"`
	// HTTP is where requests come in.
	HTTP struct {
		// Address to listen on, IP:PORT.
		Address string `yaml:"address"`
		// Loops is the number of event loops; default 2 for an entry, 1 for a slot.
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
	// Digests says where the process hears of others, and whom it tells of itself first.
	Digests struct {
		// Address to listen on, IP:PORT (UDP).
		Address string `yaml:"address"`
		// Seeds are digest addresses of entries, IP:PORT; others are learned from them.
		Seeds []string `yaml:"seeds"`
	} `yaml:"digests"`
	// TLS names the keys of the control port and of RPC to other nodes; empty: both are plain.
	TLS keys.Settings `yaml:"tls"`
	// Platform is the address of the platform's service, IP:PORT.
	Platform string          `yaml:"platform"`
	Log      logging.Options `yaml:"log"`
	Tracing  tracing.Options `yaml:"tracing"`
}

// Check returns the first fault, as *settings.KeyError or wrapped; kind names the host in it, as in "entry".
func (s *Settings) Check(kind string) error {
	if err := settings.CheckName("$.name", s.Name, "the "+kind+" host's name"); err != nil {
		return err
	}
	if err := settings.CheckName("$.data_centre", string(s.DataCentre), "the data centre's name"); err != nil {
		return err
	}
	if err := s.checkAddresses(); err != nil {
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

func (s *Settings) checkAddresses() error {
	for _, a := range []struct{ path, value string }{
		{"$.http.address", s.HTTP.Address},
		{"$.control.address", s.Control.Address},
		{"$.digests.address", s.Digests.Address},
		{"$.platform", s.Platform},
	} {
		if err := settings.CheckAddress(a.path, a.value); err != nil {
			return err
		}
	}
	if err := settings.CheckAddresses("$.digests.seeds", s.Digests.Seeds); err != nil {
		return err
	}
	return settings.CheckAddresses("$.control.seeds", s.Control.Seeds)
}
