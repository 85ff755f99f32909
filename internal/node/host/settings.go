// Package host defines the static settings that entries and slots share: the host's name and data centre, its
// addresses, and the addresses of the platform and of other nodes.
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

// Settings is embedded in the settings of entries and slots.
type Settings struct {
	// Name is the name of the host. It must be unique.
	Name string `yaml:"name"`
	// DataCentre is the data centre of the host.
	DataCentre ids.DataCentre `yaml:"data_centre"`
	// HTTP configures the port for requests.
	HTTP struct {
		// Address is the address to listen on, IP:PORT.
		Address string `yaml:"address"`
		// Loops is the number of event loops. The default is 2 for an entry and 1 for a slot.
		Loops  int               `yaml:"loops"`
		Limits httpserver.Limits `yaml:"limits"`
	} `yaml:"http"`
	// Control configures the port for RPC, metrics and health checks.
	Control struct {
		// Address is the address to listen on, IP:PORT.
		Address string `yaml:"address"`
		// Seeds lists control addresses of other nodes, IP:PORT, from which the configuration is read while the
		// platform is unavailable.
		Seeds []string `yaml:"seeds"`
	} `yaml:"control"`
	// Digests configures the exchange of digests with other nodes.
	Digests struct {
		// Address is the UDP address to listen on, IP:PORT.
		Address string `yaml:"address"`
		// Seeds lists digest addresses of entries, IP:PORT. They send the addresses of the other nodes.
		Seeds []string `yaml:"seeds"`
	} `yaml:"digests"`
	// TLS configures the keys for the control port and for RPC to other nodes. If it is empty, both use plain text.
	TLS keys.Settings `yaml:"tls"`
	// Platform is the address of the platform service, IP:PORT.
	Platform string          `yaml:"platform"`
	Log      logging.Options `yaml:"log"`
	Tracing  tracing.Options `yaml:"tracing"`
}

// Check returns the first invalid setting as a *settings.KeyError or as a wrapped error. The error calls the host by
// its kind, for example "entry".
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
