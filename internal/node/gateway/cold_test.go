package gateway

import (
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/go-kit/log"

	"github.com/cardamomyoke/cardamomyoke/internal/base/httpclient"
	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
	cardamomyokev1 "github.com/cardamomyoke/cardamomyoke/internal/gen/cardamomyoke/v1"
	"github.com/cardamomyoke/cardamomyoke/internal/policy/dispatch"
	"github.com/cardamomyoke/cardamomyoke/internal/state/catalog"
	"github.com/cardamomyoke/cardamomyoke/internal/state/platform"
)

// coldGateway is a gateway whose control loop the test runs. Its upstream is cold for another 10 s.
type coldGateway struct {
	*Gateway
	now      time.Time
	upstream catalog.Upstream
}

func newColdGateway(bound *ColdBound, perSecond float64) *coldGateway {
	now := time.Now()
	g := &coldGateway{Gateway: &Gateway{logger: log.NewNopLogger(), metrics: newMetrics(), cold: newColdLimits(log.NewNopLogger(), now)}, now: now}
	g.settings.Store(&Settings{Name: "own", Listen: Listen{Peers: "127.0.0.1:1"}, Bounds: Bounds{Cold: bound}})
	g.peers = &peers{g: g.Gateway, byName: map[string]*peer{}, hints: map[string]time.Time{}, detector: newDetector()}
	service1 := &catalog.Service{Name: "svc", ColdStart: 10 * time.Second, ColdPerSecond: perSecond}
	g.control.config = &catalog.Configuration{Services: map[ids.Service]*catalog.Service{"svc": service1}}
	pool := dispatch.NewPool(dispatch.Options{Fill: 1, LateFill: 1}, rand.New(rand.NewPCG(1, 1)))
	g.control.services = map[ids.Service]*service{"svc": {gate: dispatch.NewGate(pool)}}
	g.upstream = catalog.Upstream{ID: "i-1", Service: "svc", Address: "127.0.0.1:2", Slots: 4, State: catalog.StateReady, StartedAtMS: 1, ColdStated: true, ColdRemaining: 10 * time.Second}
	g.list()
	return g
}

// list writes the upstream's entry anew.
func (g *coldGateway) list() {
	g.upstream.Written = platform.Position{Version: g.upstream.Written.Version + 1}
	g.relist()
}

// relist reads the same entry again.
func (g *coldGateway) relist() {
	u := g.upstream
	g.control.upstreams = catalog.NewUpstreams([]*catalog.Upstream{&u})
	g.view.Store(&view{config: g.control.config, upstreams: g.control.upstreams, services: g.control.services, state: stateReady})
	g.control.services["svc"].gate.SetUpstreams(g.control.upstreams.Of("svc"))
}

// run runs the control loop for a time, in which all peers are heard.
func (g *coldGateway) run(d time.Duration) {
	for end := g.now.Add(d); g.now.Before(end); g.now = g.now.Add(tickInterval) {
		for _, k := range g.peers.byName {
			k.lastSeen = g.now
		}
		g.updateCold(g.now)
	}
}

func (g *coldGateway) cold1() coldStatus { return g.cold.of("svc") }

// Guards against a deployment that does not ask for limits of cold upstreams, or has disabled them, and is served otherwise.
func TestColdLimitsAreOffUnlessAskedFor(t *testing.T) {
	bound := &ColdBound{Overshoot: 1.5, Slack: 5}
	for name, tc := range map[string]struct {
		bound     *ColdBound
		perSecond float64
		off       []dispatch.Mechanism
		want      int
	}{
		"no bound":          {nil, 17, nil, 0},
		"service unlimited": {bound, 0, nil, 0},
		"disabled":          {bound, 17, []dispatch.Mechanism{mechanismColdLimits}, 0},
		"limited":           {bound, 17, nil, 1},
	} {
		g := newColdGateway(tc.bound, tc.perSecond)
		set := *g.Settings()
		set.Off = tc.off
		g.settings.Store(&set)
		g.run(2 * time.Second)
		info := ResponseInfo{Signed: true, Cold: Cold{Stated: true, Remaining: time.Minute}}
		g.recordCold(&g.upstream, 200, info, g.now)
		if got := g.cold1().upstreams; got != tc.want {
			t.Errorf("%s: %d cold upstreams", name, got)
		}
		if (g.cold.book.Len() > 0) != (tc.want > 0) {
			t.Errorf("%s: %d states", name, g.cold.book.Len())
		}
	}
}

