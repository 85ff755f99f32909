package staging

import (
	"time"

	"golang.org/x/time/rate"
)

const (
	// storeBurst is the maximum burst from the store, as time at the store's rate.
	storeBurst = 50 * time.Millisecond
	// minPiece is the minimum size of a piece in bytes, which avoids many tiny requests to the store. The last piece
	// of a load may be smaller.
	minPiece = 64 << 10
	// slackShare is the share of the expected slack that is used; it is below 1 because the slack of the next step is
	// a forecast.
	slackShare = 0.5
)

// Limits bound the rate at which weights are loaded.
type Limits struct {
	// StoreRate is the rate that the weight store grants to the group, in bytes per second.
	StoreRate uint64
	// CopyRate is the rate at which one rank can load weights, in bytes per second.
	CopyRate uint64
	// IgnoreSlack is set while the group is stalled and there is no step that loading could delay.
	IgnoreSlack bool
}

// Load is one expert's weights to be loaded on a rank.
type Load struct {
	Rank  int
	Bytes uint64
}

// Piece is the part of a load that a rank loads during one step.
type Piece struct {
	// Load is the index of the load in the list given to New.
	Load  int
	Rank  int
	Bytes uint64
	// Last is set if this piece completes the load.
	Last bool
}

// Stager paces a list of loads. It is not safe for concurrent use.
type Stager struct {
	limits    Limits
	budget    *Budget
	store     *rate.Limiter
	loads     []Load
	remaining []uint64
	// first is the index of the first incomplete load.
	first int
}

// New returns a stager for loads, which must be sorted by descending importance.
func New(l Limits, b *Budget, loads []Load) *Stager {
	burst := max(minPiece, int(float64(l.StoreRate)*storeBurst.Seconds()))
	s := &Stager{limits: l, budget: b, store: rate.NewLimiter(rate.Limit(l.StoreRate), burst), loads: loads}
	for _, ld := range loads {
		s.remaining = append(s.remaining, ld.Bytes)
	}
	s.skipDone()
	return s
}

// Done reports whether all loads are complete.
func (s *Stager) Done() bool { return s.first == len(s.loads) }

// Step returns the pieces to load during the step that starts now. A rank works on one load at a time. slack is how
// long each rank is expected to wait for the slowest one in the step.
func (s *Stager) Step(now time.Time, slack []time.Duration) []Piece {
	var pieces []Piece
	busy := make([]bool, len(slack))
	left := min(s.budget.Left(now), uint64(max(0, s.store.TokensAt(now))))
	for i := s.first; i < len(s.loads) && left > 0; i++ {
		ld := s.loads[i]
		if s.remaining[i] == 0 || busy[ld.Rank] {
			continue
		}
		busy[ld.Rank] = true
		n := min(s.remaining[i], left, s.copyableBytes(slack[ld.Rank]))
		if n == 0 || n < min(minPiece, s.remaining[i]) {
			continue
		}
		left -= n
		s.remaining[i] -= n
		s.budget.Consume(now, n)
		s.store.AllowN(now, int(n))
		pieces = append(pieces, Piece{i, ld.Rank, n, s.remaining[i] == 0})
	}
	s.skipDone()
	return pieces
}

func (s *Stager) copyableBytes(slack time.Duration) uint64 {
	if s.limits.IgnoreSlack {
		return s.limits.CopyRate
	}
	return uint64(max(0, slack.Seconds()) * slackShare * float64(s.limits.CopyRate))
}

func (s *Stager) skipDone() {
	for s.first < len(s.loads) && s.remaining[s.first] == 0 {
		s.first++
	}
}
