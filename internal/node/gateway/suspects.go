package gateway

import (
	"context"
	"crypto/sha256"
	"errors"
	"fmt"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/cardamomyoke/cardamomyoke/internal/base/failure"
	"github.com/cardamomyoke/cardamomyoke/internal/base/httpclient"
	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
	"github.com/cardamomyoke/cardamomyoke/internal/policy/quarantine"
	"github.com/cardamomyoke/cardamomyoke/internal/state/catalog"
)

const (
	// quarantineLength is how long a request is refused after the last upstream that it crashed: many times what an
	// upstream or a group needs to be back.
	quarantineLength = time.Minute
	// refuseAfterCrashes is how many upstreams must die while they run a request before it is refused. Requests that only ran
	// beside it run to their end elsewhere, which clears them; one that ran at three deaths and never ended did not.
	refuseAfterCrashes = 3
	// maxDigestSuspects is how many suspects one digest names; the newest come first.
	maxDigestSuspects = 16
	// crashDialTimeout bounds the question whether an upstream that broke a connection still listens.
	crashDialTimeout = 250 * time.Millisecond
)

// suspects keeps requests that crash each upstream which runs them from taking down one after the other.
//
// A request that crashes the rank that runs it takes its whole group down, and its caller sends it again. A gateway does not
// see what else an upstream ran, so it counts the deaths at which the request ran, with those that others tell, and refuses
// it after the third.
type suspects struct {
	tracker *quarantine.PersistentTracker
	logger  log.Logger
	dial    func(ctx context.Context, address string) error

	mu sync.Mutex
	// confirming are the runs that broke off at upstreams which are being asked whether they live, by upstream.
	confirming map[ids.UpstreamIncarnation][]quarantine.Running
	// listening are the runs that broke off at upstreams where something listened when asked.
	listening map[ids.UpstreamIncarnation]brokenRuns
}

// brokenRuns are runs that broke off at one life of an upstream, the last of them at a time.
type brokenRuns struct {
	runs []quarantine.Running
	at   time.Time
}

func newSuspects(logger log.Logger) *suspects {
	rules := quarantine.Rules{Period: quarantineLength, Crashes: refuseAfterCrashes}
	return &suspects{
		// Evidence is a hint and no promise: if all gateways end at once, three more deaths bring it back.
		tracker:    quarantine.NewPersistentTracker(nil, rules, quarantine.PersistentTrackerOptions{}),
		logger:     logger,
		dial:       dialOnce,
		confirming: map[ids.UpstreamIncarnation][]quarantine.Running{},
		listening:  map[ids.UpstreamIncarnation]brokenRuns{},
	}
}

func dialOnce(ctx context.Context, address string) error {
	d := net.Dialer{Timeout: crashDialTimeout}
	conn, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return err
	}
	return conn.Close()
}

// countRefused counts the requests that are refused now.
func (s *suspects) countRefused(now time.Time) int {
	n := 0
	for _, l := range s.tracker.List(now) {
		if l.Level == quarantine.Refused {
			n++
		}
	}
	return n
}

// fingerprint is the same for each time that a client account sends a request. It is computed when it is first asked for.
func (n *run) fingerprint() quarantine.Fingerprint {
	if !n.hasFingerprint {
		n.cachedFingerprint, n.hasFingerprint = n.computeFingerprint(), true
	}
	return n.cachedFingerprint
}

func (n *run) computeFingerprint() quarantine.Fingerprint {
	in := n.x.Req
	h := sha256.New()
	h.Write(in.Header.Method())
	h.Write([]byte{0})
	h.Write(in.Header.RequestURI())
	h.Write([]byte{0})
	h.Write(in.Body())
	return quarantine.FingerprintOf(n.r.client, [sha256.Size]byte(h.Sum(nil)))
}

// QuarantinedError says that a request is refused because upstreams died that ran it.
type QuarantinedError struct {
	Fingerprint quarantine.Fingerprint
	Until       time.Time
}

// Error implements error.
func (e *QuarantinedError) Error() string {
	return fmt.Sprintf("request %s is refused until %s: upstreams died that ran it", e.Fingerprint, e.Until.UTC().Format(time.RFC3339))
}

// classify returns how a request is treated. While nothing is suspected, which is nearly always, nothing is computed.
func (s *suspects) classify(n *run, now time.Time) (quarantine.Level, *QuarantinedError) {
	snapshot := s.tracker.Snapshot()
	if snapshot.Empty() {
		return quarantine.Clear, nil
	}
	fingerprint := n.fingerprint()
	lvl, until := snapshot.Judge(now, fingerprint)
	if lvl != quarantine.Refused {
		return lvl, nil
	}
	return lvl, &QuarantinedError{fingerprint, until}
}

