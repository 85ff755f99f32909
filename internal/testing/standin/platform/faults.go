package platform

import (
	"context"
	"fmt"
	"time"
)

// Part names one of the platform's services.
type Part string

// The parts that faults are set for.
const (
	PartTable   Part = "table"
	PartObjects Part = "objects"
	PartHosts   Part = "hosts"
	PartWeights Part = "weights"
)

// Faults are the switches of one part.
type Faults struct {
	// Outage refuses every call without doing anything.
	Outage bool `json:"outage"`
	// Delay is the time that each call takes; half of it passes before a write takes effect.
	Delay time.Duration `json:"delay_ns"`
	// LoseAnswers counts the next writes that take effect while their answer is lost.
	LoseAnswers int `json:"lose_answers"`
	// LateWrites counts the next writes that take effect LateBy after their answer was lost.
	LateWrites int           `json:"late_writes"`
	LateBy     time.Duration `json:"late_by_ns"`
}

// OutageError is the cause of calls refused by the Outage switch.
type OutageError struct{ Part Part }

// Error implements error.
func (e *OutageError) Error() string { return fmt.Sprintf("%s is switched off", e.Part) }

// LostAnswerError is the cause of a write whose answer was lost.
type LostAnswerError struct{ Part Part }

// Error implements error.
func (e *LostAnswerError) Error() string { return fmt.Sprintf("the answer of %s was lost", e.Part) }

// fate is what the switches decide for one write.
type fate struct {
	delay time.Duration
	lose  bool
	late  time.Duration
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

// admitRead waits for half of the part's delay and returns the other half, to wait before the answer.
func (s *Store) admitRead(ctx context.Context, p Part) (time.Duration, error) {
	f := s.FaultsOf(p)
	if f.Outage {
		return 0, &OutageError{p}
	}
	if err := s.pace(ctx, p, false); err != nil {
		return 0, err
	}
	return f.Delay / 2, sleep(ctx, f.Delay/2)
}

// admitWrite uses up one lost answer or late write.
func (s *Store) admitWrite(ctx context.Context, p Part) (fate, error) {
	if s.FaultsOf(p).Outage {
		return fate{}, &OutageError{p}
	}
	if err := s.pace(ctx, p, true); err != nil {
		return fate{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	f := s.faults[p]
	out := fate{delay: f.Delay / 2}
	switch {
	case f.LateWrites > 0:
		f.LateWrites--
		out.late = f.LateBy
	case f.LoseAnswers > 0:
		f.LoseAnswers--
		out.lose = true
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
