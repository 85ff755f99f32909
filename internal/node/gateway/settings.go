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
	// Name is the host's name; it must be unique.
	Name string `yaml:"name"`
	// DataCentre is the data centre of the host.
	DataCentre ids.DataCentre `yaml:"data_centre"`
	Listen     Listen         `yaml:"listen"`
	// Peers are the addresses, IP:PORT, at which other gateways receive digests, as far as they are known in advance.
	Peers []string `yaml:"peers"`
	// AgentPort is the port of the agents on the hosts of the ranks; empty if there are none.
	AgentPort string `yaml:"agent_port"`
	// Store is the address of the platform's store, IP:PORT.
	Store string `yaml:"store"`
	// StoreChecks says which gateways call the store while it is away; empty for StoreChecksEach.
	StoreChecks StoreChecks `yaml:"store_checks,omitempty"`
	Limits      HostLimits  `yaml:"limits"`
	Bounds      Bounds      `yaml:"bounds"`
	// Overload selects rules for overload.
	Overload Overload        `yaml:"overload"`
	Log      logging.Options `yaml:"log"`
	// RequestLog limits the log lines about requests.
	RequestLog LogBounds `yaml:"request_log"`
	// Tracing exports a span for each hop of a request; without an exporter there are none.
	Tracing tracing.Options `yaml:"tracing"`
	// Off names the disabled mechanisms; none in normal operation.
	Off []dispatch.Mechanism `yaml:"off"`
}

// LogBounds is the maximum number of lines logged per second; 0 means the default.
type LogBounds struct {
	// Ordinary limits lines about placements and successful responses.
	Ordinary int `yaml:"ordinary"`
	// Failures limits lines about refusals, retries, ejections and failures; those about requests that may run once and of which an
	// attempt has failed have the same limit to themselves.
	Failures int `yaml:"failures"`
}

const (
	// defaultOrdinary covers two lines per request at twice the normal load of a gateway host, 12 a second.
	defaultOrdinary = 50
	// defaultFailures covers an outage in which each request fails and is sent again, at five times that load.
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
	// Callers is where callers send their requests.
	Callers string `yaml:"callers"`
	// Directory serves callers the addresses of gateways.
	Directory string `yaml:"directory"`
	// Readiness serves the readiness check.
	Readiness string `yaml:"readiness"`
	// Peers is for other gateways: digests over UDP, and RPC over TCP.
	Peers string `yaml:"peers"`
	// Metrics is a separate address for counters and histograms; empty for none.
	Metrics string `yaml:"metrics"`
}

// HostLimits are the resources that the host gives to the process.
type HostLimits struct {
	// MemoryMB is the memory in MB at which the process is killed.
	MemoryMB int `yaml:"memory_mb"`
	// FileDescriptors is the maximum number of open file descriptors.
	FileDescriptors int `yaml:"file_descriptors"`
	// Cores is the processor time in cores; 0 if unknown.
	Cores float64 `yaml:"cores"`
}

func (l HostLimits) memoryBytes() int { return l.MemoryMB << 20 }

func (l HostLimits) cpuMillis() uint32 { return uint32(max(0, l.Cores) * 1000) }

