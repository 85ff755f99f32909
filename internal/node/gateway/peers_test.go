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

// A gateway's host has its time of day ahead, the gateway starts, the time is set back, and the gateway starts again. Its
// new life sorts before the old one. The others must hear it once the old one is silent, or callers are not told of its
// address for half a minute; a late digest of an ended life must not bring that back.
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
		{"the next of the same life", digest("b", 8), seen, true},
		{"a copy", digest("b", 7), seen, false},
		{"a later life", digest("c", 1), seen, true},
		{"a late digest of an earlier life", digest("a", 9), seen.Add(peerTimeout), false},
		{"an earlier life after silence", digest("a", 1), seen.Add(peerTimeout + 1), true},
	} {
		if got := k.replacedBy(c.next, c.at); got != c.want {
			t.Errorf("%s: %v", c.name, got)
		}
	}
}

// All gateways start again at once, and the lease names one that this gateway has not heard yet. Taking the duty over would
// depose a leader that lives, and the next gateway would do the same.
func TestUnknownLeaderIsNotDead(t *testing.T) {
	g := &Gateway{}
	g.settings.Store(&Settings{Name: "own"})
	for _, c := range []struct {
		name  string
		since time.Duration
		heard time.Duration
		want  bool
	}{
		{"never heard, just started", 600 * time.Millisecond, -1, false},
		{"never heard, long after the start", unknownLeaderTimeout + time.Second, -1, true},
		{"heard just now", unknownLeaderTimeout + time.Second, 0, false},
		{"silent", unknownLeaderTimeout + time.Second, leaderTimeout + time.Second, true},
		{"silent, just started", 200 * time.Millisecond, leaderTimeout + time.Second, false},
	} {
		p := &peers{g: g, startedAt: time.Now().Add(-c.since), byName: map[string]*peer{}, detector: newDetector()}
		if c.heard >= 0 {
			p.byName["other"] = &peer{digest: &cardamomyokev1.Digest{Incarnation: "a"}, lastSeen: time.Now().Add(-c.heard)}
		}
		if got := p.holderDead("other", "a"); got != c.want {
			t.Errorf("%s: %v", c.name, got)
		}
	}
}

// Failure: a leader of many gateways is busy as all start again, one of them does not hear it for half a second, and takes the
// duty from it.
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
		t.Error("a leader that nobody found dead has ended")
	}
	p.detector.MergeRumors(now, []liveness.Rumor{{IncarnationHash: p.detector.RumorOf(leader.address()).IncarnationHash, Sequence: 1, Dead: true}})
	if !p.holderDead("gateway-7", "a") {
		t.Error("a leader that answers nobody has not ended")
	}
}

// fakePeer is another gateway that gives the same answer to each pull.
type fakePeer struct {
	response *cardamomyokev1.PullResponse
	pulls    atomic.Int32
}

func (t *fakePeer) Pull(context.Context, *cardamomyokev1.PullRequest) (*cardamomyokev1.PullResponse, error) {
	t.pulls.Add(1)
	return t.response, nil
}

// start serves it on loopback and returns its digest, which tells of the table's version.
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

// laggingGateway is a gateway of the data centre "near" whose copy of a table is at a version.
func laggingGateway(t *testing.T, version uint64) (*peers, *replica.Follower) {
	t.Helper()
	f := &replica.Follower{Replica: replica.NewReplica("op"), Changed: func(*replica.Replica) {}}
	f.Replica.Load([]platform.Row{{Key: "config", Version: version}}, version)
	g := &Gateway{logger: log.NewNopLogger(), followers: []*replica.Follower{f}}
	g.settings.Store(&Settings{Name: "own", DataCentre: "near"})
	return &peers{
		g: g, ctx: t.Context(), http: http.DefaultClient, byName: map[string]*peer{}, pulling: map[string]bool{}, lags: map[string]lag{},
		detector: newDetector(), relaysAt: map[string]time.Time{},
	}, f
}

// A configuration changes. The nearest gateway tells of it, too, but gives nothing when it is asked. Callers would be served
// by the old configuration for as long as that one is the nearest; the gateway that brought the news is asked next.
func TestPullFallsBackToSenderOfDigest(t *testing.T) {
	p, f := laggingGateway(t, 80)
	local := &fakePeer{response: &cardamomyokev1.PullResponse{}}
	remote := &fakePeer{response: &cardamomyokev1.PullResponse{
		Version: 90, Rows: []*cardamomyokev1.TableRow{{Key: "config", Version: 90, Value: []byte("new")}},
	}}
	sender := remote.start(t, "far", 90)
	p.byName["near"] = &peer{digest: local.start(t, "near", 90), lastSeen: time.Now()}
	p.pullUntilCurrent(f, p.nearestSource("op", sender), sender)
	if got := f.Replica.Newest(); got != 90 || local.pulls.Load() != 1 || remote.pulls.Load() != 1 {
		t.Fatalf("version %d after asking the nearest %d times and the teller %d times", got, local.pulls.Load(), remote.pulls.Load())
	}
}

