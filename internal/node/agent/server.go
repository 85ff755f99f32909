package agent

import (
	"context"
	"fmt"
	"sync"
	"time"

	"connectrpc.com/connect"

	"github.com/cardamomyoke/cardamomyoke/internal/base/steady"
	"github.com/cardamomyoke/cardamomyoke/internal/experts/lockstep"
	cardamomyokev1 "github.com/cardamomyoke/cardamomyoke/internal/gen/cardamomyoke/v1"
	"github.com/cardamomyoke/cardamomyoke/internal/gen/cardamomyoke/v1/cardamomyokev1connect"
	"github.com/cardamomyoke/cardamomyoke/internal/state/catalog"
)

// Server passes calls on to the rank beside it. It implements the AgentService.
type Server struct {
	ranks lockstep.Ranks
	rank  *catalog.Upstream
	mu    sync.Mutex
	told  placements
}

var _ cardamomyokev1connect.AgentServiceHandler = (*Server)(nil)

// NewServer returns the agent of the rank at address (IP:PORT).
func NewServer(ranks lockstep.Ranks, address string) *Server {
	return &Server{ranks: ranks, rank: &catalog.Upstream{Address: address}}
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
	since, counts, err := s.ranks.Counts(ctx, s.rank, int(req.GetSets()))
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	res := &cardamomyokev1.RankCountsResponse{Epoch: since.Epoch, Born: since.Born, Sets: req.GetSets()}
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
	o, err := s.decode(req)
	if err != nil {
		return nil, connect.NewError(connect.CodeFailedPrecondition, err)
	}
	reply, err := s.carryOut(ctx, o)
	res := &cardamomyokev1.RankOrderResponse{Reply: replies[reply]}
	if err != nil {
		res.Reason = err.Error()
	}
	return res, nil
}

// BaseError says that the agent does not have the map that a new one is told by its difference from.
type BaseError struct{ Version uint64 }

// Error implements error.
func (e *BaseError) Error() string { return fmt.Sprintf("map %d is not known here", e.Version) }

// decode reads an order and completes its map. Errors: *BaseError.
func (s *Server) decode(req *cardamomyokev1.RankOrderRequest) (lockstep.Order, error) {
	o := decodeOrder(req)
	if o.Op != lockstep.OpPrepare {
		return o, nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if base := req.GetBaseVersion(); base != 0 {
		next, ok := applyCells(s.told.get(base), req.GetCells())
		if !ok || len(next) == 0 {
			return o, &BaseError{base}
		}
		o.Placement = next
	}
	s.told.put(o.Version, o.Placement)
	return o, nil
}

// preparedPoll is how often the rank is asked whether it has prepared a map; its answer takes next to no time.
const preparedPoll = 20 * time.Millisecond

// carryOut gives the rank an order. For one that prepares a map it waits until that is done: the gateway would have to
// ask each rank again and again.
func (s *Server) carryOut(ctx context.Context, o lockstep.Order) (lockstep.Reply, error) {
	until := time.Now().Add(o.Wait)
	reply, err := s.ranks.Order(ctx, s.rank, o)
	for o.Op == lockstep.OpPrepare && time.Now().Before(until) && ctx.Err() == nil {
		switch reply {
		case lockstep.ReplyLost:
			// A second order is harmless: it finds the first carried out, or is the only one.
			reply, err = s.ranks.Order(ctx, s.rank, o)
		case lockstep.ReplyBegun, lockstep.ReplyHolds:
			if r, rerr := s.ranks.Report(ctx, s.rank); rerr == nil && r.Prepared == o.Version {
				return lockstep.ReplyPrepared, nil
			}
		default:
			return reply, err
		}
		steady.Sleep(ctx, preparedPoll)
	}
	return reply, err
}
