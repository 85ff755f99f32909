package daemon_test

import (
	"context"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-kit/log"

	"github.com/cardamomyoke/cardamomyoke/internal/base/keys"
	"github.com/cardamomyoke/cardamomyoke/internal/base/keys/keystest"
	cardamomyokev1 "github.com/cardamomyoke/cardamomyoke/internal/gen/cardamomyoke/v1"
	"github.com/cardamomyoke/cardamomyoke/internal/node/daemon"
	"github.com/cardamomyoke/cardamomyoke/internal/state/revision"
	"github.com/cardamomyoke/cardamomyoke/internal/state/revision/agent"
	"github.com/cardamomyoke/cardamomyoke/internal/testing/loopback"
	standin "github.com/cardamomyoke/cardamomyoke/internal/testing/standin/platform"
)

// bound is the time limit of a test that would otherwise hang.
const bound = time.Minute

// node is a running node with the address of its control port.
type node struct {
	*daemon.Node
	address string
}

func startNode(t *testing.T, name, platform string, source *keys.Source, seeds ...string) node {
	address := loopback.Address()
	n := daemon.NewNode(daemon.NodeOptions{
		Self: &revision.Member{
			Name: name, DataCentre: "vallejo", Role: cardamomyokev1.NodeRole_NODE_ROLE_ENTRY, Address: address,
		},
		Seeds: seeds, Platform: platform, Keys: source, Logger: log.NewNopLogger(),
	})
	if err := n.Run(metrics.NewSet(), func(time.Time) {}); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(n.Stop)
	return node{n, address}
}

func policies(*revision.State) ([]*cardamomyokev1.Edit, error) {
	p := &cardamomyokev1.Policies{AddressKeepMs: 5000, EjectionPercent: 30, QuarantineS: 60}
	return []*cardamomyokev1.Edit{{
		Action: cardamomyokev1.EditAction_EDIT_ACTION_CHANGE, Object: &cardamomyokev1.Edit_Policies{Policies: p},
	}}, nil
}

// Guards against a node that gets no configuration when it starts while the table is unavailable and can only get it
// from a seed, by RPC, and against a seed that gives it to a caller with a certificate of another authority, with one
// of an operator, or without one.
func TestSeedServesConfigurationOnlyToNodeCertificates(t *testing.T) {
	srv := httptest.NewServer(standin.Handler(standin.NewStore(standin.Limits{})))
	t.Cleanup(srv.Close)
	ca := keystest.New(t)
	first := startNode(t, "e1", strings.TrimPrefix(srv.URL, "http://"), keystest.Load(t, ca.Issue("e1", keys.RoleNode)))
	ctx, cancel := context.WithTimeout(t.Context(), bound)
	defer cancel()
	meta := &cardamomyokev1.ChangeMeta{Operator: "ana", Reason: "test", OperationId: "op-1"}
	e, err := first.Agent.Change(ctx, meta, policies)
	if err != nil {
		t.Fatal(err)
	}
	if v := first.Agent.Wait(ctx, e.GetSeq()); v.Accepted < e.GetSeq() {
		t.Fatalf("not accepted: waiting for %v", v.Pending)
	}
	good := startNode(t, "e2", loopback.Address(), keystest.Load(t, ca.Issue("e2", keys.RoleNode)), first.address)
	for {
		changed := good.Agent.Changed()
		if good.Agent.View().Newest.Revision() == 1 {
			break
		}
		select {
		case <-changed:
		case <-ctx.Done():
			t.Fatal("the configuration was not received over TLS")
		}
	}
	to := &revision.Member{Name: "e1", Address: first.address}
	for name, transport := range map[string]agent.Transport{
		"another authority": agent.NewRPC(keystest.Load(t, keystest.New(t).Issue("e2", keys.RoleNode)).HTTPClient(), "https"),
		"an operator":       agent.NewRPC(keystest.Load(t, ca.Issue("ana", keys.RoleForce)).HTTPClient(), "https"),
		"no certificate":    agent.NewRPC(agent.HTTP2(), "http"),
	} {
		if _, err := transport.CatchUp(ctx, to); err == nil {
			t.Errorf("%s: the seed served the configuration", name)
		}
	}
	if _, err := agent.NewRPC(keystest.Load(t, ca.Issue("e3", keys.RoleNode)).HTTPClient(), "https").CatchUp(ctx, to); err != nil {
		t.Errorf("another node certificate was refused: %v", err)
	}
}
