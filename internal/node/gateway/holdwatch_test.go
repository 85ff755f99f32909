package gateway

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/go-kit/log"

	"github.com/cardamomyoke/cardamomyoke/internal/base/control"
	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
	"github.com/cardamomyoke/cardamomyoke/internal/base/logging"
	"github.com/cardamomyoke/cardamomyoke/internal/base/settings"
	"github.com/cardamomyoke/cardamomyoke/internal/experts/lockstep"
	cardamomyokev1 "github.com/cardamomyoke/cardamomyoke/internal/gen/cardamomyoke/v1"
	"github.com/cardamomyoke/cardamomyoke/internal/policy/dispatch"
	"github.com/cardamomyoke/cardamomyoke/internal/state/catalog"
	"github.com/cardamomyoke/cardamomyoke/internal/state/digest"
)

// standbyGateway is a ready gateway with spare token 9 and a group to lead.
func standbyGateway(t *testing.T, silence time.Duration, off ...dispatch.Mechanism) *Gateway {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	sender, err := digest.NewSender()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = sender.Close() })
	g := &Gateway{
		logger: log.NewNopLogger(), incarnation: "b", loop: control.New(), limits: newLimits(), metrics: newMetrics(), suspects: newSuspects("g", log.NewNopLogger(), newMetrics()),
		cold: newColdLimits(log.NewNopLogger(), time.Now()), accounts: newAccountReports(),
	}
	g.settings.Store(&Settings{
		Name: "standby", Off: off, Listen: Listen{Callers: "127.0.0.1:1", Peers: "127.0.0.1:2"},
		Bounds: Bounds{HoldWatch: settings.Duration(silence)},
	})
	g.control.ownState = stateReady
	g.control.config = &catalog.Configuration{Services: map[ids.Service]*catalog.Service{
		"s": {Name: "s", Engine: &catalog.Engine{Experts: &catalog.Experts{}}},
	}}
	g.view.Store(&view{state: stateReady})
	g.peers = &peers{
		g: g, ctx: ctx, sender: sender, startedAt: time.Now().Add(-time.Minute), byName: map[string]*peer{}, hints: map[string]time.Time{},
		pulling: map[string]bool{}, detector: newDetector(), failures: logging.NewRateLimited(log.NewNopLogger(), 1, time.Now),
	}
	g.experts = newExperts(ctx, g, nil, nil)
	g.experts.election.allocated(9)
	g.experts.updateControllers()
	go g.loop.Run(ctx, time.Hour, func(time.Time) {})
	return g
}

// hear delivers a datagram of a peer; its address accepts datagrams and drops them.
func (g *Gateway) hear(node string, sequence uint64, change func(d *cardamomyokev1.Digest)) {
	d := &cardamomyokev1.Digest{
		Node: node, Incarnation: "a", Sequence: sequence, Role: cardamomyokev1.NodeRole_NODE_ROLE_GATEWAY,
		State: cardamomyokev1.NodeState_NODE_STATE_LIVE, DigestAddress: "127.0.0.1:9",
	}
	if node == "other" {
		d.DigestAddress = "127.0.0.1:10"
	}
	change(d)
	g.peers.receive(d)
}

func holdNotice(outstanding bool) func(d *cardamomyokev1.Digest) {
	return func(d *cardamomyokev1.Digest) {
		d.Probe = &cardamomyokev1.Probe{}
		d.Hold = &cardamomyokev1.HoldNotice{Fence: 5, Outstanding: outstanding}
	}
}

// Guards against a group that stays held until the timeouts of digests, and against a takeover without the setting,
// with the mechanism disabled, or after the end of the hold.
func TestStandbyTakesOverHeldGroup(t *testing.T) {
	const silence = 40 * time.Millisecond
	for _, c := range []struct {
		name     string
		silence  time.Duration
		off      []dispatch.Mechanism
		released bool
		want     uint64
	}{
		{"silent", silence, nil, false, 9},
		{"released", silence, nil, true, 0},
		{"without the setting", 0, nil, false, 0},
		{"disabled", silence, []dispatch.Mechanism{mechanismHoldWatch}, false, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := standbyGateway(t, c.silence, c.off...)
			g.hear("leader", 1, func(d *cardamomyokev1.Digest) { d.ExpertsFence = 5 })
			g.hear("leader", 2, holdNotice(true))
			if c.released {
				g.hear("leader", 3, holdNotice(false))
			}
			began := time.Now()
			for sequence := uint64(1); time.Since(began) < 600*time.Millisecond && g.experts.fence.Load() == 0; sequence++ {
				g.hear("other", sequence, func(*cardamomyokev1.Digest) {})
				time.Sleep(5 * time.Millisecond)
			}
			if got := g.experts.fence.Load(); got != c.want || got > 0 && time.Since(began) < silence {
				t.Errorf("leads under %d after %v, want %d", got, time.Since(began), c.want)
			}
		})
	}
}

// Guards against standbys that do not hear of a hold or of its end, and against datagrams of a leader without the
// setting. A peer whose spare token is older than the leader's is no standby.
func TestLeaderTellsStandbysOfHold(t *testing.T) {
	for _, c := range []struct {
		name    string
		silence time.Duration
		spare   uint64
		want    bool
	}{{"standby", time.Second, 12, true}, {"token too old", time.Second, 3, false}, {"without the setting", 0, 12, false}} {
		t.Run(c.name, func(t *testing.T) {
			free, err := net.ListenPacket("udp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			address := free.LocalAddr().String()
			_ = free.Close()
			received := make(chan *cardamomyokev1.Digest, 100)
			receiver, err := digest.Receive(address, func(d *cardamomyokev1.Digest) { received <- d })
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = receiver.Stop(context.Background()) }()
			g := standbyGateway(t, c.silence)
			g.hear("peer", 1, func(d *cardamomyokev1.Digest) { d.DigestAddress, d.ExpertsSpare = address, c.spare })
			g.experts.holds.record("s/g", lockstep.HoldOutstanding, 7)
			time.Sleep(lockstep.HoldNoticeInterval)
			if got := g.experts.holds.current(7).GetOutstanding(); got != (c.silence > 0) {
				t.Errorf("digests say that a group is held: %t", got)
			}
			g.experts.holds.record("s/g", lockstep.HoldOutstanding, 7)
			g.experts.holds.record("s/g", lockstep.HoldReleased, 7)
			if g.experts.holds.current(7) != nil {
				t.Error("digests say that a group is held after its release")
			}
			time.Sleep((releaseCopies + 3) * lockstep.HoldNoticeInterval)
			held, released := 0, 0
			for len(received) > 0 {
				d := <-received
				switch {
				case d.GetProbe() == nil || d.GetHold().GetFence() != 7:
					t.Errorf("unexpected datagram %v", d)
				case d.GetHold().GetOutstanding():
					held++
				default:
					released++
				}
			}
			if want := map[bool]int{true: 1}[c.want]; held != 2*want || released != releaseCopies*want {
				t.Errorf("%d notices of the hold and %d of its end", held, released)
			}
		})
	}
}
