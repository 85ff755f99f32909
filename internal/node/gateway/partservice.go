package gateway

import (
	"context"
	"fmt"
	"time"

	"connectrpc.com/connect"

	cardamomyokev1 "github.com/cardamomyoke/cardamomyoke/internal/gen/cardamomyoke/v1"
	"github.com/cardamomyoke/cardamomyoke/internal/policy/blame"
)

// maxOperatorBytes bounds an operator's name in the row of the store and in digests.
const maxOperatorBytes = 64

// partService implements the PartService for operators.
type partService struct{ g *Gateway }

// PartStateError reports a decision on a part that is not an operator's to take.
type PartStateError struct{ State blame.State }

// Error implements error.
func (e *PartStateError) Error() string {
	return fmt.Sprintf("decision %q on a part: want %s, %s or %s", e.State, blame.Trusted, blame.Barred, blame.Open)
}

// GetParts implements PartService.
func (s partService) GetParts(context.Context, *cardamomyokev1.GetPartsRequest) (*cardamomyokev1.GetPartsResponse, error) {
	p := s.g.suspects.parts
	stored, row := s.g.crashStore.saved()
	p.mu.Lock()
	list := p.ledger.List()
	p.mu.Unlock()
	return &cardamomyokev1.GetPartsResponse{
		Node: s.g.Settings().Name, Parts: blame.ToProto(list), Loaded: p.known.Load(), Stored: stored, RowEra: row.Era, RowVersion: row.Version,
	}, nil
}

// DecidePart implements PartService. Errors: *PartStateError.
func (s partService) DecidePart(ctx context.Context, req *cardamomyokev1.DecidePartRequest) (*cardamomyokev1.DecidePartResponse, error) {
	state := blame.StateFromProto(req.GetState())
	if state != blame.Trusted && state != blame.Barred && state != blame.Open {
		return nil, connect.NewError(connect.CodeInvalidArgument, &PartStateError{state})
	}
	p := s.g.suspects.parts
	var decided blame.Suspect
	p.update(func(l *blame.Ledger) []blame.Suspect {
		operator := req.GetOperator()
		decided = l.Override(time.Now(), blame.Part(req.GetPart()), state, operator[:min(len(operator), maxOperatorBytes)])
		return []blame.Suspect{decided}
	})
	err := s.g.crashStore.saveNow(ctx)
	return &cardamomyokev1.DecidePartResponse{Part: decided.Proto(), Stored: err == nil}, nil
}
