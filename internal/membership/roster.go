package membership

import (
	cardamomyokev1 "github.com/cardamomyoke/cardamomyoke/internal/gen/cardamomyoke/v1"
	"github.com/cardamomyoke/cardamomyoke/internal/ids"
)

// FromRevision turns the members of the configuration log's roster into what SetRoster takes.
func FromRevision(members []*cardamomyokev1.Member) []Roster {
	out := make([]Roster, 0, len(members))
	for _, m := range members {
		out = append(out, Roster{
			Name:       ids.Node(m.GetName()),
			Role:       m.GetRole(),
			DataCentre: ids.DataCentre(m.GetDataCentre()),
			Digests:    m.GetDigestAddress(),
		})
	}
	return out
}
