package membership

import (
	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
	cardamomyokev1 "github.com/cardamomyoke/cardamomyoke/internal/gen/cardamomyoke/v1"
)

// FromRevision converts the roster of the configuration log to the argument of SetRoster.
func FromRevision(members []*cardamomyokev1.Member) []Identity {
	out := make([]Identity, 0, len(members))
	for _, m := range members {
		out = append(out, Identity{
			Name:          ids.Node(m.GetName()),
			Role:          m.GetRole(),
			DataCentre:    ids.DataCentre(m.GetDataCentre()),
			DigestAddress: m.GetDigestAddress(),
		})
	}
	return out
}
