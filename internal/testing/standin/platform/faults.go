package platform

import (
	"context"
	"fmt"
	"time"
)

// Part names one of the platform's services.
type Part string

// The parts of the platform.
const (
	PartTable   Part = "table"
	PartObjects Part = "objects"
	PartHosts   Part = "hosts"
	PartWeights Part = "weights"
)

// Faults holds the fault switches of one part.
type Faults struct {
	// Outage refuses every call; no write takes effect.
	Outage bool `json:"outage"`
	// Delay is the duration of each call. A write takes effect after half of it.
	Delay time.Duration `json:"delay_ns"`
	// LoseResponses is the number of next writes that take effect but whose response is lost.
	LoseResponses int `json:"lose_answers"`
	// LateWrites is the number of next writes that take effect LateBy after their response was lost. They come before
	// those of LoseResponses.
	LateWrites int           `json:"late_writes"`
	LateBy     time.Duration `json:"late_by_ns"`
}

// OutageError is the cause in the errors of calls refused by the Outage switch.
type OutageError struct{ Part Part }

// Error implements error.
func (e *OutageError) Error() string { return fmt.Sprintf("%s is switched off", e.Part) }

// LostResponseError is the cause in the error of a write whose response was lost.
type LostResponseError struct{ Part Part }

// Error implements error.
func (e *LostResponseError) Error() string { return fmt.Sprintf("the response of %s was lost", e.Part) }

// writeFault holds the faults of one write. delay applies before the write takes effect and again before the response; if
// applyAfter is not zero, the response is lost and the write takes effect after that time.
type writeFault struct {
	delay        time.Duration
	loseResponse bool
	applyAfter   time.Duration
}

// SetFaults replaces the switches of one part.
func (s *Store) SetFaults(p Part, f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults[p] = f
}

// FaultsOf returns the switches of one part.
func (s *Store) FaultsOf(p Part) Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults[p]
}

// admitRead waits for half of the part's delay. It returns the other half, for which the caller waits before it responds.
func (s *Store) admitRead(ctx context.Context, p Part) (time.Duration, error) {
	f := s.FaultsOf(p)
	if f.Outage {
		return 0, &OutageError{p}
	}
	if err := s.throttle(ctx, p, false); err != nil {
		return 0, err
	}
	return f.Delay / 2, sleep(ctx, f.Delay/2)
}

// admitWrite returns the faults of a write and consumes one late write or lost response.
func (s *Store) admitWrite(ctx context.Context, p Part) (writeFault, error) {
	if s.FaultsOf(p).Outage {
		return writeFault{}, &OutageError{p}
	}
	if err := s.throttle(ctx, p, true); err != nil {
		return writeFault{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	f := s.faults[p]
	out := writeFault{delay: f.Delay / 2}
	switch {
	case f.LateWrites > 0:
		f.LateWrites--
		out.applyAfter = f.LateBy
	case f.LoseResponses > 0:
		f.LoseResponses--
		out.loseResponse = true
	}
	s.faults[p] = f
	return out, nil
}

func sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
