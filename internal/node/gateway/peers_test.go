package gateway

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-kit/log"

	"github.com/cardamomyoke/cardamomyoke/internal/base/failure"
	cardamomyokev1 "github.com/cardamomyoke/cardamomyoke/internal/gen/cardamomyoke/v1"
	"github.com/cardamomyoke/cardamomyoke/internal/gen/cardamomyoke/v1/cardamomyokev1connect"
	"github.com/cardamomyoke/cardamomyoke/internal/state/liveness"
	"github.com/cardamomyoke/cardamomyoke/internal/state/platform"
	"github.com/cardamomyoke/cardamomyoke/internal/state/replica"
)

// Guards against a restarted gateway whose address callers do not get for half a minute. Its host's wall clock was
// ahead at the first start and then set back, so the new incarnation sorts before the old one. Peers must accept it
// once the old one is unresponsive; a late digest of a dead incarnation must not bring that one back.
func TestEarlierIncarnationReplacesSilentPeer(t *testing.T) {
	seen := time.Unix(1000, 0)
	digest := func(incarnation string, sequence uint64) *cardamomyokev1.Digest {
		return &cardamomyokev1.Digest{Incarnation: incarnation, Sequence: sequence}
	}
	k := &peer{digest: digest("b", 7), lastSeen: seen}
	for _, c := range []struct {
		name string
		next *cardamomyokev1.Digest
		at   time.Time
		want bool
	}{
		{"the next of the same incarnation", digest("b", 8), seen, true},
		{"a duplicate", digest("b", 7), seen, false},
		{"a later incarnation", digest("c", 1), seen, true},
		{"a late digest of an earlier incarnation", digest("a", 9), seen.Add(peerTimeout), false},
		{"an earlier incarnation after the timeout", digest("a", 1), seen.Add(peerTimeout + 1), true},
	} {
		if got := k.replacedBy(c.next, c.at); got != c.want {
			t.Errorf("%s: %v", c.name, got)
		}
	}
}

// Guards against replacing a leader that is alive. All gateways restart together, and the lease names one from which
// this gateway has received no message yet. If it took over the duty, the next gateway would do the same.
func TestUnknownLeaderIsNotDead(t *testing.T) {
	g := &Gateway{}
	g.settings.Store(&Settings{Name: "own"})
	for _, c := range []struct {
		name        string
		uptime      time.Duration
		lastSeenAgo time.Duration
		want        bool
	}{
		{"never seen, just started", 600 * time.Millisecond, -1, false},
		{"never seen, long after the start", unknownLeaderTimeout + time.Second, -1, true},
		{"seen just now", unknownLeaderTimeout + time.Second, 0, false},
		{"silent", unknownLeaderTimeout + time.Second, leaderTimeout + time.Second, true},
		{"silent, just started", 200 * time.Millisecond, leaderTimeout + time.Second, false},
	} {
		p := &peers{g: g, startedAt: time.Now().Add(-c.uptime), byName: map[string]*peer{}, detector: newDetector()}
		if c.lastSeenAgo >= 0 {
			p.byName["other"] = &peer{digest: &cardamomyokev1.Digest{Incarnation: "a"}, lastSeen: time.Now().Add(-c.lastSeenAgo)}
		}
		if got := p.holderDead("other", "a"); got != c.want {
			t.Errorf("%s: %v", c.name, got)
		}
	}
}

// Guards against taking over the duty of a leader that is only busy. It leads many gateways that all restart, and one
// of them receives no message from it for half a second.
func TestBusyLeaderOfManyIsNotDead(t *testing.T) {
	now := time.Now()
	g := &Gateway{}
	g.settings.Store(&Settings{Name: "own"})
	p := &peers{g: g, startedAt: now.Add(-time.Minute), byName: map[string]*peer{}, detector: newDetector()}
	for i := range 148 {
		d := &cardamomyokev1.Digest{Node: fmt.Sprint("gateway-", i), Incarnation: "a", Sequence: 1, DigestAddress: fmt.Sprint("10.1.0.", i, ":1")}
		p.byName[d.GetNode()] = &peer{digest: d, lastSeen: now}
		p.observe(d, now)
	}
	leader := p.byName["gateway-7"]
	leader.digest.ExpertsFence = 12
	leader.lastSeen = now.Add(-leaderTimeout - 200*time.Millisecond)
	if p.holderDead("gateway-7", "a") {
		t.Error("a leader that no peer declared dead counts as dead")
	}
	p.detector.MergeRumors(now, []liveness.Rumor{{IncarnationHash: p.detector.RumorOf(leader.address()).IncarnationHash, Sequence: 1, Dead: true}})
	if !p.holderDead("gateway-7", "a") {
		t.Error("a leader that peers declared dead does not count as dead")
	}
}

