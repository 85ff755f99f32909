package agent

import (
	"context"

	"connectrpc.com/connect"

	"github.com/cardamomyoke/cardamomyoke/internal/catalog"
	cardamomyokev1 "github.com/cardamomyoke/cardamomyoke/internal/gen/cardamomyoke/v1"
	"github.com/cardamomyoke/cardamomyoke/internal/gen/cardamomyoke/v1/cardamomyokev1connect"
	"github.com/cardamomyoke/cardamomyoke/internal/lockstep"
)

// Server passes calls on to the rank beside it. It implements the AgentService.
type Server struct {
	ranks lockstep.Ranks
	rank  *catalog.Upstream
}

var _ cardamomyokev1connect.AgentServiceHandler = (*Server)(nil)

// NewServer returns the agent of the rank at address (IP:PORT).
func NewServer(ranks lockstep.Ranks, address string) *Server {
	return &Server{ranks, &catalog.Upstream{Address: address}}
}

// RankReport implements the AgentService.
func (s *Server) RankReport(ctx context.Context, _ *cardamomyokev1.RankReportRequest) (*cardamomyokev1.RankReportResponse, error) {
	r, err := s.ranks.Report(ctx, s.rank)
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	return encodeReport(r), nil
}

// RankCounts implements the AgentService.
func (s *Server) RankCounts(ctx context.Context, req *cardamomyokev1.RankCountsRequest) (*cardamomyokev1.RankCountsResponse, error) {
	epoch, counts, err := s.ranks.Counts(ctx, s.rank, int(req.GetSets()))
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	res := &cardamomyokev1.RankCountsResponse{Epoch: epoch, Sets: req.GetSets()}
	for _, set := range counts {
		for _, n := range set {
			res.Counts = append(res.Counts, uint64(n))
		}
	}
	return res, nil
}

// RankHeld implements the AgentService.
func (s *Server) RankHeld(ctx context.Context, _ *cardamomyokev1.RankHeldRequest) (*cardamomyokev1.RankHeldResponse, error) {
	h, err := s.ranks.Held(ctx, s.rank)
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	return &cardamomyokev1.RankHeldResponse{Epoch: h.Epoch, Version: h.Version, Sets: encodeLists(h.Experts)}, nil
}

// RankOrder implements the AgentService.
func (s *Server) RankOrder(ctx context.Context, req *cardamomyokev1.RankOrderRequest) (*cardamomyokev1.RankOrderResponse, error) {
	reply, err := s.ranks.Order(ctx, s.rank, decodeOrder(req))
	res := &cardamomyokev1.RankOrderResponse{Reply: replies[reply]}
	if err != nil {
		res.Reason = err.Error()
	}
	return res, nil
}
