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

// Server forwards calls to the rank on the same host. It implements the AgentService.
type Server struct {
	ranks lockstep.RankClient
	rank  *catalog.Upstream
	mu    sync.Mutex
	maps  mapsByVersion
	// newestOrder identifies the last order received. superseded is closed once a different order is received.
	newestOrder orderKey
	superseded  chan struct{}
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
	reply, err := s.execute(ctx, o)
	res := &cardamomyokev1.RankOrderResponse{Reply: replyCodes[reply]}
	if err != nil {
		res.Reason = err.Error()
	}
	return res, nil
}

// BaseError reports that the agent does not have the base map of a map that was sent as a difference.
type BaseError struct{ Version uint64 }

// Error implements error.
func (e *BaseError) Error() string { return fmt.Sprintf("agent does not have base map %d", e.Version) }

// decode decodes an order. For a map sent as a difference it returns the full map. Errors: *BaseError.
func (s *Server) decode(req *cardamomyokev1.RankOrderRequest) (lockstep.Order, error) {
	o := decodeOrder(req)
	if o.Op != lockstep.OpPrepare {
		return o, nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if base := req.GetBaseVersion(); base != 0 {
		next, ok := applyCells(s.maps.get(base), req.GetCells())
		if !ok || len(next) == 0 {
			return o, &BaseError{base}
		}
		o.Placement = next
	}
	s.maps.put(o.Version, o.Placement)
	return o, nil
}

// preparedPollInterval is the interval at which the rank is polled until it has prepared a map. A local poll takes
// almost no time.
const preparedPollInterval = 20 * time.Millisecond

// execute sends an order to the rank. If the order prepares a map, it polls the rank until the map is prepared or
// o.Wait is over, so that the gateway does not have to poll each rank.
func (s *Server) execute(ctx context.Context, o lockstep.Order) (lockstep.Reply, error) {
	until := time.Now().Add(o.Wait)
	reply, err := s.orderUntilReply(ctx, o, until)
	if o.Op != lockstep.OpPrepare {
		return reply, err
	}
	for (reply == lockstep.ReplyAccepted || reply == lockstep.ReplyAlreadyApplied) && time.Now().Before(until) && ctx.Err() == nil {
		if r, reportErr := s.ranks.Report(ctx, s.rank); reportErr == nil && r.Prepared == o.Version {
			return lockstep.ReplyPrepared, nil
		}
		monotonic.Sleep(ctx, preparedPollInterval)
	}
	return reply, err
}

const (
	// initialAttemptTimeout is the timeout of the first attempt to send an order to the rank, which runs on the same host.
	// It doubles with each further attempt, up to maxAttemptTimeout, so that the reply of a slow rank is received in the
	// end.
	initialAttemptTimeout = 5 * time.Millisecond
	maxAttemptTimeout     = 80 * time.Millisecond
)

// orderUntilReply sends an order to the rank repeatedly until the rank replies, the time until is reached, or another
// order is received.
//
// An engine may leave an order without a reply. All ranks of a group are paused while one of them is not confirmed to
// be armed, and retries on the rank's own host avoid the network delay. A repeated order is harmless: either the first
// one was executed and the repetition has no effect, or the repetition is the only one that the rank receives.
func (s *Server) orderUntilReply(ctx context.Context, o lockstep.Order, until time.Time) (lockstep.Reply, error) {
	superseded := s.supersede(o)
	for timeout := initialAttemptTimeout; ; timeout = min(2*timeout, maxAttemptTimeout) {
		next := time.After(timeout)
		reply, err := s.orderOnce(ctx, o, timeout, until)
		if reply != lockstep.ReplyLost || !time.Now().Before(until) {
			return reply, err
		}
		select {
		case <-next:
		case <-superseded:
		case <-ctx.Done():
		}
		if isClosed(superseded) || ctx.Err() != nil {
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

// orderOnce sends an order to the rank once. Its timeout is timeout; the last attempt may use all of the remaining time
// of the caller.
func (s *Server) orderOnce(ctx context.Context, o lockstep.Order, timeout time.Duration, until time.Time) (lockstep.Reply, error) {
	if time.Until(until) > timeout {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, timeout)
		defer cancel()
	}
	return s.ranks.Order(ctx, s.rank, o)
}

// orderKey identifies an order. Repetitions of an order have the same key.
type orderKey struct {
	op                   lockstep.Op
	epoch, version, pass uint64
}

// supersede makes o the newest order and ends the retries of the previous one, unless o repeats it. It returns a
// channel that is closed once a different order is received.
//
// If the leader revokes an order, further retries of it would undo the effect of the next order.
func (s *Server) supersede(o lockstep.Order) <-chan struct{} {
	key := orderKey{o.Op, o.Epoch, o.Version, o.Pass}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.superseded != nil && s.newestOrder == key {
		return s.superseded
	}
	if s.superseded != nil {
		close(s.superseded)
	}
	s.newestOrder, s.superseded = key, make(chan struct{})
	return s.superseded
}