// Guards against a group that nobody leads for the length of a lease: its leader is stopped while the store is down, so it
// can neither renew nor release its lease, and serves its callers on for seconds. One that still leads keeps its duty.
func TestLeavingHolderThatLeadsNoMoreIsReplaced(t *testing.T) {
	now := time.Now()
	g := &Gateway{}
	g.settings.Store(&Settings{Name: "own"})
	tests := map[string]struct {
		state cardamomyokev1.NodeState
		fence uint64
		want  bool
	}{
		"serves and does not lead":   {cardamomyokev1.NodeState_NODE_STATE_LIVE, 0, false},
		"leaves and leads":           {cardamomyokev1.NodeState_NODE_STATE_LEAVING, 7, false},
		"leaves and leads no longer": {cardamomyokev1.NodeState_NODE_STATE_LEAVING, 0, true},
	}
	for name, tc := range tests {
		p := &peers{g: g, startedAt: now.Add(-time.Minute), byName: map[string]*peer{}, detector: newDetector()}
		d := &cardamomyokev1.Digest{Node: "other", Incarnation: "a", Sequence: 1, DigestAddress: "10.1.0.1:1", State: tc.state, ExpertsFence: tc.fence}
		p.byName["other"] = &peer{digest: d, lastSeen: now}
		if got := p.holderDead("other", "a"); got != tc.want {
			t.Errorf("%s: dead %t, want %t", name, got, tc.want)
		}
	}
}

// fakePeer is another gateway that returns the same response to each pull.
type fakePeer struct {
	response *cardamomyokev1.PullResponse
	pulls    atomic.Int32
}

func (t *fakePeer) Pull(context.Context, *cardamomyokev1.PullRequest) (*cardamomyokev1.PullResponse, error) {
	t.pulls.Add(1)
	return t.response, nil
}

// start serves the peer on loopback and returns its digest, which announces the given version of the table.
func (t *fakePeer) start(tt *testing.T, centre string, newest uint64) *cardamomyokev1.Digest {
	tt.Helper()
	mux := http.NewServeMux()
	mux.Handle(cardamomyokev1connect.NewPeerServiceHandler(t))
	server := httptest.NewServer(mux)
	tt.Cleanup(server.Close)
	return &cardamomyokev1.Digest{
		Node: centre, DataCentre: centre, DigestAddress: server.Listener.Addr().String(),
		News: []*cardamomyokev1.TableNews{{Table: "op", Newest: newest}},
	}
}

func at(version uint64) platform.Position { return platform.Position{Version: version} }

// laggingGateway is a gateway of the data centre "near" whose replica of a table is at the given version.
func laggingGateway(t *testing.T, version uint64) (*peers, *replica.Follower) {
	t.Helper()
	f := &replica.Follower{Replica: replica.NewReplica("op"), Changed: func(*replica.Replica) {}}
	f.Replica.Load([]platform.Row{{Key: "config", Version: version}}, at(version))
	g := &Gateway{logger: log.NewNopLogger(), followers: []*replica.Follower{f}}
	g.settings.Store(&Settings{Name: "own", DataCentre: "near"})
	return &peers{
		g: g, ctx: t.Context(), http: http.DefaultClient, byName: map[string]*peer{}, pulling: map[string]bool{}, lags: map[string]lag{},
		detector: newDetector(), followersSeenAt: map[string]time.Time{}, earlierPulledAt: map[string]time.Time{}, pulledEra: map[string]uint64{},
	}, f
}

// Guards against serving callers by an old configuration. The configuration changes, and the nearest gateway announces
// the change as well, but returns nothing when pulled, so the sender of the digest must be pulled next.
func TestPullFallsBackToSenderOfDigest(t *testing.T) {
	p, f := laggingGateway(t, 80)
	local := &fakePeer{response: &cardamomyokev1.PullResponse{}}
	remote := &fakePeer{response: &cardamomyokev1.PullResponse{
		Version: 90, Rows: []*cardamomyokev1.TableRow{{Key: "config", Version: 90, Value: []byte("new")}},
	}}
	sender := remote.start(t, "far", 90)
	p.byName["near"] = &peer{digest: local.start(t, "near", 90), lastSeen: time.Now()}
	p.pullUntilCurrent(f, p.nearestSource("op", sender), sender)
	if got := f.Replica.Newest(); got.Version != 90 || local.pulls.Load() != 1 || remote.pulls.Load() != 1 {
		t.Fatalf("version %s after pulling from the nearest %d times and from the sender %d times", got, local.pulls.Load(), remote.pulls.Load())
	}
}

