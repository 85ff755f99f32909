package gateway

import (
	"cmp"
	"fmt"
	"strconv"
	"time"

	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
	"github.com/cardamomyoke/cardamomyoke/internal/base/logging"
	"github.com/cardamomyoke/cardamomyoke/internal/base/settings"
	"github.com/cardamomyoke/cardamomyoke/internal/base/tracing"
	"github.com/cardamomyoke/cardamomyoke/internal/policy/dispatch"
)

// Settings are the static settings of a gateway.
type Settings struct {
	// Name of the host; it must be unique.
	Name string `yaml:"name"`
	// DataCentre that the host stands in.
	DataCentre ids.DataCentre `yaml:"data_centre"`
	Listen     Listen         `yaml:"listen"`
	// Peers are the addresses at which other gateways take digests, IP:PORT, as far as they are known.
	Peers []string `yaml:"peers"`
	// AgentPort is where the agents beside ranks listen on their hosts; empty if there are none.
	AgentPort string `yaml:"agent_port"`
	// Store is the address of the platform's store, IP:PORT.
	Store  string          `yaml:"store"`
	Limits HostLimits      `yaml:"limits"`
	Bounds Bounds          `yaml:"bounds"`
	Log    logging.Options `yaml:"log"`
	// RequestLog bounds the lines about requests.
	RequestLog LogBounds `yaml:"request_log"`
	// Tracing makes a span for each hop of a request; without an exporter there are none.
	Tracing tracing.Options `yaml:"tracing"`
	// Off names mechanisms that are switched off; none in usual operation.
	Off []dispatch.Mechanism `yaml:"off"`
}

// LogBounds are the most lines that are logged a second; 0 means the default.
type LogBounds struct {
	// Ordinary bounds lines about placements and answers that went as they should.
	Ordinary int `yaml:"ordinary"`
	// Failures bounds lines about refusals, retries, ejections and failures.
	Failures int `yaml:"failures"`
}

const (
	// defaultOrdinary covers two lines for each request at twice the usual load of an entry host today, 12 a second.
	defaultOrdinary = 50
	// defaultFailures covers an outage in which each request fails and comes back, at five times that load.
	defaultFailures = 150
)

func (b LogBounds) ordinary() int { return cmp.Or(b.Ordinary, defaultOrdinary) }

func (b LogBounds) failures() int { return cmp.Or(b.Failures, defaultFailures) }

func (b LogBounds) check() error {
	if b.Ordinary < 0 {
		return &settings.KeyError{Path: "$.request_log.ordinary", Want: "0 or more", Got: strconv.Itoa(b.Ordinary)}
	}
	if b.Failures < 0 {
		return &settings.KeyError{Path: "$.request_log.failures", Want: "0 or more", Got: strconv.Itoa(b.Failures)}
	}
	return nil
}

// Listen holds the addresses to listen on, IP:PORT.
type Listen struct {
	// Callers send their requests here.
	Callers string `yaml:"callers"`
	// Directory answers callers who ask which addresses to use.
	Directory string `yaml:"directory"`
	// Readiness answers whether this gateway takes requests.
	Readiness string `yaml:"readiness"`
	// Peers is for other gateways: digests over UDP, and RPC over TCP.
	Peers string `yaml:"peers"`
	// Metrics serves counters and histograms; empty for none.
	Metrics string `yaml:"metrics"`
}

// HostLimits are what the host gives to the process.
type HostLimits struct {
	// MemoryMB is when the process is killed, in MB.
	MemoryMB int `yaml:"memory_mb"`
	// FileDescriptors is the most that may be open.
	FileDescriptors int `yaml:"file_descriptors"`
	// Cores is the processor time, in cores; 0 if it is not known.
	Cores float64 `yaml:"cores"`
}

func (l HostLimits) cpuMillis() uint32 { return uint32(max(0, l.Cores) * 1000) }

// Bounds are what the platform's operator promises and asks for.
type Bounds struct {
	// Drain is how long after an upstream said that it leaves it still takes requests.
	Drain settings.Duration `yaml:"drain"`
	// Grace is the time between SIGTERM and SIGKILL.
	Grace settings.Duration `yaml:"grace"`
	// Stability is how long after a disturbance a node counts as sound again.
	Stability settings.Duration `yaml:"stability"`
	// ConfigApply is until when an accepted configuration must be in force.
	ConfigApply settings.Duration `yaml:"config_apply"`
	// MaxKeep is the longest time for which callers may keep an answer of the directory.
	MaxKeep settings.Duration `yaml:"max_keep"`
	// Stall is how long an upstream hangs on work that depends on a dead one.
	Stall settings.Duration `yaml:"stall"`
	// Retries bounds the attempts beyond each request's first, over all gateways.
	Retries RetryBound `yaml:"retries"`
}

// RetryBound allows Ratio times the requests of the window, plus Extra.
type RetryBound struct {
	Ratio  float64           `yaml:"ratio"`
	Extra  int               `yaml:"extra"`
	Window settings.Duration `yaml:"window"`
}

// Check implements settings.Checker.
func (s *Settings) Check() error {
	if err := settings.CheckName("$.name", s.Name, "the host's name"); err != nil {
		return err
	}
	if err := settings.CheckName("$.data_centre", string(s.DataCentre), "the data centre's name"); err != nil {
		return err
	}
	for _, a := range []struct{ path, value string }{
		{"$.listen.callers", s.Listen.Callers},
		{"$.listen.directory", s.Listen.Directory},
		{"$.listen.readiness", s.Listen.Readiness},
		{"$.listen.peers", s.Listen.Peers},
		{"$.store", s.Store},
		{"$.listen.metrics", cmp.Or(s.Listen.Metrics, s.Listen.Peers)},
	} {
		if err := settings.CheckAddress(a.path, a.value); err != nil {
			return err
		}
	}
	if err := settings.CheckAddresses("$.peers", s.Peers); err != nil {
		return err
	}
	if err := s.Bounds.check(); err != nil {
		return err
	}
	if err := s.RequestLog.check(); err != nil {
		return err
	}
	if s.Off == nil {
		s.Off = []dispatch.Mechanism{} // so that it is printed as a list
	}
	if err := checkDisabled(s.Off); err != nil {
		return err
	}
	if err := s.Log.Check(); err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	return nil
}

func (b *Bounds) check() error {
	for _, d := range []struct {
		path  string
		value settings.Duration
	}{
		{"$.bounds.drain", b.Drain},
		{"$.bounds.grace", b.Grace},
		{"$.bounds.stability", b.Stability},
		{"$.bounds.config_apply", b.ConfigApply},
		{"$.bounds.max_keep", b.MaxKeep},
		{"$.bounds.retries.window", b.Retries.Window},
	} {
		if d.value <= 0 {
			return &settings.KeyError{Path: d.path, Want: "a duration above 0", Got: time.Duration(d.value).String()}
		}
	}
	if b.Retries.Ratio < 0 || b.Retries.Ratio > 1 {
		return &settings.KeyError{Path: "$.bounds.retries.ratio", Want: "0 to 1", Got: strconv.FormatFloat(b.Retries.Ratio, 'g', -1, 64)}
	}
	return nil
}
