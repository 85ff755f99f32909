package gateway

import (
	"time"

	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
	cardamomyokev1 "github.com/cardamomyoke/cardamomyoke/internal/gen/cardamomyoke/v1"
	"github.com/cardamomyoke/cardamomyoke/internal/policy/retry"
)

// firstAttempts returns the requests for a service that this gateway and its peers got in the last window, own being those of
// this one, and whether all peers that are heard retry by grants.
func (p *peers) firstAttempts(service ids.Service, own int, now time.Time) (sum int, allGrant bool) {
	hash, bound := serviceHash(service), p.g.sharedRetryBound()
	sum, allGrant = own, true
	for _, k := range p.live(now) {
		allGrant = allGrant && k.digest.GetRetryGrants()
		for i, s := range k.digest.GetFirstAttempts().GetServices() {
			if s == hash {
				sum += retry.Reported(int(k.digest.GetFirstAttempts().GetRequests()[i]), now.Sub(k.digestAt), bound)
			}
		}
	}
	return sum, allGrant
}

// firstAttemptColumns returns the requests that this gateway got in the last window by service; nil if there were none.
func (g *Gateway) firstAttemptColumns(now time.Time) *cardamomyokev1.FirstAttemptColumns {
	var columns *cardamomyokev1.FirstAttemptColumns
	for name, s := range g.control.services {
		first := s.budget.Usage(now).First
		if first == 0 {
			continue
		}
		if columns == nil {
			columns = &cardamomyokev1.FirstAttemptColumns{}
		}
		columns.Services = append(columns.Services, serviceHash(name))
		columns.Requests = append(columns.Requests, uint32(first))
	}
	return columns
}
