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
	"github.com/cardamomyoke/cardamomyoke/internal/policy/blame"
	"github.com/cardamomyoke/cardamomyoke/internal/policy/quarantine"
	"github.com/cardamomyoke/cardamomyoke/internal/state/catalog"
)

const (
	// quarantinePeriod is how long a request is refused after the last upstream that it crashed: many times the restart
	// time of an upstream or a group.
	quarantinePeriod = time.Minute
	// refuseAfterCrashes is how many upstreams must crash while they run a request before it is refused. A harmless
	// request that ran on the same upstreams completes elsewhere, which clears it; one that causes crashes runs at three
	// of them and never completes.
	refuseAfterCrashes = 3
	// maxDigestSuspects is the maximum number of suspects in a digest; the newest come first.
	maxDigestSuspects = 16
	// crashDialTimeout bounds the check whether an upstream still listens after its connection broke.
	crashDialTimeout = 250 * time.Millisecond
)

// suspects refuses requests that would crash one upstream after the other.
//
// A request that crashes its rank takes down the whole group, and its caller sends it again. A gateway does not see
// what else an upstream ran, so it counts the crashes during which the request ran, including those that peers report,
// and refuses the request after the third.
type suspects struct {
	tracker *quarantine.PersistentTracker
	logger  log.Logger
	metrics *gatewayMetrics
	// parts holds the crashes against parts that requests share.
	parts *crashParts
	dial  func(ctx context.Context, address string) error

	mu sync.Mutex
	// confirming holds the runs whose connections broke, by upstream, until it is known whether the upstream still
	// listens.
	confirming map[ids.UpstreamIncarnation][]brokenRun
	// saveAt is when the evidence is to be written to the store; zero if the store has it. inRow holds the requests that it has.
	saveAt time.Time
	inRow  map[quarantine.Fingerprint]bool
	// unproven holds the runs whose connections broke, by upstream, if its address did not refuse connections then: the upstream may
	// have been back already, or its host may be silent.
	unproven map[ids.UpstreamIncarnation]brokenRuns
}

// brokenRun is a run whose connection to its upstream broke.
type brokenRun struct {
	quarantine.Running
	// attempt is the caller's id of the request.
	attempt string
	parts   blame.Parts
	// events is how many writes of events the upstream's response had come to.
	events int
	// leaving is set if the upstream's end was planned.
	leaving bool
}

// brokenRuns are the runs whose connections to one incarnation of an upstream broke; at is when the last of them was
// recorded.
type brokenRuns struct {
	runs    []brokenRun
	address string
	at      time.Time
}

