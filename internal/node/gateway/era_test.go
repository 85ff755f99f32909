package gateway

import (
	"testing"
	"time"

	cardamomyokev1 "github.com/cardamomyoke/cardamomyoke/internal/gen/cardamomyoke/v1"
	"github.com/cardamomyoke/cardamomyoke/internal/state/platform"
)

// Guards against a gateway that relies on peers which still have the store's earlier era, or whose release knows no eras, and
// gets nothing new from them.
func TestPeerOfEarlierEraIsNoFollower(t *testing.T) {
	p, f := laggingGateway(t, 80)
	f.Replica.Load(nil, platform.Position{Era: 3, Version: 20})
	now := time.Now()
	for node, era := range map[string]uint64{"without eras": 0, "behind": 2, "same": 3, "ahead": 4} {
		news := []*cardamomyokev1.TableNews{{Table: "op", Newest: 90, Following: true, Era: era}}
		p.byName[node] = &peer{digest: &cardamomyokev1.Digest{Node: node, DataCentre: "near", News: news}, lastSeen: now}
	}
	if got := p.countFollowers(f.Replica, now); got != 2 {
		t.Fatalf("counts %d followers, want those of era 3 and 4", got)
	}
}

// Guards against rows of an ended era that a gateway pulls from a peer because their versions are higher.
func TestChangeOfEarlierEraIsNotPulled(t *testing.T) {
	p, f := laggingGateway(t, 80)
	f.Replica.Load(nil, platform.Position{Era: 3, Version: 20})
	sender := &fakePeer{response: &cardamomyokev1.PullResponse{}}
	d := sender.start(t, "far", 90)
	p.catchUp(d)
	d.News[0].Era = 2
	p.catchUp(d)
	if p.replicaLag(f.Replica, time.Now()) != 0 || len(p.pulling) > 0 {
		t.Fatal("a change of an earlier era counts as missing")
	}
	d.News[0].Era, d.News[0].Newest = 4, 1
	p.catchUp(d)
	if p.replicaLag(f.Replica, time.Now()) == 0 {
		t.Fatal("a change of the next era does not count as missing")
	}
}

// Guards against a peer of an earlier release that gets changes after a version of another era, which it would take for all
// that it lacks.
func TestPullWithoutEraGetsFullTable(t *testing.T) {
	p, f := laggingGateway(t, 80)
	rows := []platform.Row{{Key: "config", Version: 5}, {Key: "other", Version: 15}}
	f.Replica.Load(rows, platform.Position{Era: 1, Version: 20})
	for name, c := range map[string]struct {
		request *cardamomyokev1.PullRequest
		whole   bool
		rows    int
	}{
		"without an era": {&cardamomyokev1.PullRequest{Table: "op", After: 10}, true, 2},
		"same era":       {&cardamomyokev1.PullRequest{Table: "op", After: 20, Era: 1}, false, 0},
		"later era":      {&cardamomyokev1.PullRequest{Table: "op", After: 1, Era: 2}, false, 0},
	} {
		res, err := p.Pull(t.Context(), c.request)
		if err != nil || res.GetWhole() != c.whole || len(res.GetRows()) != c.rows {
			t.Errorf("%s: %v, %v", name, res, err)
		}
	}
}

// Guards against a gateway that starts after the store came back older and serves callers by what the store shows, before it
// has heard from a peer what was in force.
func TestStartingGatewayAwaitsPeers(t *testing.T) {
	news := []*cardamomyokev1.TableNews{{Table: "op", Newest: 20, Era: 3}}
	before := []*cardamomyokev1.TableNews{{Table: "op", Newest: 90, Era: 2}}
	withEarlier := []*cardamomyokev1.TableNews{{Table: "op", Newest: 20, Era: 3, Earlier: 7}}
	tests := map[string]struct {
		era    uint64
		uptime time.Duration
		pulled uint64 // the era of the table that a peer has sent, 0 if none has
		digest *cardamomyokev1.Digest
		want   bool
	}{
		"a store that names no era":                {era: 0, want: false},
		"no peer heard":                            {era: 3, want: true},
		"no peer heard until it has joined":        {era: 3, uptime: joinPeriod, want: false},
		"a probe of a peer":                        {era: 3, digest: &cardamomyokev1.Digest{}, want: true},
		"a peer that starts as well":               {era: 3, digest: &cardamomyokev1.Digest{News: news}, want: true},
		"a peer with the same configuration":       {era: 3, digest: &cardamomyokev1.Digest{News: news, Revision: 64}, want: false},
		"a peer with a newer one":                  {era: 3, uptime: joinPeriod, digest: &cardamomyokev1.Digest{News: news, Revision: 70}, want: true},
		"a peer with a newer one, for too long":    {era: 3, uptime: maxPeersWait, digest: &cardamomyokev1.Digest{News: news, Revision: 70}, want: false},
		"a peer with rows that this gateway lacks": {era: 3, digest: &cardamomyokev1.Digest{News: withEarlier, Revision: 64}, want: true},
		"these rows have been sent":                {era: 3, pulled: 3, digest: &cardamomyokev1.Digest{News: withEarlier, Revision: 64}, want: false},
		"sent before that peer had them":           {era: 3, pulled: 2, digest: &cardamomyokev1.Digest{News: withEarlier, Revision: 64}, want: true},
		"a peer of the era before":                 {era: 3, uptime: joinPeriod, digest: &cardamomyokev1.Digest{News: before, Revision: 64}, want: true},
		"a peer of the era before, for too long":   {era: 3, uptime: maxPeersWait, digest: &cardamomyokev1.Digest{News: before, Revision: 64}, want: false},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			p, f := laggingGateway(t, 1)
			f.Replica.Load(nil, platform.Position{Era: tc.era, Version: 20})
			p.g.configFollower = f
			set := *p.g.Settings()
			set.Peers = []string{"10.0.0.2:1"}
			p.g.settings.Store(&set)
			now := time.Now()
			p.startedAt = now.Add(-tc.uptime)
			p.recordPulled("op", tc.pulled)
			if tc.digest != nil {
				p.byName["other"] = &peer{digest: tc.digest, lastSeen: now}
			}
			if got := p.awaitsPeers(64, now); got != tc.want {
				t.Fatalf("waits: %v", got)
			}
		})
	}
}