// Guards against limits that stay in force after they were disabled by a reload.
func TestDisabledColdLimitsEnd(t *testing.T) {
	g := newColdGateway(&ColdBound{Overshoot: 1.5, Slack: 5}, 17)
	g.run(2 * time.Second)
	set := *g.Settings()
	set.Off = []dispatch.Mechanism{mechanismColdLimits}
	g.settings.Store(&set)
	g.run(tickInterval)
	for range 4 {
		ticket := g.control.services["svc"].gate
		if placed, err := ticket.Wait(t.Context(), dispatch.Request{Arrived: time.Now(), Target: time.Now().Add(time.Second), Deadline: time.Now().Add(time.Second)}); err != nil || placed.Upstream() == nil {
			t.Fatal("held back: ", err)
		}
	}
}

// Guards against a cold period that the entry prolongs while the store is unreachable or the row is missing, or that ends with
// the row.
func TestColdPeriodLastsAsLongAsStatedWithoutStore(t *testing.T) {
	g := newColdGateway(&ColdBound{Overshoot: 1.5, Slack: 5}, 17)
	g.run(time.Second)
	g.control.upstreams = catalog.NewUpstreams(nil)
	g.run(time.Second)
	g.relist()
	g.run(7 * time.Second)
	if got := g.cold1().upstreams; got != 1 {
		t.Fatalf("%d cold upstreams after 9 s of 10", got)
	}
	g.relist()
	g.run(1500 * time.Millisecond)
	if got := g.cold1().upstreams; got != 0 {
		t.Fatalf("%d cold upstreams after 10.5 s of 10", got)
	}
}

// Guards against a restarted upstream that keeps its id and is taken for the warm one before it.
func TestNewIncarnationIsColdAnew(t *testing.T) {
	g := newColdGateway(&ColdBound{Overshoot: 1.5, Slack: 5}, 17)
	g.upstream.ColdRemaining = 0
	g.list()
	g.run(time.Second)
	if got := g.cold1().upstreams; got != 0 {
		t.Fatalf("%d cold upstreams", got)
	}
	g.upstream.StartedAtMS, g.upstream.ColdStated = 2, false
	g.list()
	g.run(time.Second)
	if got := g.cold1().upstreams; got != 1 {
		t.Fatalf("%d cold upstreams after a restart", got)
	}
}

// Guards against an upstream that returns while the store is away, so that the entry of its earlier incarnation says that it is
// warm, and whose own response or a peer's word of it does not count.
func TestReturnedUpstreamIsColdByItsResponseWithoutStore(t *testing.T) {
	for name, tc := range map[string]struct {
		info ResponseInfo
		want time.Duration
	}{
		"states it":  {ResponseInfo{Cold: Cold{Stated: true, Remaining: 5 * time.Second}}, 5 * time.Second},
		"unreadable": {ResponseInfo{Cold: Cold{Malformed: true}}, 10 * time.Second},
	} {
		sender, receiver := newColdGateway(&ColdBound{Overshoot: 1.5, Slack: 5}, 17), newColdGateway(&ColdBound{Overshoot: 1.5, Slack: 5}, 17)
		for _, g := range []*coldGateway{sender, receiver} {
			g.upstream.ColdRemaining = 0
			g.list()
			g.run(time.Second)
		}
		sent := time.Now()
		sender.recordCold(&sender.upstream, 200, tc.info, sent)
		later := sent.Add(digestInterval) // the bytes for digests are saved up by then
		receiver.cold.merge(sender.cold.news(1, later), later)
		for _, g := range []*coldGateway{sender, receiver} {
			g.run(tickInterval)
			state, _ := g.cold.book.Get(shortHashOf(g.upstream.Incarnation()))
			if left := state.Until.Sub(sent); g.cold1().upstreams != 1 || left < tc.want-time.Millisecond || left > tc.want+time.Second {
				t.Errorf("%s: %d cold upstreams, for %s, by %s", name, g.cold1().upstreams, left, state.Source)
			}
		}
	}
}