// Nobody gives a gateway the change that all tell of. It must not say that a route does not exist, which its callers would
// take as final, and it asks the store itself after some pulls.
func TestLaggingGatewayFollowsStoreItself(t *testing.T) {
	p, f := laggingGateway(t, 80)
	late := time.Now().Add(maxBehind + time.Second)
	following := []*cardamomyokev1.TableNews{{Table: "op", Newest: 90, Following: true}}
	for i := range 20 {
		d := &cardamomyokev1.Digest{Node: fmt.Sprint("gateway-", i), DataCentre: "near", News: following}
		p.byName[d.GetNode()] = &peer{digest: d, lastSeen: late}
	}
	if !p.relayed(f.Replica, late) {
		t.Fatal("a gateway among 20 others follows the store itself")
	}
	g := p.g
	g.peers, g.config = p, f
	now := time.Now()
	missing := func() failure.Code {
		return failure.From(g.notFoundError(&view{storeUp: true}, failure.CodeUnknownService)).Code
	}
	if got := missing(); got != failure.CodeUnknownService || p.replicaLag(f.Replica, now) != 0 {
		t.Fatalf("a gateway that lacks nothing answered %s", got)
	}
	p.recordMissing(f.Replica, 90)
	if got := missing(); got != failure.CodeStaleRevision {
		t.Fatalf("a gateway that is behind answered %s", got)
	}
	if behind := p.replicaLag(f.Replica, late); behind <= maxBehind || p.relayed(f.Replica, late) {
		t.Fatalf("%s behind, and still relayed", behind)
	}
	f.Replica.Apply([]platform.Change{{Row: platform.Row{Key: "config", Version: 90}}}, 90)
	if got := missing(); got != failure.CodeUnknownService {
		t.Fatalf("a gateway that is up to date again answered %s", got)
	}
}

// Others tell of a change that came before this gateway read the whole table: it asks nobody for it.
func TestVersionCoveredByFullReadIsNotPulled(t *testing.T) {
	p, f := laggingGateway(t, 80)
	f.Replica.Load([]platform.Row{{Key: "config", Version: 80}}, 95)
	sender := &fakePeer{response: &cardamomyokev1.PullResponse{}}
	p.catchUp(sender.start(t, "far", 90))
	if p.replicaLag(f.Replica, time.Now()) != 0 || len(p.pulling) > 0 {
		t.Fatal("a copy that is complete up to 95 lacks a change of 90")
	}
}

// Failure: the work of a busy gateway comes in parts, or a probe comes between two digests, and the others count less work
// than it has, and send more to upstreams that are full.
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
			t.Errorf("datagram %d: news %v", i, next != nil)
		}
		if next != nil {
			k = next
		}
		if got := k.digest.GetWork().GetUpstreams(); !slices.Equal(got, c.want) {
			t.Errorf("after datagram %d there is work at %v", i, got)
		}
	}
}

// Failure: changes come faster than one pull after the other, each pull brings the last change but one, and all gateways count
// as behind for good and call the store.
func TestReplicaThatKeepsUpHasNoLag(t *testing.T) {
	p, f := laggingGateway(t, 80)
	for version := uint64(81); version < 120; version++ {
		p.recordMissing(f.Replica, version)
		f.Replica.Load([]platform.Row{{Key: "config", Version: version - 1}}, version-1)
		late := p.lags["op"].missing(f.Replica)
		if len(late) != 1 || late[0].version != version {
			t.Fatalf("at version %d the copy lacks %v", version, late)
		}
	}
	for version := uint64(120); version < 200; version++ {
		p.recordMissing(f.Replica, version)
	}
	if n := len(p.lags["op"]); n != maxMissingVersions {
		t.Errorf("%d versions are remembered", n)
	}
	f.Replica.Load([]platform.Row{{Key: "config", Version: 199}}, 199)
	if p.replicaLag(f.Replica, time.Now()) != 0 {
		t.Error("a copy that has all is behind")
	}
}