// Guards against reporting that a route does not exist, which callers would treat as final, while no peer delivers a
// change that all announce. The gateway must follow the store itself after some pulls.
func TestLaggingGatewayFollowsStoreItself(t *testing.T) {
	p, f := laggingGateway(t, 80)
	late := time.Now().Add(maxReplicaLag + time.Second)
	following := []*cardamomyokev1.TableNews{{Table: "op", Newest: 90, Following: true}}
	for i := range 20 {
		d := &cardamomyokev1.Digest{Node: fmt.Sprint("gateway-", i), DataCentre: "near", News: following}
		p.byName[d.GetNode()] = &peer{digest: d, lastSeen: late}
	}
	if !p.relayed(f.Replica, late) {
		t.Fatal("a gateway among 20 others follows the store itself")
	}
	g := p.g
	g.peers, g.configFollower = p, f
	now := time.Now()
	missing := func() failure.Code {
		return failure.From(g.notFoundError(&view{storeUp: true}, failure.CodeUnknownService)).Code
	}
	if got := missing(); got != failure.CodeUnknownService || p.replicaLag(f.Replica, now) != 0 {
		t.Fatalf("a gateway that lacks nothing responded %s", got)
	}
	p.recordMissing(f.Replica, at(90))
	if got := missing(); got != failure.CodeStaleRevision {
		t.Fatalf("a lagging gateway responded %s", got)
	}
	if behind := p.replicaLag(f.Replica, late); behind <= maxReplicaLag || p.relayed(f.Replica, late) {
		t.Fatalf("lag of %s, and still relayed", behind)
	}
	f.Replica.Apply([]platform.Change{{Row: platform.Row{Key: "config", Version: 90}}}, at(90))
	if got := missing(); got != failure.CodeUnknownService {
		t.Fatalf("a gateway that is up to date again responded %s", got)
	}
}

// Guards against needless pulls: peers announce a change that precedes this gateway's full read of the table.
func TestVersionCoveredByFullReadIsNotPulled(t *testing.T) {
	p, f := laggingGateway(t, 80)
	f.Replica.Load([]platform.Row{{Key: "config", Version: 80}}, at(95))
	sender := &fakePeer{response: &cardamomyokev1.PullResponse{}}
	p.catchUp(sender.start(t, "far", 90))
	if p.replicaLag(f.Replica, time.Now()) != 0 || len(p.pulling) > 0 {
		t.Fatal("a replica that is complete up to 95 lacks a change of 90")
	}
}

// Guards against losing a busy gateway's work, because its digest arrives in parts or a probe arrives between two
// digests. Its peers would count too little and send more to upstreams that are full.
func TestDigestPartsAndProbesKeepPeerWork(t *testing.T) {
	now := time.Unix(1000, 0)
	part := func(sequence uint64, index, upstream uint32) *cardamomyokev1.Digest {
		return &cardamomyokev1.Digest{
			Node: "other", Incarnation: "a", Sequence: sequence, Part: &cardamomyokev1.Part{Index: index, Count: 2},
			Work: &cardamomyokev1.WorkColumns{Upstreams: []uint32{upstream}, Requests: []uint32{1}, PromptTokens: []uint32{0}},
		}
	}
	probeRequest := &cardamomyokev1.Digest{Node: "other", Incarnation: "a", Sequence: 4, Probe: &cardamomyokev1.Probe{Ask: true}}
	var k *peer
	for i, c := range []struct {
		d       *cardamomyokev1.Digest
		changed bool
		want    []uint32
	}{
		{part(3, 1, 31), true, []uint32{31}},
		{part(3, 0, 30), true, []uint32{31, 30}},
		{part(3, 0, 30), false, []uint32{31, 30}},
		{probeRequest, true, []uint32{31, 30}},
		{probeRequest, false, []uint32{31, 30}},
		{part(5, 0, 50), true, []uint32{50}},
		{part(3, 1, 31), false, []uint32{50}},
	} {
		next := k.merge(c.d, now.Add(time.Duration(i)*time.Second))
		if (next != nil) != c.changed {
			t.Errorf("datagram %d: changed %v", i, next != nil)
		}
		if next != nil {
			k = next
		}
		if got := k.digest.GetWork().GetUpstreams(); !slices.Equal(got, c.want) {
			t.Errorf("after datagram %d: work at %v", i, got)
		}
	}
}

// Guards against all gateways calling the store permanently, because changes arrive faster than consecutive pulls. Each
// pull delivers the last change but one, which must not count as lag.
func TestReplicaThatKeepsUpHasNoLag(t *testing.T) {
	p, f := laggingGateway(t, 80)
	for version := uint64(81); version < 120; version++ {
		p.recordMissing(f.Replica, at(version))
		f.Replica.Load([]platform.Row{{Key: "config", Version: version - 1}}, at(version-1))
		late := p.lags["op"].missing(f.Replica)
		if len(late) != 1 || late[0].position != at(version) {
			t.Fatalf("at version %d the replica lacks %v", version, late)
		}
	}
	for version := uint64(120); version < 200; version++ {
		p.recordMissing(f.Replica, at(version))
	}
	if n := len(p.lags["op"]); n != maxMissingChanges {
		t.Errorf("lag has %d versions", n)
	}
	f.Replica.Load([]platform.Row{{Key: "config", Version: 199}}, at(199))
	if p.replicaLag(f.Replica, time.Now()) != 0 {
		t.Error("a complete replica has a lag")
	}
}
