package membership

import (
	"slices"

	cardamomyokev1 "github.com/cardamomyoke/cardamomyoke/internal/gen/cardamomyoke/v1"
	"github.com/cardamomyoke/cardamomyoke/internal/ids"
)

// maxAddresses is the most addresses that a caller is given.
const maxAddresses = 8

// Addresses returns where callers of the given data centre may connect: live entries, those of that data centre before
// others. An empty data centre means this node's. The order within a data centre is by name; callers' answers are
// shuffled by the entry, so that many callers who ask at once do not meet at one address.
func (t *Table) Addresses(of ids.DataCentre) (near, far []string) {
	if of == "" {
		of = t.self.DataCentre
	}
	for _, n := range t.Nodes() {
		if n.Role != cardamomyokev1.NodeRole_NODE_ROLE_ENTRY || n.State != StateLive {
			continue
		}
		if n.DataCentre == of {
			near = append(near, n.HTTP)
		} else {
			far = append(far, n.HTTP)
		}
	}
	return slices.Clip(near[:min(len(near), maxAddresses)]), slices.Clip(far[:min(len(far), maxAddresses)])
}

// LiveEntries returns the live entries but this one, by name.
func (t *Table) LiveEntries() map[ids.Node]Node {
	out := map[ids.Node]Node{}
	for _, n := range t.Nodes() {
		if n.Role == cardamomyokev1.NodeRole_NODE_ROLE_ENTRY && n.State == StateLive {
			out[n.Name] = n
		}
	}
	return out
}