// asFailure is the answer to a refused request. Callers take it as a promise that it was not run, with the time from which
// on it may be tried once more.
func (e *QuarantinedError) asFailure(now time.Time) error {
	return failure.New(failure.CodeNoUpstream, e).WithRetryAfter(e.Until.Sub(now))
}

// completed notes that a request ran to its end: whatever died while it ran did not die of it.
func (s *suspects) completed(n *run, now time.Time) {
	if !s.tracker.Snapshot().Empty() {
		s.tracker.Completed(now, n.fingerprint())
	}
}

// connectionBroken notes that a run broke off at an upstream and finds out whether that one died.
func (s *suspects) connectionBroken(ctx context.Context, n *run, u *catalog.Upstream) {
	running := quarantine.Running{Fingerprint: n.fingerprint(), Client: n.r.client}
	s.mu.Lock()
	defer s.mu.Unlock()
	_, pending := s.confirming[u.Incarnation()]
	s.confirming[u.Incarnation()] = append(s.confirming[u.Incarnation()], running)
	if !pending {
		go s.confirmCrash(ctx, u)
	}
}

// confirmCrash blames the runs that broke off at an upstream if nothing listens at its address any more. One that does not
// answer at all may only be cut off, and speaks against nobody.
func (s *suspects) confirmCrash(ctx context.Context, u *catalog.Upstream) {
	err := s.dial(ctx, u.Address)
	s.mu.Lock()
	defer s.mu.Unlock()
	runs := s.confirming[u.Incarnation()]
	delete(s.confirming, u.Incarnation())
	switch {
	case err == nil:
		s.recordListening(u.Incarnation(), runs, time.Now())
	case errors.Is(err, syscall.ECONNREFUSED):
		s.recordCrash(u.Incarnation(), runs, "nothing listens where it was")
	}
}

// restartWindow is for how long after a connection broke off an upstream's new life still tells that the old one died of it: a
// restart takes some seconds, and its entry some heartbeats.
const restartWindow = 10 * time.Second

func (s *suspects) recordListening(i ids.UpstreamIncarnation, added []quarantine.Running, now time.Time) {
	for incarnation, b := range s.listening {
		if now.Sub(b.at) > restartWindow {
			delete(s.listening, incarnation)
		}
	}
	s.listening[i] = brokenRuns{append(s.listening[i].runs, added...), now}
}

// upstreamRestarted takes in that an upstream has a new life under its id.
//
// An upstream may be back before it is asked whether it listens. Its new life proves that the old one has ended.
func (s *suspects) upstreamRestarted(previous ids.UpstreamIncarnation, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	broken, found := s.listening[previous]
	delete(s.listening, previous)
	if found && now.Sub(broken.at) <= restartWindow {
		s.recordCrash(previous, broken.runs, "it has a new life")
	}
}

// recordCrash counts a death against the runs that broke off at it. It is called with the lock held, so that whoever finds no
// question open finds its answer as well.
func (s *suspects) recordCrash(i ids.UpstreamIncarnation, runs []quarantine.Running, proof string) {
	now := time.Now()
	// The death's id comes from the life, so that the reports of several gateways count as one death, and two deaths of one
	// id as two.
	crash := quarantine.Evidence{Crash: quarantine.NewCrashID(ids.Incarnation(i.String()), 1), At: now}
	for _, r := range runs {
		s.tracker.Merge(now, quarantine.Suspect{Fingerprint: r.Fingerprint, Client: r.Client, Evidence: []quarantine.Evidence{crash}})
		lvl, _ := s.tracker.Snapshot().Judge(now, r.Fingerprint)
		_ = level.Info(s.logger).Log("msg", "request suspected", "reason", "upstream died while it ran", "upstream", i, "proof", proof,
			"fingerprint", r.Fingerprint, "client", r.Client, "level", lvl)
	}
}

// checkCrash has the upstream asked whether it died of an attempt that broke off.
func (n *run) checkCrash(u *catalog.Upstream, err error) {
	var broken *httpclient.BrokenError
	if errors.As(err, &broken) && !n.g.disabled(mechanismSuspects) {
		n.g.suspects.connectionBroken(n.g.ctx, n, u)
	}
}

// mustStop reports whether the request has run at so many deaths that it is left to its caller to send it once more.
func (n *run) mustStop() bool {
	lvl, _ := n.g.suspects.classify(n, time.Now())
	return lvl >= quarantine.Alone
}
