package operator_test

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/google/go-cmp/cmp"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/testing/protocmp"

	"github.com/cardamomyoke/cardamomyoke/internal/base/control"
	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
	cardamomyokev1 "github.com/cardamomyoke/cardamomyoke/internal/gen/cardamomyoke/v1"
	"github.com/cardamomyoke/cardamomyoke/internal/gen/cardamomyoke/v1/cardamomyokev1connect"
	"github.com/cardamomyoke/cardamomyoke/internal/node/operator"
	"github.com/cardamomyoke/cardamomyoke/internal/state/revision"
	"github.com/cardamomyoke/cardamomyoke/internal/state/revision/agent"
	"github.com/cardamomyoke/cardamomyoke/internal/state/revision/memnet"
	standin "github.com/cardamomyoke/cardamomyoke/internal/testing/standin/platform"
)

type fixture struct {
	cardamomyokev1connect.OperatorServiceClient
	store *standin.Store
	ops   int
}

func startServer(t *testing.T) *fixture {
	s := standin.NewStore(standin.Limits{})
	loop := control.New()
	a := agent.New(agent.Config{
		Self:        &revision.Member{Name: "e1", DataCentre: "vallejo", Address: "127.0.0.1:1"},
		Incarnation: ids.NewIncarnation(), Platform: s, Transport: memnet.New(nil).Transport("e1"), Loop: loop,
		Rand: rand.New(rand.NewPCG(1, 1)),
	})
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		loop.Run(ctx, 5*time.Millisecond, a.Tick)
	}()
	mux := http.NewServeMux()
	mux.Handle(operator.Handler(operator.New(operator.Options{Node: "e1", Agent: a, Table: s})))
	srv := httptest.NewUnstartedServer(mux)
	srv.Config.Protocols = new(http.Protocols)
	srv.Config.Protocols.SetUnencryptedHTTP2(true)
	srv.Start()
	t.Cleanup(func() {
		srv.CloseClientConnections()
		srv.Close()
		a.Close()
		cancel()
		<-ended
	})
	// Wait until the node is a member. Otherwise the first change would be accepted without any node, and the node would
	// join at some time during the test.
	for a.View().Newest == nil || a.View().Newest.Roster.Member("e1") == nil || a.View().Accepted < a.View().Staged {
		<-a.Changed()
	}
	return &fixture{OperatorServiceClient: cardamomyokev1connect.NewOperatorServiceClient(agent.HTTP2(), srv.URL), store: s}
}

func (f *fixture) meta(base uint64) *cardamomyokev1.ChangeMeta {
	f.ops++
	return &cardamomyokev1.ChangeMeta{
		Operator: "ana", Reason: "test", OperationId: "op-" + string(rune('a'+f.ops)), BaseRevision: base,
	}
}

func editOf(o proto.Message) *cardamomyokev1.Edit {
	e := &cardamomyokev1.Edit{Action: cardamomyokev1.EditAction_EDIT_ACTION_CREATE}
	switch o := o.(type) {
	case *cardamomyokev1.PriorityClass:
		e.Object = &cardamomyokev1.Edit_Class{Class: o}
	case *cardamomyokev1.Service:
		e.Object = &cardamomyokev1.Edit_Service{Service: o}
	case *cardamomyokev1.ModelGroup:
		e.Object = &cardamomyokev1.Edit_Group{Group: o}
	case *cardamomyokev1.Policies:
		e.Action = cardamomyokev1.EditAction_EDIT_ACTION_CHANGE
		e.Object = &cardamomyokev1.Edit_Policies{Policies: o}
	}
	return e
}

func initialEdits() []*cardamomyokev1.Edit {
	return []*cardamomyokev1.Edit{
		editOf(&cardamomyokev1.PriorityClass{Name: "first", QueueLimit: 10}),
		editOf(&cardamomyokev1.Service{
			Name: "desk-model", Kind: cardamomyokev1.ServiceKind_SERVICE_KIND_MODEL, Class: "first", Repeatable: true,
			DeadlineMs: 1000, MaxBodyBytes: 1000,
		}),
		editOf(&cardamomyokev1.ModelGroup{Name: "g", Service: "desk-model", Ranks: 4, Experts: 8, Layers: 1}),
		editOf(&cardamomyokev1.Policies{AddressKeepMs: 5000, EjectionPercent: 30, QuarantineS: 60}),
	}
}

