// Package operator implements the RPC service for operators, which each entry mounts on its control port with
// Handler.
//
// Changes are committed through the revision agent (package revision/agent). The response is sent once the change is
// accepted, which requires the acknowledgements of the nodes, or after wait_ms with the nodes whose acknowledgement is
// still pending.
package operator

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"time"

	"connectrpc.com/connect"

	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
	cardamomyokev1 "github.com/cardamomyoke/cardamomyoke/internal/gen/cardamomyoke/v1"
	"github.com/cardamomyoke/cardamomyoke/internal/gen/cardamomyoke/v1/cardamomyokev1connect"
	"github.com/cardamomyoke/cardamomyoke/internal/node/order"
	"github.com/cardamomyoke/cardamomyoke/internal/state/audit"
	"github.com/cardamomyoke/cardamomyoke/internal/state/config"
	"github.com/cardamomyoke/cardamomyoke/internal/state/lease"
	"github.com/cardamomyoke/cardamomyoke/internal/state/lease/manager"
	"github.com/cardamomyoke/cardamomyoke/internal/state/platform"
	"github.com/cardamomyoke/cardamomyoke/internal/state/revision"
	"github.com/cardamomyoke/cardamomyoke/internal/state/revision/agent"
	"github.com/cardamomyoke/cardamomyoke/internal/state/revision/store"
)

const (
	maxWaitMS       = 60_000
	maxPageSize     = 1000
	defaultPageSize = 100
)

// Options configures a Server.
type Options struct {
	Node  string
	Agent *agent.Agent
	Table platform.Table
	// Upstreams and Groups return the status of the upstreams and groups that this entry routes to. If nil, none are listed.
	Upstreams func() []*cardamomyokev1.UpstreamStatus
	Groups    func() []*cardamomyokev1.GroupStatus
	// Audit records the operators' actions. If nil, nothing is recorded.
	Audit Auditor
}

// Auditor writes the audit rows; see internal/state/audit/writer.
type Auditor interface {
	// Committed is called after a log entry of the configuration was committed. It does not block.
	Committed()
	// Record records an action that is not in the configuration log. It does not block.
	Record(now time.Time, r *cardamomyokev1.AuditRow)
	// FlushAll writes as many as possible of the rows that this node has not written yet.
	FlushAll(ctx context.Context)
}

// noAudit is an Auditor that records nothing.
type noAudit struct{}

func (noAudit) Committed()                                 {}
func (noAudit) Record(time.Time, *cardamomyokev1.AuditRow) {}
func (noAudit) FlushAll(context.Context)                   {}

// Server implements the operators' RPC service. It is safe for concurrent use.
type Server struct{ o Options }

var _ cardamomyokev1connect.OperatorServiceHandler = (*Server)(nil)

// New returns a server with the given options.
func New(o Options) *Server {
	if o.Audit == nil {
		o.Audit = noAudit{}
	}
	return &Server{o}
}

// Handler returns the path and handler of the service. Authorization is passed as an option, see keys.Interceptor.
func Handler(s *Server, options ...connect.HandlerOption) (string, http.Handler) {
	return cardamomyokev1connect.NewOperatorServiceHandler(s, options...)
}

// Change implements the RPC.
func (s *Server) Change(ctx context.Context, r *cardamomyokev1.ChangeRequest) (*cardamomyokev1.ChangeResponse, error) {
	o, _, err := s.change(ctx, r.GetMeta(), r.GetWaitMs(), func(*revision.State) ([]*cardamomyokev1.Edit, error) {
		return r.GetEdits(), nil
	})
	if err != nil {
		return nil, asConnect(err)
	}
	return &cardamomyokev1.ChangeResponse{Outcome: o}, nil
}

// RollForward implements the RPC.
func (s *Server) RollForward(ctx context.Context, r *cardamomyokev1.RollForwardRequest) (*cardamomyokev1.RollForwardResponse, error) {
	old, err := s.o.Agent.Store().StateAt(ctx, r.GetToRevision())
	if err != nil {
		return nil, asConnect(err)
	}
	o, e, err := s.change(ctx, r.GetMeta(), r.GetWaitMs(), func(st *revision.State) ([]*cardamomyokev1.Edit, error) {
		return config.Diff(st.Configuration(), old.Configuration()), nil
	})
	if err != nil {
		return nil, asConnect(err)
	}
	return &cardamomyokev1.RollForwardResponse{Outcome: o, Edits: e.GetEdits()}, nil
}

// change commits the edits that build returns and waits up to waitMS for their acceptance.
func (s *Server) change(ctx context.Context, meta *cardamomyokev1.ChangeMeta, waitMS uint32, build store.Build) (*cardamomyokev1.Outcome, *revision.LogEntry, error) {
	if err := checkWait(waitMS); err != nil {
		return nil, nil, err
	}
	e, err := s.o.Agent.Change(ctx, meta, build)
	if err != nil {
		return nil, nil, err
	}
	s.o.Audit.Committed()
	return s.wait(ctx, e, waitMS), e, nil
}