// Guards against gateways of an older release, whose digests say nothing of cold upstreams, that do not count: their parts would be
// used by others while they send as well.
func TestGatewayOfOlderReleaseHasAPart(t *testing.T) {
	g := newColdGateway(&ColdBound{Overshoot: 1.5, Slack: 5}, 17)
	for i := range 14 {
		name := fmt.Sprintf("127.0.0.1:%d", 100+i)
		g.peers.byName[name] = &peer{digest: &cardamomyokev1.Digest{Node: name, DigestAddress: name}}
	}
	g.run(2 * time.Second)
	if got := g.cold1().perSecond; got < 0.8*17/15 || got > 17.0/15 {
		t.Fatalf("%g a second of 17 with 14 older gateways", got)
	}
	g.cold.merge((&cardamomyokev1.Digest{}).GetCold(), g.now)
}

// Guards against a digest with columns of different lengths, which another release may send, that stops this gateway.
func TestGarbledColdColumnsAreIgnored(t *testing.T) {
	g := newColdGateway(&ColdBound{Overshoot: 1.5, Slack: 5}, 17)
	g.cold.merge(&cardamomyokev1.ColdColumns{Upstreams: []uint32{1, 2}, RemainingMs: []uint32{1 << 31, 5}, AgeMs: []uint32{0}}, g.now)
	if s, _ := g.cold.book.Get(1); s.Until.Sub(g.now) > maxColdRemaining || g.cold.book.Len() != 1 {
		t.Fatalf("%+v, %d states", s, g.cold.book.Len())
	}
}

// Guards against a gateway without the store that takes an upstream for the warm incarnation that it knew, although its own
// connections to it were refused.
func TestUpstreamThatRefusedConnectionsIsColdWithoutStore(t *testing.T) {
	refused := &httpclient.DialError{Address: "127.0.0.1:2", Cause: &net.OpError{Op: "dial", Err: os.NewSyscallError("connect", syscall.ECONNREFUSED)}}
	bound := &ColdBound{Overshoot: 1.5, Slack: 5}
	for name, tc := range map[string]struct {
		bound     *ColdBound
		perSecond float64
		off       []dispatch.Mechanism
		err       error
		want      int
	}{
		"refused":           {bound, 17, nil, refused, 1},
		"timed out":         {bound, 17, nil, &httpclient.DialError{Cause: os.ErrDeadlineExceeded}, 0},
		"no bound":          {nil, 17, nil, refused, 0},
		"service unlimited": {bound, 0, nil, refused, 0},
		"disabled":          {bound, 17, []dispatch.Mechanism{mechanismColdLimits}, refused, 0},
	} {
		g := newColdGateway(tc.bound, tc.perSecond)
		set := *g.Settings()
		set.Off = tc.off
		g.settings.Store(&set)
		g.upstream.ColdRemaining = 0
		g.list()
		g.run(2 * time.Second)
		(&run{g: g.Gateway, placedAt: time.Now()}).recordFailure(&g.upstream, tc.err)
		g.run(tickInterval)
		if got := g.cold1().upstreams; got != tc.want {
			t.Errorf("%s: %d cold upstreams", name, got)
		}
		g.recordCold(&g.upstream, 200, ResponseInfo{Signed: true}, time.Now())
		state, _ := g.cold.book.Get(shortHashOf(g.upstream.Incarnation()))
		if left := time.Until(state.Until); tc.want > 0 && (left < 9*time.Second || left > 10*time.Second) {
			t.Errorf("%s: cold for another %s after the next response", name, left)
		}
	}
}
