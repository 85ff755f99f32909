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
	// probeInterval is how often the slot looks whether its upstream is there; probeTimeout bounds one look.
	probeInterval = 250 * time.Millisecond
	probeTimeout  = time.Second
	// loadPath is where an engine reports its load, with the id of its process.
	loadPath = "/v1/load"
	// digestSuspects is how many suspects one digest carries; more would not fit its datagram.
	digestSuspects = 4
)

// enter waits for leave to run the job on the upstream. A suspect may have to wait or is refused before the start.
func (s *Slot) enter(ctx context.Context, j *job) (*quarantine.Permit, error) {
	r := quarantine.Running{
		Fingerprint: quarantine.FingerprintOf(j.Client, sha256.Sum256(j.body)),
		Client:      j.Client,
	}
	return s.guard.Acquire(ctx, r, quarantine.Level(j.Suspicion))
}

// leave tells the guard how a run ended. A connection that broke is looked into at once: if the upstream died, what
// ran there is suspect, and the entry's next attempt must know.
func (s *Slot) leave(ctx context.Context, permit *quarantine.Permit, err error) {
	switch {
	case err == nil:
		permit.Release(quarantine.Complete)
	case ctx.Err() == nil && broke(err):
		permit.Release(quarantine.Broken)
		s.upstream.look(s)
	default:
		permit.Release(quarantine.Stopped)
	}
}

// broke reports whether the connection to the upstream broke off, before the answer or in the middle of it.
func broke(err error) bool {
	var broken *httpclient.BrokenError
	var cut *attempt.TruncatedError
	return errors.As(err, &broken) || errors.As(err, &cut)
}

// upstreamWatch knows whether the upstream is there and whether it is still the same process.
type upstreamWatch struct {
	down  atomic.Bool
	start atomic.Pointer[string]
}

// run looks at the upstream until ctx ends.
func (w *upstreamWatch) run(ctx context.Context, s *Slot) {
	tick := time.NewTicker(probeInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			w.look(s)
		}
	}
}

// engineLoad is the part of an engine's load report that tells one process from the next.
type engineLoad struct {
	Start string `json:"start"`
}

// look asks the upstream. One that refuses the connection, or answers as another process, has died since.
func (w *upstreamWatch) look(s *Slot) {
	start, err := s.askUpstream()
	var dial *httpclient.DialError
	gone := errors.As(err, &dial)
	died := gone && !w.down.Load()
	w.down.Store(gone)
	if err == nil && start != "" {
		last := w.start.Swap(&start)
		died = died || last != nil && *last != start
	}
	if died && s.guard.UpstreamCrashed() {
		_ = level.Warn(s.logger).Log("msg", "upstream died while it ran requests", "upstream", s.settings.Upstream.Address)
		s.metrics.crashes.Inc()
		s.digests.send(true)
	}
}

// askUpstream returns the id of the engine's process. A plain service is only connected to, for it has no path that is
// known to do nothing: a request of ours would count as a call, and one that may not be repeated.
func (s *Slot) askUpstream() (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	if s.settings.Upstream.Kind == KindPlain {
		return "", s.client.Probe(ctx, s.settings.Upstream.Address)
	}
	req := &fasthttp.Request{}
	req.SetRequestURI(loadPath)
	req.Header.SetHost("engine")
	res, err := s.client.Do(ctx, s.settings.Upstream.Address, req)
	if err != nil {
		return "", err
	}
	body, err := io.ReadAll(io.LimitReader(res.Body, maxAnswerBytes))
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