// checkWait returns *config.FieldError if a request asks for a longer wait than the server permits.
func checkWait(waitMS uint32) error {
	if waitMS > maxWaitMS {
		return &config.FieldError{Field: "wait_ms", Want: "0 to 60000"}
	}
	return nil
}

func (s *Server) wait(ctx context.Context, e *revision.LogEntry, waitMS uint32) *cardamomyokev1.Outcome {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(waitMS)*time.Millisecond)
	defer cancel()
	return outcome(e, s.o.Agent.Wait(ctx, e.GetSeq()))
}

func outcome(e *revision.LogEntry, v *revision.View) *cardamomyokev1.Outcome {
	o := &cardamomyokev1.Outcome{Revision: e.GetRevision(), Seq: e.GetSeq(), State: cardamomyokev1.ChangeState_CHANGE_STATE_COMMITTED}
	if v.Accepted >= e.GetSeq() {
		o.State = cardamomyokev1.ChangeState_CHANGE_STATE_ACCEPTED
		return o
	}
	o.Pending = v.Pending
	return o
}

// Diff implements the RPC.
func (s *Server) Diff(ctx context.Context, r *cardamomyokev1.DiffRequest) (*cardamomyokev1.DiffResponse, error) {
	if err := config.Check(r.GetWanted()); err != nil {
		return nil, asConnect(err)
	}
	st, err := s.o.Agent.Store().Committed(ctx, s.o.Agent.View().Newest)
	if err != nil {
		return nil, asConnect(err)
	}
	return &cardamomyokev1.DiffResponse{
		BaseRevision: st.Revision(), Edits: config.Diff(st.Configuration(), r.GetWanted()),
	}, nil
}

// List implements the RPC.
func (s *Server) List(ctx context.Context, r *cardamomyokev1.ListRequest) (*cardamomyokev1.ListResponse, error) {
	st := s.o.Agent.View().InForce
	if !r.GetInForce() {
		var err error
		if st, err = s.o.Agent.Store().Committed(ctx, s.o.Agent.View().Newest); err != nil {
			return nil, asConnect(err)
		}
	}
	return &cardamomyokev1.ListResponse{Configuration: filterKind(st.Configuration(), r.GetKind())}, nil
}

// filterKind returns a configuration with the objects of one kind, or of all kinds if kind is unspecified. The objects
// themselves are shared with c.
func filterKind(c *cardamomyokev1.Configuration, kind cardamomyokev1.ObjectKind) *cardamomyokev1.Configuration {
	out := &cardamomyokev1.Configuration{Revision: c.GetRevision()}
	all := kind == cardamomyokev1.ObjectKind_OBJECT_KIND_UNSPECIFIED
	if all || kind == cardamomyokev1.ObjectKind_OBJECT_KIND_CLASS {
		out.Classes = c.GetClasses()
	}
	if all || kind == cardamomyokev1.ObjectKind_OBJECT_KIND_SERVICE {
		out.Services = c.GetServices()
	}
	if all || kind == cardamomyokev1.ObjectKind_OBJECT_KIND_GROUP {
		out.Groups = c.GetGroups()
	}
	if all || kind == cardamomyokev1.ObjectKind_OBJECT_KIND_CLIENT {
		out.Clients = c.GetClients()
	}
	if all || kind == cardamomyokev1.ObjectKind_OBJECT_KIND_POLICIES {
		out.Policies = c.GetPolicies()
	}
	if all || kind == cardamomyokev1.ObjectKind_OBJECT_KIND_UPSTREAM {
		out.Upstreams = c.GetUpstreams()
	}
	return out
}

// GetOperation implements the RPC.
func (s *Server) GetOperation(ctx context.Context, r *cardamomyokev1.GetOperationRequest) (*cardamomyokev1.GetOperationResponse, error) {
	if err := config.CheckName("operation_id", r.GetOperationId()); err != nil {
		return nil, asConnect(err)
	}
	e, err := s.o.Agent.Store().Operation(ctx, r.GetOperationId())
	if err != nil {
		return nil, asConnect(err)
	}
	if e == nil {
		return &cardamomyokev1.GetOperationResponse{}, nil
	}
	return &cardamomyokev1.GetOperationResponse{Found: true, Outcome: outcome(e, s.o.Agent.View())}, nil
}

func pageSize(limit uint32) (int, error) {
	if limit == 0 {
		return defaultPageSize, nil
	}
	if limit > maxPageSize {
		return 0, &config.FieldError{Field: "limit", Want: "0 to 1000"}
	}
	return int(limit), nil
}

