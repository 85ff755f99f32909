package agent

import (
	"context"
	"fmt"
	"sync"
	"time"

	"connectrpc.com/connect"

	"github.com/cardamomyoke/cardamomyoke/internal/base/monotonic"
	"github.com/cardamomyoke/cardamomyoke/internal/experts/lockstep"
	cardamomyokev1 "github.com/cardamomyoke/cardamomyoke/internal/gen/cardamomyoke/v1"
	"github.com/cardamomyoke/cardamomyoke/internal/gen/cardamomyoke/v1/cardamomyokev1connect"
	"github.com/cardamomyoke/cardamomyoke/internal/state/catalog"
)

// Server passes calls on to the rank beside it. It implements the AgentService.
type Server struct {
	ranks lockstep.RankClient
	rank  *catalog.Upstream
	mu    sync.Mutex
	told  placements
	// newest is the order that came last; followed is closed once another one has come.
	newest   orderKey
	followed chan struct{}
}

var _ cardamomyokev1connect.AgentServiceHandler = (*Server)(nil)

// NewServer returns the agent of the rank at address (IP:PORT).
func NewServer(client lockstep.RankClient, address string) *Server {
	return &Server{ranks: client, rank: &catalog.Upstream{Address: address}}
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
	res := &cardamomyokev1.RankCountsResponse{Epoch: since.Epoch, Born: since.StartedAtMS, Sets: req.GetSets()}
	for _, set := range counts {
		for _, n := range set {
			res.Counts = append(res.Counts, uint64(n))
		}
	}
	return res, nil
}

// RankHeld implements the AgentService.
func (s *Server) RankHeld(ctx context.Context, _ *cardamomyokev1.RankHeldRequest) (*cardamomyokev1.RankHeldResponse, error) {
	h, err := s.ranks.HeldExperts(ctx, s.rank)
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
	reply, err := s.give(ctx, o, until)
	if o.Op != lockstep.OpPrepare {
		return reply, err
	}
	for (reply == lockstep.ReplyBegun || reply == lockstep.ReplyHolds) && time.Now().Before(until) && ctx.Err() == nil {
		if r, rerr := s.ranks.Report(ctx, s.rank); rerr == nil && r.Prepared == o.Version {
			return lockstep.ReplyPrepared, nil
		}
		monotonic.Sleep(ctx, preparedPoll)
	}
	return reply, err
}

const (
	// firstTry is how long the rank's first answer is waited for; it runs beside the agent. Each further try is given twice as
	// long as the one before, up to maxTry, so that a rank that is slow to answer is heard in the end.
	firstTry = 5 * time.Millisecond
	maxTry   = 80 * time.Millisecond
)

// give gives the rank an order until it answers, the time is over, or another order follows.
//
// An engine may leave an order unanswered. While one rank of a group is not known to be armed, all of them stand still; tries
// from beside the rank cost no way through the network. A second order is harmless: it finds the first one carried out, or is
// the only one.
func (s *Server) give(ctx context.Context, o lockstep.Order, until time.Time) (lockstep.Reply, error) {
	followed := s.follow(o)
	for wait := firstTry; ; wait = min(2*wait, maxTry) {
		next := time.After(wait)
		reply, err := s.try(ctx, o, wait, until)
		if reply != lockstep.ReplyLost || !time.Now().Before(until) {
			return reply, err
		}
		select {
		case <-next:
		case <-followed:
		case <-ctx.Done():
		}
		if isClosed(followed) || ctx.Err() != nil {
			return reply, err
		}
	}
}

func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// try gives the rank an order once. The answer to the last try is waited for as long as the caller allows.
func (s *Server) try(ctx context.Context, o lockstep.Order, wait time.Duration, until time.Time) (lockstep.Reply, error) {
	if time.Until(until) > wait {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, wait)
		defer cancel()
	}
	return s.ranks.Order(ctx, s.rank, o)
}

// orderKey tells orders apart that are not the same one sent again.
type orderKey struct {
	op                   lockstep.Op
	epoch, version, pass uint64
}

// follow returns a channel that is closed once another order has come.
//
// Tries of an order that the leader takes back would undo what the next one does.
func (s *Server) follow(o lockstep.Order) <-chan struct{} {
	key := orderKey{o.Op, o.Epoch, o.Version, o.Pass}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.followed != nil && s.newest == key {
		return s.followed
	}
	if s.followed != nil {
		close(s.followed)
	}
	s.newest, s.followed = key, make(chan struct{})
	return s.followed
}
