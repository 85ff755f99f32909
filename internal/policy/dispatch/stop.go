package dispatch

import "time"

// Stop says by when a node that is about to stop must have finished its requests.
type Stop struct {
	// FinishBy is when all requests must have ended; zero if the node is not about to stop.
	FinishBy time.Time
	// Repeatable and Once are how long requests that may run again, and those that may run once, take from their start; 0 if it is not known.
	Repeatable, Once time.Duration
}

// StoppingError reports that a request cannot be finished before the node stops.
type StoppingError struct {
	// Left is the time until the node stops, Needed how long the request would take.
	Left, Needed time.Duration
}

// Error implements error.
func (e *StoppingError) Error() string {
	return "cannot be finished before the node stops: takes up to " + e.Needed.String() + " of " + e.Left.String()
}

// SetStop sets by when requests must be finished and returns the tickets that this decides. Requests that cannot be are refused; those of
// which an upstream may have run a part go on.
func (p *Pool) SetStop(s Stop, now time.Time) []*Ticket {
	p.stop = s
	return p.decide(now)
}

// stoppingError returns the refusal of a request that, started now, would not be finished before the node stops; nil if it would.
func (p *Pool) stoppingError(r Request, now time.Time) *StoppingError {
	if p.stop.FinishBy.IsZero() || r.Begun || r.MayHaveRun {
		return nil
	}
	left, needed := p.stop.FinishBy.Sub(now), p.stop.needed(r, now)
	if needed <= left {
		return nil
	}
	return &StoppingError{Left: left, Needed: needed}
}

// needed returns how long a request that is started now takes at most, as far as that is known: no request goes on beyond its end.
func (s Stop) needed(r Request, now time.Time) time.Duration {
	usual := s.Repeatable
	if r.Once {
		usual = s.Once
	}
	most := max(0, r.EndsBy.Sub(now))
	if usual == 0 {
		return most
	}
	return min(usual, most)
}

// SetStop sets by when requests must be finished.
func (g *Gate) SetStop(s Stop) {
	g.update(func(p *Pool, now time.Time) []*Ticket { return p.SetStop(s, now) })
}