// waitMS is the timeout of changes, in milliseconds; it bounds a test that would otherwise hang.
const waitMS = 60_000

// requireAccepted fails the test unless the change is accepted as the given revision.
func requireAccepted(t *testing.T, o *cardamomyokev1.Outcome, err error, rev uint64) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
	if o.GetRevision() != rev || o.GetState() != cardamomyokev1.ChangeState_CHANGE_STATE_ACCEPTED {
		t.Fatalf("outcome %v, want revision %d accepted", o, rev)
	}
}

// requireRefused fails the test unless err has the code and, if detail is not nil, a detail equal to it.
func requireRefused(t *testing.T, err error, code connect.Code, detail proto.Message) {
	t.Helper()
	var ce *connect.Error
	if !errors.As(err, &ce) || ce.Code() != code {
		t.Fatalf("got %v, want %v", err, code)
	}
	if detail == nil {
		return
	}
	for _, d := range ce.Details() {
		v, err := d.Value()
		if err == nil && cmp.Diff(detail, v, protocmp.Transform(), protocmp.IgnoreFields(&cardamomyokev1.FieldViolation{}, "want")) == "" {
			return
		}
	}
	t.Fatalf("%v has no detail %v", err, detail)
}

func TestChangeAndRollForward(t *testing.T) {
	f := startServer(t)
	ctx := t.Context()
	meta := f.meta(0)
	r, err := f.Change(ctx, &cardamomyokev1.ChangeRequest{Meta: meta, Edits: initialEdits(), WaitMs: waitMS})
	requireAccepted(t, r.GetOutcome(), err, 1)
	again, err := f.Change(ctx, &cardamomyokev1.ChangeRequest{Meta: meta, Edits: initialEdits(), WaitMs: waitMS})
	requireAccepted(t, again.GetOutcome(), err, 1)
	drain := &cardamomyokev1.ActRequest_DrainUpstream{DrainUpstream: &cardamomyokev1.DrainUpstream{Upstream: "u1", Drained: true}}
	act, err := f.Act(ctx, &cardamomyokev1.ActRequest{Meta: f.meta(1), Action: drain, WaitMs: waitMS})
	requireAccepted(t, act.GetOutcome(), err, 2)
	pause := &cardamomyokev1.ActRequest_PauseRebalancing{PauseRebalancing: &cardamomyokev1.PauseRebalancing{Group: "g", Paused: true}}
	act, err = f.Act(ctx, &cardamomyokev1.ActRequest{Meta: f.meta(2), Action: pause, WaitMs: waitMS})
	requireAccepted(t, act.GetOutcome(), err, 3)

	back, err := f.RollForward(ctx, &cardamomyokev1.RollForwardRequest{Meta: f.meta(3), ToRevision: 1, WaitMs: waitMS})
	requireAccepted(t, back.GetOutcome(), err, 4)
	list, err := f.List(ctx, &cardamomyokev1.ListRequest{InForce: true})
	if err != nil {
		t.Fatal(err)
	}
	c := list.GetConfiguration()
	if c.GetRevision() != 4 || len(c.GetUpstreams()) != 0 || c.GetGroups()[0].GetRebalancing().GetPaused() {
		t.Fatalf("after the roll forward: %v", c)
	}
	c.GetPolicies().QuarantineS = 61
	diff, err := f.Diff(ctx, &cardamomyokev1.DiffRequest{Wanted: c})
	if err != nil || len(diff.GetEdits()) != 1 || diff.GetBaseRevision() != 4 {
		t.Fatalf("diff %v, %v", diff, err)
	}
	log, err := f.ListRevisions(ctx, &cardamomyokev1.ListRevisionsRequest{Limit: 2})
	if err != nil || len(log.GetEntries()) != 2 || log.GetEntries()[0].GetRevision() != 4 {
		t.Fatalf("log %v, %v", log, err)
	}
	op, err := f.GetOperation(ctx, &cardamomyokev1.GetOperationRequest{OperationId: meta.GetOperationId()})
	if err != nil || !op.GetFound() || op.GetOutcome().GetRevision() != 1 {
		t.Fatalf("operation %v, %v", op, err)
	}
}

