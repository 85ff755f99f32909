package slot

import (
	"fmt"

	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
	"github.com/cardamomyoke/cardamomyoke/internal/base/settings"
	"github.com/cardamomyoke/cardamomyoke/internal/node/host"
)

// Kind is the kind of a slot's upstream.
type Kind string

// The kinds of upstream.
const (
	KindModel Kind = "model"
	KindPlain Kind = "plain"
)

// Settings are the static settings of a slot.
type Settings struct {
	host.Settings `yaml:",inline"`
	// Service is the name of the service that the upstream provides.
	Service ids.Service `yaml:"service"`
	// Upstream is the engine or plain service on the slot's host.
	Upstream struct {
		// Kind is model or plain.
		Kind Kind `yaml:"kind"`
		// Address is the upstream's IP:PORT.
		Address string `yaml:"address"`
		// Batch is the number of requests that the upstream runs concurrently.
		Batch int `yaml:"batch"`
		// StopAfter is the time without a token, after the first one, after which an engine counts as stalled; default 2s.
		StopAfter settings.Duration `yaml:"stop_after"`
	} `yaml:"upstream"`
	// Group is set if the engine is a rank of a model group.
	Group struct {
		// Name is the name of the model group in the configuration.
		Name ids.Group `yaml:"name"`
		// Rank is the rank of the engine, from 0.
		Rank uint32 `yaml:"rank"`
		// Ranks is the number of ranks in the group.
		Ranks int `yaml:"ranks"`
	} `yaml:"group"`
}

// Check implements settings.Checker.
func (s *Settings) Check() error {
	if err := s.Settings.Check("upstream"); err != nil {
		return err
	}
	if err := settings.CheckName("$.service", string(s.Service), "the name of the service that the upstream provides"); err != nil {
		return err
	}
	if err := settings.CheckAddress("$.upstream.address", s.Upstream.Address); err != nil {
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
	return nil
}
