package operator

import (
	"context"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	cardamomyokev1 "github.com/cardamomyoke/cardamomyoke/internal/gen/cardamomyoke/v1"
	"github.com/cardamomyoke/cardamomyoke/internal/state/audit"
	"github.com/cardamomyoke/cardamomyoke/internal/state/config"
	"github.com/cardamomyoke/cardamomyoke/internal/state/lease/manager"
	"github.com/cardamomyoke/cardamomyoke/internal/state/platform"
	"github.com/cardamomyoke/cardamomyoke/internal/state/revision"
	"github.com/cardamomyoke/cardamomyoke/internal/state/revision/store"
)

// tableUpWithin is the age at which the newest recorded read of the table is too old for the table to count as up.
const tableUpWithin = 4 * time.Second

func (s *Server) revisions() *cardamomyokev1.RevisionStatus {
	v := s.o.Agent.View()
	now := time.Now()
	out := &cardamomyokev1.RevisionStatus{
		CommittedSeq: v.Committed, AcceptedSeq: v.Accepted, StagedSeq: v.Staged,
		Pending: v.Pending, Fresh: v.Fresh(now), TableUp: now.Sub(v.TableReadAt) < tableUpWithin,
	}
	if v.InForce != nil {
		out.InForceSeq, out.InForceRevision = v.InForce.Seq, v.InForce.Revision()
	}
	return out
}

func equalStatus(a, b *cardamomyokev1.RevisionStatus) bool { return proto.Equal(a, b) }

// GetStatus implements the RPC. It returns this entry's view of the system, and lists in unavailable what it could not
// read.
func (s *Server) GetStatus(ctx context.Context, _ *cardamomyokev1.GetStatusRequest) (*cardamomyokev1.GetStatusResponse, error) {
	out := &cardamomyokev1.GetStatusResponse{Node: s.o.Node, Revisions: s.revisions()}
	if v := s.o.Agent.View(); v.Newest != nil {
		for _, m := range v.Newest.Roster.Members() {
			out.Nodes = append(out.Nodes, &cardamomyokev1.NodeStatus{Member: m, Pending: slices.Contains(v.Pending, m.GetName())})
		}
	}
	leases, err := manager.List(ctx, s.o.Table)
	if err != nil {
		out.Unavailable = append(out.Unavailable, "leases: "+err.Error())
	}
	out.Leases = leases
	if s.o.Upstreams != nil {
		out.Upstreams = s.o.Upstreams()
	}
	if s.o.Groups != nil {
		out.Groups = s.o.Groups()
	}
	return out, nil
}

// ListAudit implements the RPC. Before it reads the first page, it writes the audit rows that this entry has not written
// yet.
func (s *Server) ListAudit(ctx context.Context, r *cardamomyokev1.ListAuditRequest) (*cardamomyokev1.ListAuditResponse, error) {
	limit, err := pageSize(r.GetLimit())
	if err != nil {
		return nil, asConnect(err)
	}
	if r.GetAfter() == "" {
		s.o.Audit.FlushAll(ctx)
	}
	rows, err := s.o.Table.List(ctx, audit.Prefix, r.GetAfter(), limit)
	if err != nil {
		return nil, asConnect(err)
	}
	out := &cardamomyokev1.ListAuditResponse{}
	for _, row := range rows {
		a, err := decodeAuditRow(row)
		if err != nil {
			return nil, asConnect(err)
		}
		out.Rows = append(out.Rows, a)
	}
	return out, nil
}

func decodeAuditRow(row platform.Row) (*cardamomyokev1.AuditRow, error) {
	a := &cardamomyokev1.AuditRow{}
	if err := proto.Unmarshal(row.Value, a); err != nil {
		return nil, &store.CorruptError{Key: row.Key, Cause: err}
	}
	a.Key = row.Key
	return a, nil
}

// pauseEdit returns the edit that pauses or resumes the rebalancing of a group.
func pauseEdit(p *cardamomyokev1.PauseRebalancing) store.Build {
	return func(st *revision.State) ([]*cardamomyokev1.Edit, error) {
		for _, g := range st.Configuration().GetGroups() {
			if g.GetName() != p.GetGroup() {
				continue
			}
			next := proto.Clone(g).(*cardamomyokev1.ModelGroup)
			if next.Rebalancing == nil {
				next.Rebalancing = &cardamomyokev1.Rebalancing{}
			}
			next.Rebalancing.Paused = p.GetPaused()
			return []*cardamomyokev1.Edit{{
				Action: cardamomyokev1.EditAction_EDIT_ACTION_CHANGE, Object: &cardamomyokev1.Edit_Group{Group: next},
			}}, nil
		}
		return nil, &config.FieldError{Field: "pause_rebalancing.group", Want: "the name of a group, got " + p.GetGroup()}
	}
}

// drainEdit returns the edit that drains an upstream, so that it gets no new work, or ends the drain.
func drainEdit(d *cardamomyokev1.DrainUpstream) store.Build {
	return func(st *revision.State) ([]*cardamomyokev1.Edit, error) {
		action := cardamomyokev1.EditAction_EDIT_ACTION_CREATE
		for _, u := range st.Configuration().GetUpstreams() {
			if u.GetName() == d.GetUpstream() {
				action = cardamomyokev1.EditAction_EDIT_ACTION_CHANGE
			}
		}
		o := &cardamomyokev1.UpstreamOverride{Name: d.GetUpstream(), Drained: d.GetDrained()}
		return []*cardamomyokev1.Edit{{Action: action, Object: &cardamomyokev1.Edit_Upstream{Upstream: o}}}, nil
	}
}