// ListRevisions implements the RPC.
func (s *Server) ListRevisions(ctx context.Context, r *cardamomyokev1.ListRevisionsRequest) (*cardamomyokev1.ListRevisionsResponse, error) {
	limit, err := pageSize(r.GetLimit())
	if err != nil {
		return nil, asConnect(err)
	}
	entries, err := s.o.Agent.Store().Before(ctx, r.GetBeforeSeq(), uint64(limit))
	if err != nil {
		return nil, asConnect(err)
	}
	return &cardamomyokev1.ListRevisionsResponse{Entries: entries}, nil
}

// Order implements the RPC.
func (s *Server) Order(ctx context.Context, r *cardamomyokev1.OrderRequest) (*cardamomyokev1.OrderResponse, error) {
	fence, err := order.Put(ctx, s.o.Table, r.GetMeta(), r.GetOrder())
	if err != nil {
		return nil, asConnect(err)
	}
	s.record(r.GetMeta(), audit.KindOrder, r.GetOrder().GetUpstream(), fmt.Sprintf("fencing number %d: %v", fence, r.GetOrder()))
	return &cardamomyokev1.OrderResponse{Fence: uint64(fence)}, nil
}

// Act implements the RPC.
func (s *Server) Act(ctx context.Context, r *cardamomyokev1.ActRequest) (*cardamomyokev1.ActResponse, error) {
	o, err := s.act(ctx, r)
	if err != nil {
		return nil, asConnect(err)
	}
	return &cardamomyokev1.ActResponse{Outcome: o}, nil
}

func (s *Server) act(ctx context.Context, r *cardamomyokev1.ActRequest) (*cardamomyokev1.Outcome, error) {
	switch a := r.GetAction().(type) {
	case *cardamomyokev1.ActRequest_PauseRebalancing:
		o, _, err := s.change(ctx, r.GetMeta(), r.GetWaitMs(), pauseEdit(a.PauseRebalancing))
		return o, err
	case *cardamomyokev1.ActRequest_DrainUpstream:
		o, _, err := s.change(ctx, r.GetMeta(), r.GetWaitMs(), drainEdit(a.DrainUpstream))
		return o, err
	case *cardamomyokev1.ActRequest_RemoveNodes:
		return s.removeNodes(ctx, r, a.RemoveNodes.GetNames())
	case *cardamomyokev1.ActRequest_ReleaseLease:
		return nil, s.releaseLease(ctx, r.GetMeta(), a.ReleaseLease.GetDuty())
	}
	return nil, &config.FieldError{Field: "action", Want: "one action"}
}

func (s *Server) removeNodes(ctx context.Context, r *cardamomyokev1.ActRequest, names []string) (*cardamomyokev1.Outcome, error) {
	if err := config.CheckMeta(r.GetMeta()); err != nil {
		return nil, err
	}
	if err := checkWait(r.GetWaitMs()); err != nil {
		return nil, err
	}
	v := s.o.Agent.View()
	for _, name := range names {
		isMember := v.Newest != nil && v.Newest.Roster.Member(name) != nil
		if !isMember && !slices.Contains(v.Pending, name) {
			return nil, &config.FieldError{Field: "remove_nodes.names", Want: "names of members or of pending nodes, got " + name}
		}
	}
	if len(names) == 0 {
		return nil, &config.FieldError{Field: "remove_nodes.names", Want: "at least one name"}
	}
	e, err := s.o.Agent.RemoveMembers(ctx, r.GetMeta(), names)
	if err != nil {
		return nil, err
	}
	s.o.Audit.Committed()
	return s.wait(ctx, e, r.GetWaitMs()), nil
}

func (s *Server) releaseLease(ctx context.Context, meta *cardamomyokev1.ChangeMeta, duty string) error {
	if err := config.CheckMeta(meta); err != nil {
		return err
	}
	if duty == "" {
		return &config.FieldError{Field: "release_lease.duty", Want: "the name of a duty"}
	}
	fence, err := manager.Release(ctx, s.o.Table, lease.Duty(duty), ids.Operation("release-"+meta.GetOperationId()))
	if err != nil {
		return err
	}
	s.record(meta, audit.KindLeaseReleased, duty, fmt.Sprintf("fencing number %d", fence))
	return nil
}

// record adds an audit row for an operator's action that is not in the configuration log.
func (s *Server) record(meta *cardamomyokev1.ChangeMeta, kind, subject, after string) {
	s.o.Audit.Record(time.Now(), &cardamomyokev1.AuditRow{
		Actor: meta.GetOperator(), Reason: meta.GetReason(), OperationId: meta.GetOperationId(),
		Kind: kind, Subject: subject, After: after,
	})
}

// Watch implements the RPC.
func (s *Server) Watch(ctx context.Context, _ *cardamomyokev1.WatchRequest, stream *connect.ServerStream[cardamomyokev1.WatchResponse]) error {
	var last *cardamomyokev1.RevisionStatus
	for {
		changed := s.o.Agent.Changed()
		now := s.revisions()
		if last == nil || !equalStatus(last, now) {
			last = now
			if err := stream.Send(&cardamomyokev1.WatchResponse{Revisions: now}); err != nil {
				return err
			}
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}
