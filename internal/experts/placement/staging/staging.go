package staging

import (
	"time"

	"golang.org/x/time/rate"
)

const (
	// storeBurst is the time at the store's rate that may be saved up.
	storeBurst = 50 * time.Millisecond
	// smallestPiece keeps requests to the store from becoming many and tiny; the rest of a load may be smaller.
	smallestPiece = 64 << 10
	// slackShare is the part of the expected slack that is used, since the slack of the next step is a forecast.
	slackShare = 0.5
)

// Limits bound how fast weights are taken in.
type Limits struct {
	// StoreRate is what the weight store grants to the group, in bytes a second.
	StoreRate uint64
	// CopyRate is how fast one rank takes weights in, in bytes a second.
	CopyRate uint64
	// IgnoreSlack is set while the group stands still, so that there is no step to hold up.
	IgnoreSlack bool
}

// Load is one expert's weights on their way to a rank.
type Load struct {
	Rank  int
	Bytes uint64
}

// Piece is a part of a load that a rank takes in during one step.
type Piece struct {
	// Load is the index of the load in the list given to New.
	Load  int
	Rank  int
	Bytes uint64
	// Last says that the load is complete with this piece.
	Last bool
}

// Stager paces a list of loads. It is not safe for concurrent use.
type Stager struct {
	limits Limits
	budget *Budget
	store  *rate.Limiter
	loads  []Load
	left   []uint64
	// first is the first load that is not complete.
	first int
}

// New returns a stager for loads, in order of their importance.
func New(l Limits, b *Budget, loads []Load) *Stager {
	burst := max(smallestPiece, int(float64(l.StoreRate)*storeBurst.Seconds()))
	s := &Stager{limits: l, budget: b, store: rate.NewLimiter(rate.Limit(l.StoreRate), burst), loads: loads}
	for _, ld := range loads {
		s.left = append(s.left, ld.Bytes)
	}
	s.skipDone()
	return s
}

// Done reports whether all loads are complete.
func (s *Stager) Done() bool { return s.first == len(s.loads) }

// Step returns the pieces that ranks take in during the step that starts now. A rank takes in one load at a time.
// slack is how long each rank is expected to wait for the slowest one in the step.
func (s *Stager) Step(now time.Time, slack []time.Duration) []Piece {
	var pieces []Piece
	busy := make([]bool, len(slack))
	left := min(s.budget.Left(now), uint64(max(0, s.store.TokensAt(now))))
	for i := s.first; i < len(s.loads) && left > 0; i++ {
		ld := s.loads[i]
		if s.left[i] == 0 || busy[ld.Rank] {
			continue
		}
		busy[ld.Rank] = true
		n := min(s.left[i], left, s.copyable(slack[ld.Rank]))
		if n == 0 || n < min(smallestPiece, s.left[i]) {
			continue
		}
		left -= n
		s.left[i] -= n
		s.budget.Consume(now, n)
		s.store.AllowN(now, int(n))
		pieces = append(pieces, Piece{i, ld.Rank, n, s.left[i] == 0})
	}
	s.skipDone()
	return pieces
}

func (s *Stager) copyable(slack time.Duration) uint64 {
	if s.limits.IgnoreSlack {
		return s.limits.CopyRate
	}
	return uint64(max(0, slack.Seconds()) * slackShare * float64(s.limits.CopyRate))
}

func (s *Stager) skipDone() {
	for s.first < len(s.loads) && s.left[s.first] == 0 {
		s.first++
	}
}
