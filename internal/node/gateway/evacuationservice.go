package gateway

import (
	"context"
	"time"

	cardamomyokev1 "github.com/cardamomyoke/cardamomyoke/internal/gen/cardamomyoke/v1"
)

// evacuationService implements the EvacuationService for operators.
type evacuationService struct{ g *Gateway }

// GetEvacuations implements EvacuationService.
func (s evacuationService) GetEvacuations(context.Context, *cardamomyokev1.GetEvacuationsRequest) (*cardamomyokev1.GetEvacuationsResponse, error) {
	now := time.Now()
	at, _ := s.g.configFollower.Replica.Position()
	res := &cardamomyokev1.GetEvacuationsResponse{
		Node: s.g.Settings().Name, Enabled: s.g.evacuates(), TableEra: at.Era, TableVersion: at.Version, Following: s.g.configFollower.Following(),
	}
	for _, e := range s.g.evacuations() {
		res.Evacuations = append(res.Evacuations, e.encode(now))
	}
	return res, nil
}

func (s evacuationStatus) encode(now time.Time) *cardamomyokev1.Evacuation {
	e := &cardamomyokev1.Evacuation{
		DataCentre: string(s.DataCentre), Era: s.Written.Era, Version: s.Written.Version, AgeMs: elapsedMillis(s.Since, now),
		Upstreams: uint32(s.upstreams), Running: uint32(s.running), RunningElsewhere: uint32(s.others),
	}
	if s.running == 0 {
		e.IdleMs = elapsedMillis(s.idleSince, now)
	}
	return e
}

func elapsedMillis(since, now time.Time) uint64 { return uint64(max(0, ageOf(since, now))) }
