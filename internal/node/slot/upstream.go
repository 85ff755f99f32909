package slot

import (
	"context"
	"crypto/sha256"
	"encoding/json"
	"errors"
	"io"
	"sync/atomic"
	"time"

	"github.com/go-kit/log/level"
	"github.com/valyala/fasthttp"

	"github.com/cardamomyoke/cardamomyoke/internal/base/httpclient"
	"github.com/cardamomyoke/cardamomyoke/internal/policy/attempt"
	"github.com/cardamomyoke/cardamomyoke/internal/policy/quarantine"
)

const (
	// probeInterval is the interval at which the slot probes its upstream; probeTimeout bounds one probe.
	probeInterval = 250 * time.Millisecond
	probeTimeout  = time.Second
	// loadPath is the engine's path for load reports, which include the start id of its process.
	loadPath = "/v1/load"
	// maxDigestSuspects is the maximum number of suspects per digest; more would not fit into its datagram.
	maxDigestSuspects = 4
)

// acquirePermit waits for permission to run the attempt on the upstream. A suspected request may have to wait, or is
// refused before its start.
func (s *Slot) acquirePermit(ctx context.Context, j *incomingAttempt) (*quarantine.Permit, error) {
	r := quarantine.Running{
		Fingerprint: quarantine.FingerprintOf(j.Client, sha256.Sum256(j.body)),
		Client:      j.Client,
	}
	return s.quarantineGate.Acquire(ctx, r, quarantine.Level(j.Suspicion))
}

// releasePermit reports the outcome of a run to the quarantine gate. After a broken connection it probes the upstream
// immediately: if the upstream crashed, the requests that ran there become suspects, and the entry must receive them
// before it sends its next attempt.
func (s *Slot) releasePermit(ctx context.Context, permit *quarantine.Permit, err error) {
	switch {
	case err == nil:
		permit.Release(quarantine.Complete)
	case ctx.Err() == nil && isBrokenConnection(err):
		permit.Release(quarantine.Broken)
		s.upstream.check(s)
	default:
		permit.Release(quarantine.Stopped)
	}
}

// isBrokenConnection reports whether the connection to the upstream failed before the response or in the middle of it.
func isBrokenConnection(err error) bool {
	var broken *httpclient.BrokenError
	var truncated *attempt.TruncatedError
	return errors.As(err, &broken) || errors.As(err, &truncated)
}

// upstreamMonitor tracks whether the upstream accepts connections and whether it is still the same process.
type upstreamMonitor struct {
	down  atomic.Bool
	start atomic.Pointer[string]
}

// run probes the upstream until ctx is done.
func (m *upstreamMonitor) run(ctx context.Context, s *Slot) {
	tick := time.NewTicker(probeInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			m.check(s)
		}
	}
}

// engineLoad holds the field of an engine's load report that identifies its process.
type engineLoad struct {
	Start string `json:"start"`
}

// check probes the upstream. The upstream has crashed since the last probe if it newly refuses connections, or if the
// start id of its process has changed. If requests were running on it, the crash is counted and reported to the entries.
func (m *upstreamMonitor) check(s *Slot) {
	start, err := s.probeUpstream()
	var dial *httpclient.DialError
	refused := errors.As(err, &dial)
	crashed := refused && !m.down.Load()
	m.down.Store(refused)
	if err == nil && start != "" {
		previous := m.start.Swap(&start)
		crashed = crashed || previous != nil && *previous != start
	}
	if crashed && s.quarantineGate.UpstreamCrashed() {
		_ = level.Warn(s.logger).Log("msg", "upstream crashed while running requests", "upstream", s.settings.Upstream.Address)
		s.metrics.crashes.Inc()
		s.digests.send(true)
	}
}

// probeUpstream returns the start id of the engine's process, or "" if it reports none. For a plain service it only opens a
// connection: a plain service has no path that is known to be free of side effects, so a request would be a real call,
// possibly one that must not be repeated.
func (s *Slot) probeUpstream() (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	if s.settings.Upstream.Kind == KindPlain {
		return "", s.client.Probe(ctx, s.settings.Upstream.Address)
	}
	req := &fasthttp.Request{}
	req.SetRequestURI(loadPath)
	req.Header.SetHost("engine")
	res, err := s.client.Do(ctx, s.settings.Upstream.Address, httpclient.Exchange{Request: req})
	if err != nil {
		return "", err
	}
	body, err := io.ReadAll(io.LimitReader(res.Body, maxResponseBytes))
	res.Release(err == nil)
	if err != nil {
		return "", err
	}
	var in engineLoad
	if json.Unmarshal(body, &in) != nil {
		return "", nil
	}
	return in.Start, nil
}
