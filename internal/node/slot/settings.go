package slot

import (
	"fmt"

	"github.com/cardamomyoke/cardamomyoke/internal/base/httpserver"
	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
	"github.com/cardamomyoke/cardamomyoke/internal/base/keys"
	"github.com/cardamomyoke/cardamomyoke/internal/base/logging"
	"github.com/cardamomyoke/cardamomyoke/internal/base/settings"
	"github.com/cardamomyoke/cardamomyoke/internal/base/tracing"
)

// Kind says what stands beside a slot.
type Kind string

// The kinds of upstream.
const (
	KindModel Kind = "model"
	KindPlain Kind = "plain"
)

// Settings are the static settings of a slot.
type Settings struct {
	// Name of the upstream host; it must be unique.
	Name string `yaml:"name"`
	// DataCentre that the host stands in.
	DataCentre ids.DataCentre `yaml:"data_centre"`
	// Service that the upstream answers for.
	Service ids.Service `yaml:"service"`
	// HTTP is where entries send work.
	HTTP struct {
		// Address to listen on, IP:PORT.
		Address string `yaml:"address"`
		// Loops is the number of event loops; default 1.
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
	// Upstream is the engine or plain service beside the slot.
	Upstream struct {
		// Kind is model or plain.
		Kind Kind `yaml:"kind"`
		// Address of the upstream, IP:PORT.
		Address string `yaml:"address"`
		// Batch is how many requests the upstream runs at once.
		Batch int `yaml:"batch"`
		// StopAfter is how long an engine may send nothing in mid-answer before it counts as stalled; default 2s.
		StopAfter settings.Duration `yaml:"stop_after"`
	} `yaml:"upstream"`
	// Group is set if the engine is a rank of a model group.
	Group struct {
		// Name of the model group in the configuration.
		Name ids.Group `yaml:"name"`
		// Rank of the engine, from 0.
		Rank uint32 `yaml:"rank"`
		// Ranks of the whole group.
		Ranks int `yaml:"ranks"`
	} `yaml:"group"`
	// Digests says whom the slot tells of itself.
	Digests struct {
		// Address to listen on for digests, IP:PORT (UDP).
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

// Check implements settings.Checker.
func (s *Settings) Check() error {
	names := []struct{ path, value, want string }{
		{"$.name", s.Name, "the upstream host's name"},
		{"$.data_centre", string(s.DataCentre), "the data centre's name"},
		{"$.service", string(s.Service), "the name of the service that the upstream answers for"},
	}
	for _, n := range names {
		if err := settings.CheckName(n.path, n.value, n.want); err != nil {
			return err
		}
	}
	addresses := []struct{ path, value string }{
		{"$.http.address", s.HTTP.Address},
		{"$.control.address", s.Control.Address},
		{"$.upstream.address", s.Upstream.Address},
		{"$.digests.address", s.Digests.Address},
		{"$.platform", s.Platform},
	}
	for _, a := range addresses {
		if err := settings.CheckAddress(a.path, a.value); err != nil {
			return err
		}
	}
	if err := settings.CheckAddresses("$.digests.seeds", s.Digests.Seeds); err != nil {
		return err
	}
	if err := settings.CheckAddresses("$.control.seeds", s.Control.Seeds); err != nil {
		return err
	}
	return s.checkUpstream()
}

func (s *Settings) checkUpstream() error {
	if s.Upstream.Kind != KindModel && s.Upstream.Kind != KindPlain {
		return &settings.KeyError{Path: "$.upstream.kind", Want: "model or plain", Got: string(s.Upstream.Kind)}
	}
	if s.Upstream.Batch < 1 {
		return &settings.KeyError{Path: "$.upstream.batch", Want: "at least 1", Got: fmt.Sprint(s.Upstream.Batch)}
	}
	if s.Group.Name != "" && int(s.Group.Rank) >= s.Group.Ranks {
		return &settings.KeyError{Path: "$.group.rank", Want: "less than group.ranks", Got: fmt.Sprint(s.Group.Rank)}
	}
	if err := s.TLS.Check(); err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	if err := s.Log.Check(); err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	return nil
}
