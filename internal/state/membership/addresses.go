package membership

import (
	"cmp"
	"slices"

	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
	cardamomyokev1 "github.com/cardamomyoke/cardamomyoke/internal/gen/cardamomyoke/v1"
)

// maxAddresses is the maximum number of addresses that a caller receives per kind, local and remote.
const maxAddresses = 8

// Addresses returns the HTTP addresses of live entries to which callers of the given data centre may connect: local are
// in that data centre, remote in others. An empty data centre means this node's. Both lists are sorted by name; the
// entry shuffles them in its responses, so that many callers that ask at the same time do not all connect to one
// address.
func (l *MemberList) Addresses(of ids.DataCentre) (local, remote []string) {
	if of == "" {
		of = l.self.DataCentre
	}
	for _, n := range l.liveEntries() {
		if n.DataCentre == of {
			local = append(local, n.HTTP)
		} else {
			remote = append(remote, n.HTTP)
		}
	}
	return slices.Clip(local[:min(len(local), maxAddresses)]), slices.Clip(remote[:min(len(remote), maxAddresses)])
}

// OtherEntries returns all entries but this one that are not leaving, by name, including those that are only in the
// roster. Decisions on which all entries must agree, such as which entry aggregates a client's demand, use this set.
// Each entry receives digests only from its own neighbours: if 360 entries used only those, a client's demand would be
// aggregated in as many places.
func (l *MemberList) OtherEntries() map[ids.Node]Node {
	out := map[ids.Node]Node{}
	for name, m := range l.members {
		if m.Role == cardamomyokev1.NodeRole_NODE_ROLE_ENTRY && m.machine.State() != StateLeaving {
			out[name] = m.Node
		}
	}
	return out
}

// liveEntries returns the live entries but this one, sorted by name. It is called for each view, so it sorts only these
// and not all members.
func (l *MemberList) liveEntries() []Node {
	var out []Node
	for _, m := range l.members {
		if m.Role == cardamomyokev1.NodeRole_NODE_ROLE_ENTRY && m.State == StateLive {
			out = append(out, m.Node)
		}
	}
	slices.SortFunc(out, func(a, b Node) int { return cmp.Compare(a.Name, b.Name) })
	return out
}
