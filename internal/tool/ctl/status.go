package ctl

import (
	"context"
	"fmt"
	"strings"

	"github.com/alecthomas/kingpin/v2"

	cardamomyokev1 "github.com/cardamomyoke/cardamomyoke/internal/gen/cardamomyoke/v1"
)

func (s *session) registerStatus(app *kingpin.Application) {
	s.command(app.Command("status", "Nodes, upstreams, leases and the state of acceptance, as the entry knows them."), s.status)
}

func (s *session) status(ctx context.Context) error {
	st, err := s.client.GetStatus(ctx, &cardamomyokev1.GetStatusRequest{})
	if err != nil {
		return fmt.Errorf("status: %w", err)
	}
	if s.output == outputJSON {
		return s.printProto(st)
	}
	s.printRevisions(st.GetNode(), st.GetRevisions())
	s.printNodes(st.GetNodes())
	s.printUpstreams(st.GetUpstreams())
	s.printLeases(st.GetLeases())
	for _, what := range st.GetUnavailable() {
		fmt.Fprintln(s.out, "could not be read:", what)
	}
	return nil
}

func (s *session) printRevisions(node string, r *cardamomyokev1.RevisionStatus) {
	s.printTable([]string{"ASKED", "IN FORCE", "ACCEPTED", "COMMITTED", "FRESH", "TABLE", "WAITING FOR"}, [][]string{{
		node, fmt.Sprintf("revision %d", r.GetInForceRevision()), fmt.Sprintf("entry %d", r.GetAcceptedSeq()),
		fmt.Sprintf("entry %d", r.GetCommittedSeq()), yesNo(r.GetFresh()), upDown(r.GetTableUp()),
		strings.Join(r.GetPending(), ", "),
	}})
}

func (s *session) printNodes(nodes []*cardamomyokev1.NodeStatus) {
	var rows [][]string
	for _, n := range nodes {
		m := n.GetMember()
		rows = append(rows, []string{m.GetName(), formatRole(m.GetRole()), m.GetDataCentre(), m.GetAddress(), yesNo(n.GetPending())})
	}
	s.printTable([]string{"NODE", "ROLE", "DATA CENTRE", "RPC", "PENDING"}, rows)
}

func (s *session) printUpstreams(list []*cardamomyokev1.UpstreamStatus) {
	var rows [][]string
	for _, u := range list {
		rows = append(rows, []string{u.GetName(), u.GetService(), u.GetDataCentre(), u.GetState()})
	}
	s.printTable([]string{"UPSTREAM", "SERVICE", "DATA CENTRE", "STATE"}, rows)
}

func (s *session) printLeases(list []*cardamomyokev1.LeaseStatus) {
	var rows [][]string
	for _, l := range list {
		rows = append(rows, []string{l.GetDuty(), l.GetHolder(), fmt.Sprint(l.GetFence())})
	}
	s.printTable([]string{"DUTY", "HOLDER", "FENCE"}, rows)
}

func formatRole(r cardamomyokev1.NodeRole) string {
	return strings.ToLower(strings.TrimPrefix(r.String(), "NODE_ROLE_"))
}

func yesNo(v bool) string {
	if v {
		return "yes"
	}
	return "no"
}

func upDown(v bool) string {
	if v {
		return "up"
	}
	return "down"
}
