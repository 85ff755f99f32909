package membership

import (
	"cmp"
	"slices"

	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
	cardamomyokev1 "github.com/cardamomyoke/cardamomyoke/internal/gen/cardamomyoke/v1"
)

// maxAddresses is the most addresses that a caller is given.
const maxAddresses = 8

// Addresses returns where callers of the given data centre may connect: live entries, those of that data centre before
// others. An empty data centre means this node's. The order within a data centre is by name; callers' answers are
// shuffled by the entry, so that many callers who ask at once do not meet at one address.
func (l *MemberList) Addresses(of ids.DataCentre) (near, far []string) {
	if of == "" {
		of = l.self.DataCentre
	}
	for _, n := range l.liveEntries() {
		if n.DataCentre == of {
			near = append(near, n.HTTP)
		} else {
			far = append(far, n.HTTP)
		}
	}
	return slices.Clip(near[:min(len(near), maxAddresses)]), slices.Clip(far[:min(len(far), maxAddresses)])
}

// OtherEntries returns all entries but this one that do not leave, heard or only named by the roster, by name. What all
// entries must agree on, such as who adds up a client's demand, goes by them: each entry hears neighbours of its own,
// and with 360 entries that all went by whom they hear, a client's demand would be added up in as many places.
func (l *MemberList) OtherEntries() map[ids.Node]Node {
	out := map[ids.Node]Node{}
	for name, m := range l.members {
		if m.Role == cardamomyokev1.NodeRole_NODE_ROLE_ENTRY && m.machine.State() != StateLeaving {
			out[name] = m.Node
		}
	}
	return out
}

// liveEntries returns the live entries but this one, sorted by name. It is asked for each view, so it sorts only these
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