// Bounds are the guarantees and requirements of the platform's operator.
type Bounds struct {
	// Drain is how long an upstream still accepts requests after it announced that it is draining.
	Drain settings.Duration `yaml:"drain"`
	// Grace is the time between SIGTERM and SIGKILL.
	Grace settings.Duration `yaml:"grace"`
	// Heartbeat is the interval at which upstreams write to the registry; 0 selects defaultHeartbeat.
	Heartbeat settings.Duration `yaml:"heartbeat"`
	// Stability is the time after a fault until a node counts as healthy again.
	Stability settings.Duration `yaml:"stability"`
	// ConfigApply is the time within which an accepted configuration must be in force.
	ConfigApply settings.Duration `yaml:"config_apply"`
	// MaxDirectoryTTL is the maximum time for which callers may cache a directory response.
	MaxDirectoryTTL settings.Duration `yaml:"max_keep"`
	// Stall is how long an upstream stalls on work that depends on a dead one.
	Stall settings.Duration `yaml:"stall"`
	// Retries bounds the attempts after each request's first, over all gateways.
	Retries RetryBound `yaml:"retries"`
	// Evacuate is the time within which no request may reach the upstreams of an evacuated data centre any more; 0 if data
	// centres are not evacuated.
	Evacuate settings.Duration `yaml:"evacuate"`
	// Cold bounds the requests to cold upstreams; nil if their rate is not limited.
	Cold *ColdBound `yaml:"cold"`
	// HoldWatch is the silence of a leader that holds a group after which a standby takes over; 0 for the usual timeouts.
	HoldWatch settings.Duration `yaml:"hold_watch"`
}

// ColdBound permits a cold upstream, in any second, Overshoot times the rate of its service plus Slack requests from all
// gateways together.
type ColdBound struct {
	Overshoot float64 `yaml:"overshoot"`
	Slack     float64 `yaml:"slack"`
}

func (b *ColdBound) check() error {
	switch {
	case b == nil:
	case !(b.Overshoot >= 1):
		return &settings.KeyError{Path: "$.bounds.cold.overshoot", Want: "1 or more", Got: strconv.FormatFloat(b.Overshoot, 'g', -1, 64)}
	case !(b.Slack >= 0):
		return &settings.KeyError{Path: "$.bounds.cold.slack", Want: "0 or more", Got: strconv.FormatFloat(b.Slack, 'g', -1, 64)}
	}
	return nil
}

// RetryBound permits Ratio times the requests of the window, plus Extra.
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
	if err := s.StoreChecks.check(); err != nil {
		return err
	}
	if err := s.Overload.check(); err != nil {
		return err
	}
	if err := s.RequestLog.check(); err != nil {
		return err
	}
	if s.Off == nil {
		s.Off = []dispatch.Mechanism{} // printed as a list instead of null
	}
	if err := checkDisabled(s.Off); err != nil {
		return err
	}
	if err := s.Log.Check(); err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	return nil
}

// defaultHeartbeat is the usual interval at which upstreams write to the registry.
const defaultHeartbeat = 1200 * time.Millisecond

func (b *Bounds) heartbeat() time.Duration {
	return cmp.Or(time.Duration(b.Heartbeat), defaultHeartbeat)
}

func (b *Bounds) check() error {
	if b.Heartbeat < 0 {
		return &settings.KeyError{Path: "$.bounds.heartbeat", Want: "a duration above 0", Got: time.Duration(b.Heartbeat).String()}
	}
	for _, d := range []struct {
		path  string
		value settings.Duration
	}{
		{"$.bounds.drain", b.Drain},
		{"$.bounds.grace", b.Grace},
		{"$.bounds.stability", b.Stability},
		{"$.bounds.config_apply", b.ConfigApply},
		{"$.bounds.max_keep", b.MaxDirectoryTTL},
		{"$.bounds.retries.window", b.Retries.Window},
	} {
		if d.value <= 0 {
			return &settings.KeyError{Path: d.path, Want: "a duration above 0", Got: time.Duration(d.value).String()}
		}
	}
	for _, d := range []struct {
		path  string
		value settings.Duration
	}{
		{"$.bounds.evacuate", b.Evacuate},
		{"$.bounds.hold_watch", b.HoldWatch},
	} {
		if d.value < 0 {
			return &settings.KeyError{Path: d.path, Want: "a duration, or 0", Got: time.Duration(d.value).String()}
		}
	}
	if b.Retries.Ratio < 0 || b.Retries.Ratio > 1 {
		return &settings.KeyError{Path: "$.bounds.retries.ratio", Want: "0 to 1", Got: strconv.FormatFloat(b.Retries.Ratio, 'g', -1, 64)}
	}
	return b.Cold.check()
}