// newSuspects returns an empty state; name is the gateway's.
func newSuspects(name string, logger log.Logger, m *gatewayMetrics) *suspects {
	rules := quarantine.Rules{Period: quarantinePeriod, Crashes: refuseAfterCrashes}
	return &suspects{
		tracker:    quarantine.NewPersistentTracker(nil, rules, quarantine.PersistentTrackerOptions{}),
		logger:     logger,
		metrics:    m,
		parts:      newCrashParts(name, logger, m),
		dial:       dialOnce,
		confirming: map[ids.UpstreamIncarnation][]brokenRun{},
		unproven:   map[ids.UpstreamIncarnation]brokenRuns{},
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

// countRefused returns the number of requests that are currently refused.
func (s *suspects) countRefused(now time.Time) int {
	n := 0
	for _, l := range s.tracker.List(now) {
		if l.Level == quarantine.Refused {
			n++
		}
	}
	return n
}

// countSuspects returns the number of requests against which a crash counts, and how many of them a digest leaves out.
func (s *suspects) countSuspects(now time.Time) (known, leftOut int) {
	known = len(s.tracker.List(now))
	return known, max(0, known-maxDigestSuspects)
}

// fingerprint identifies the request; it is the same each time a client account sends it. It is computed on first use.
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

// QuarantinedError reports that a request is refused because upstreams crashed while they ran it.
type QuarantinedError struct {
	Fingerprint quarantine.Fingerprint
	Until       time.Time
}

// Error implements error.
func (e *QuarantinedError) Error() string {
	return fmt.Sprintf("request %s is refused until %s: upstreams crashed while they ran it", e.Fingerprint, e.Until.UTC().Format(time.RFC3339))
}

// classify returns a request's quarantine level, and an error if it is refused. While there are no suspects, which is
// nearly always, no fingerprint is computed.
func (s *suspects) classify(n *run, now time.Time) (quarantine.Level, *QuarantinedError) {
	snapshot := s.tracker.Snapshot()
	if snapshot.Empty() {
		return quarantine.Clear, nil
	}
	fingerprint := n.fingerprint()
	lvl, until := snapshot.Classify(now, fingerprint)
	if lvl != quarantine.Refused {
		return lvl, nil
	}
	return lvl, &QuarantinedError{fingerprint, until}
}

// asFailure returns the response to a refused request. Callers treat it as a promise that the request did not run, and
// may retry once at the given time.
func (e *QuarantinedError) asFailure(now time.Time) error {
	return failure.New(failure.CodeNoUpstream, e).WithRetryAfter(e.Until.Sub(now))
}

// completed records that a request ran to its end: it did not cause the crashes of upstreams that ran it.
func (s *suspects) completed(n *run, now time.Time) {
	if s.tracker.Snapshot().Empty() {
		return
	}
	s.tracker.Completed(now, n.fingerprint())
	s.clearedInRow(n.fingerprint(), now)
}

// connectionBroken records that a run's connection to an upstream broke after a number of writes of events, and checks whether the
// upstream crashed. leaving is set if its end was planned.
func (s *suspects) connectionBroken(ctx context.Context, n *run, u *catalog.Upstream, events int, leaving bool) {
	running := brokenRun{quarantine.Running{Fingerprint: n.fingerprint(), Client: n.r.client}, n.r.call.Attempt, n.r.call.SharedParts, events, leaving}
	s.mu.Lock()
	defer s.mu.Unlock()
	_, pending := s.confirming[u.Incarnation()]
	s.confirming[u.Incarnation()] = append(s.confirming[u.Incarnation()], running)
	if !pending {
		go s.confirmCrash(ctx, u)
	}
}

// confirmCrash counts a crash against the runs whose connections broke if the upstream's address refuses connections.
// An upstream that does not respond at all may only be partitioned, so that by itself counts against no request.
func (s *suspects) confirmCrash(ctx context.Context, u *catalog.Upstream) {
	err := s.dial(ctx, u.Address)
	s.mu.Lock()
	defer s.mu.Unlock()
	runs := s.confirming[u.Incarnation()]
	delete(s.confirming, u.Incarnation())
	switch {
	case err == nil:
		s.recordUnproven(u, runs, "its address accepts connections", nil)
	case errors.Is(err, syscall.ECONNREFUSED):
		s.recordCrash(u.Incarnation(), runs, "its address refuses connections")
	default:
		s.recordUnproven(u, runs, "its address does not respond", err)
	}
}

// restartWindow is how long after a broken connection a later sign that the upstream has ended still proves that it crashed then: a
// restart takes some seconds, and its registry entry some heartbeats.
const restartWindow = 10 * time.Second

// recordUnproven records that connections to an upstream broke, though nothing proves yet that it crashed. The caller holds the
// lock.
func (s *suspects) recordUnproven(u *catalog.Upstream, added []brokenRun, reason string, err error) {
	now := time.Now()
	s.metrics.crashUnproven(u.Service, reason)
	_ = level.Info(s.logger).Log("msg", "crash not proven", "upstream", u.Incarnation(), "reason", reason, "runs", len(added), "err", err)
	for incarnation, b := range s.unproven {
		if now.Sub(b.at) > restartWindow {
			delete(s.unproven, incarnation)
		}
	}
	s.unproven[u.Incarnation()] = brokenRuns{append(s.unproven[u.Incarnation()].runs, added...), u.Address, now}
}

// upstreamRestarted records that an upstream has a new incarnation under the same id, which proves that the previous one is dead.
func (s *suspects) upstreamRestarted(previous ids.UpstreamIncarnation, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.prove(previous, now, "it has a new incarnation")
}

// upstreamReplaced records that another upstream has responded at an upstream's address.
func (s *suspects) upstreamReplaced(previous ids.UpstreamIncarnation, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.prove(previous, now, "another upstream responds at its address")
}

// addressTaken records that another upstream has an address, which proves that those that had it are dead.
func (s *suspects) addressTaken(by *catalog.Upstream, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, b := range s.unproven {
		if b.address == by.Address && i != by.Incarnation() {
			s.prove(i, now, "another upstream has its address")
		}
	}
}

// prove counts a crash against the runs whose connections broke in it, if that was not long ago. The caller holds the lock.
func (s *suspects) prove(i ids.UpstreamIncarnation, now time.Time, proof string) {
	broken, found := s.unproven[i]
	delete(s.unproven, i)
	if found && now.Sub(broken.at) <= restartWindow {
		s.recordCrash(i, broken.runs, proof)
	}
}

// recordCrash counts a crash against the runs whose connections broke in it. The caller holds the lock, so that a
// goroutine that finds no pending check also sees its result.
func (s *suspects) recordCrash(i ids.UpstreamIncarnation, runs []brokenRun, proof string) {
	now := time.Now()
	// The crash id is derived from the incarnation, so that the reports of several gateways count as one crash, and two
	// crashes of the same upstream id as two.
	crash := quarantine.Evidence{Crash: quarantine.NewCrashID(ids.Incarnation(i.String()), 1), At: now.Truncate(time.Millisecond)}
	s.metrics.crashProven(proof)
	s.parts.crashed(i, runs, now)
	for _, r := range runs {
		s.tracker.Merge(now, quarantine.Suspect{Fingerprint: r.Fingerprint, Client: r.Client, Evidence: []quarantine.Evidence{crash}})
		lvl, _ := s.tracker.Snapshot().Classify(now, r.Fingerprint)
		s.saveBy(now.Add(evidenceSaveDelay(lvl)))
		_ = level.Info(s.logger).Log("msg", "request suspected", "reason", "upstream crashed while running the request", "upstream", i, "proof", proof,
			"fingerprint", r.Fingerprint, "client", r.Client, "level", lvl, "request", r.attempt, "parts", r.parts, "events", r.events)
	}
}

// checkCrash starts a check whether the upstream crashed, if the attempt's connection broke after a number of writes of events. Where only the close of the connection
// ends a stream, one that ends without an event, or within one, was broken off.
func (n *run) checkCrash(u *catalog.Upstream, err error, events int) {
	var broken *httpclient.BrokenError
	var event *EventError
	if (errors.As(err, &broken) || errors.As(err, &event)) && !n.g.disabled(mechanismSuspects) {
		n.g.suspects.connectionBroken(n.g.ctx, n, u, events, n.g.isLeaving(u))
	}
}

// mustStop reports whether the request ran during so many crashes that this gateway does not retry it; the caller may
// send it once more.
func (n *run) mustStop() bool {
	lvl, _ := n.g.suspects.classify(n, time.Now())
	return lvl >= quarantine.Alone
}