func TestRefusalsAreTyped(t *testing.T) {
	f := startServer(t)
	ctx := t.Context()
	r, err := f.Change(ctx, &cardamomyokev1.ChangeRequest{Meta: f.meta(0), Edits: initialEdits(), WaitMs: waitMS})
	requireAccepted(t, r.GetOutcome(), err, 1)

	bad := &cardamomyokev1.Policies{AddressKeepMs: 1}
	_, err = f.Change(ctx, &cardamomyokev1.ChangeRequest{Meta: f.meta(1), Edits: []*cardamomyokev1.Edit{editOf(bad)}})
	requireRefused(t, err, connect.CodeInvalidArgument, &cardamomyokev1.FieldViolation{Field: "edits[0].policies.address_keep_ms"})
	_, err = f.Change(ctx, &cardamomyokev1.ChangeRequest{Meta: &cardamomyokev1.ChangeMeta{}})
	requireRefused(t, err, connect.CodeInvalidArgument, &cardamomyokev1.FieldViolation{Field: "meta.operator"})
	_, err = f.RollForward(ctx, &cardamomyokev1.RollForwardRequest{Meta: f.meta(1), ToRevision: 9})
	requireRefused(t, err, connect.CodeInvalidArgument, &cardamomyokev1.FieldViolation{Field: "to_revision"})

	remove := &cardamomyokev1.ActRequest_RemoveNodes{RemoveNodes: &cardamomyokev1.RemoveNodes{Names: []string{"entry-1"}}}
	_, err = f.Act(ctx, &cardamomyokev1.ActRequest{Meta: f.meta(1), Action: remove, WaitMs: waitMS + 1})
	requireRefused(t, err, connect.CodeInvalidArgument, &cardamomyokev1.FieldViolation{Field: "wait_ms"})

	late := &cardamomyokev1.ChangeRequest{Meta: f.meta(0), Edits: []*cardamomyokev1.Edit{editOf(&cardamomyokev1.PriorityClass{Name: "b", QueueLimit: 1})}}
	_, err = f.Change(ctx, late)
	requireRefused(t, err, connect.CodeAborted, &cardamomyokev1.ConflictDetail{CommittedRevision: 1, BaseRevision: 0})

	reused := f.meta(1)
	reused.OperationId = "op-b" // the first change's
	late.Meta = reused
	_, err = f.Change(ctx, late)
	requireRefused(t, err, connect.CodeAlreadyExists, nil)

	f.store.SetFaults(standin.PartTable, standin.Faults{Outage: true})
	late.Meta = f.meta(1)
	_, err = f.Change(ctx, late)
	requireRefused(t, err, connect.CodeUnavailable, nil)
	s, err := f.GetStatus(ctx, &cardamomyokev1.GetStatusRequest{})
	if err != nil || len(s.GetUnavailable()) != 1 || len(s.GetNodes()) != 1 || s.GetRevisions().GetInForceRevision() != 1 {
		t.Fatalf("status %v, %v", s, err)
	}
}

func TestNewOrdersGetIncreasingFences(t *testing.T) {
	f := startServer(t)
	o := &cardamomyokev1.EngineOrder{Upstream: "u1", Order: &cardamomyokev1.EngineOrder_LoadModel{
		LoadModel: &cardamomyokev1.LoadModel{Model: "m", Version: "v1"},
	}}
	meta := f.meta(0)
	for i, want := range []uint64{1, 1, 2} {
		if i == 2 {
			meta = f.meta(0)
		}
		r, err := f.Order(t.Context(), &cardamomyokev1.OrderRequest{Meta: meta, Order: o})
		if err != nil || r.GetFence() != want {
			t.Fatalf("order %d: fence %d, err %v", i, r.GetFence(), err)
		}
	}
	_, err := f.Order(t.Context(), &cardamomyokev1.OrderRequest{Meta: f.meta(0), Order: &cardamomyokev1.EngineOrder{Upstream: "u1"}})
	requireRefused(t, err, connect.CodeInvalidArgument, &cardamomyokev1.FieldViolation{Field: "order.order"})
}

func TestWatchSendsEachChange(t *testing.T) {
	f := startServer(t)
	stream, err := f.Watch(t.Context(), &cardamomyokev1.WatchRequest{})
	if err != nil {
		t.Fatal(err)
	}
	r, err := f.Change(t.Context(), &cardamomyokev1.ChangeRequest{Meta: f.meta(0), Edits: initialEdits(), WaitMs: waitMS})
	requireAccepted(t, r.GetOutcome(), err, 1)
	for stream.Receive() {
		if stream.Msg().GetRevisions().GetInForceRevision() == 1 {
			return
		}
	}
	t.Fatalf("the stream ended before it showed the change: %v", stream.Err())
}
