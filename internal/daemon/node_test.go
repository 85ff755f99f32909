package daemon_test

import (
	"context"
	"net"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-kit/log"

	"github.com/cardamomyoke/cardamomyoke/internal/daemon"
	cardamomyokev1 "github.com/cardamomyoke/cardamomyoke/internal/gen/cardamomyoke/v1"
	"github.com/cardamomyoke/cardamomyoke/internal/keys"
	"github.com/cardamomyoke/cardamomyoke/internal/keys/keystest"
	"github.com/cardamomyoke/cardamomyoke/internal/revision"
	standin "github.com/cardamomyoke/cardamomyoke/internal/standin/platform"
)

// bound ends a test that would otherwise hang; it measures nothing.
const bound = time.Minute

func freeAddress(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

func startNode(t *testing.T, name, platform string, source *keys.Source) *daemon.Node {
	n := daemon.NewNode(daemon.NodeOptions{
		Self: &revision.Member{
			Name: name, DataCentre: "vallejo", Role: cardamomyokev1.NodeRole_NODE_ROLE_ENTRY, Address: freeAddress(t),
		},
		Platform: platform, Keys: source, Logger: log.NewNopLogger(),
	})
	if err := n.Run(metrics.NewSet(), func(time.Time) {}); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(n.Stop)
	return n
}

func quarantine(*revision.State) ([]*cardamomyokev1.Edit, error) {
	p := &cardamomyokev1.Policies{AddressKeepMs: 5000, EjectionPercent: 30, QuarantineS: 60}
	return []*cardamomyokev1.Edit{{
		Action: cardamomyokev1.EditAction_EDIT_ACTION_CHANGE, Object: &cardamomyokev1.Edit_Policies{Policies: p},
	}}, nil
}

// A change is accepted only when every member holds it, and it reaches the others by RPC alone. So its acceptance by two
// nodes shows that they understand each other with their certificates.
func TestNodesTalkOverTLS(t *testing.T) {
	srv := httptest.NewServer(standin.Handler(standin.NewStore(standin.Limits{})))
	t.Cleanup(srv.Close)
	platform := strings.TrimPrefix(srv.URL, "http://")
	ca := keystest.New(t)
	var nodes []*daemon.Node
	for _, name := range []string{"e1", "e2"} {
		source, err := keys.Load(ca.Issue(name, keys.RoleNode), log.NewNopLogger())
		if err != nil {
			t.Fatal(err)
		}
		nodes = append(nodes, startNode(t, name, platform, source))
	}
	ctx, cancel := context.WithTimeout(t.Context(), bound)
	defer cancel()
	for nodes[0].Roster() == nil || len(nodes[0].Roster().Members()) < 2 {
		changed := nodes[0].Agent.Changed()
		select {
		case <-changed:
		case <-ctx.Done():
			t.Fatal("the nodes do not join")
		}
	}
	meta := &cardamomyokev1.ChangeMeta{Operator: "ana", Reason: "test", OperationId: "op-1"}
	e, err := nodes[0].Agent.Change(ctx, meta, quarantine)
	if err != nil {
		t.Fatal(err)
	}
	for _, n := range nodes {
		if v := n.Agent.Wait(ctx, e.GetSeq()); v.Accepted < e.GetSeq() {
			t.Fatalf("not accepted: waiting for %v", v.Pending)
		}
	}
}
