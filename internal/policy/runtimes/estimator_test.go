package runtimes

import (
	"testing"
	"time"
)

func TestQuantile(t *testing.T) {
	now := time.Unix(1000, 0)
	var e Estimator
	if d, ok := e.Quantile(0.99, now); ok {
		t.Fatalf("got %s of nothing", d)
	}
	for i := range 100 {
		e.Record(time.Duration(i+1)*10*time.Millisecond, now)
	}
	for share, want := range map[float64]time.Duration{0.5: 500 * time.Millisecond, 0.99: 990 * time.Millisecond, 1: time.Second} {
		if got, _ := e.Quantile(share, now); got < want || float64(got) > growth*float64(want) {
			t.Errorf("%.2f: got %s, want %s", share, got, want)
		}
	}
}

// Guards against an estimate that still comes from run times of long ago.
func TestOldRunTimesFade(t *testing.T) {
	now := time.Unix(1000, 0)
	var e Estimator
	for range 100 {
		e.Record(8*time.Second, now)
	}
	now = now.Add(10 * halfLife)
	for range 100 {
		e.Record(20*time.Millisecond, now)
	}
	if got, _ := e.Quantile(0.99, now); got > 30*time.Millisecond {
		t.Errorf("got %s", got)
	}
	if d, ok := e.Quantile(0.99, now.Add(20*halfLife)); ok {
		t.Errorf("got %s after all have faded", d)
	}
}

func TestRunTimesOutOfRange(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, d := range []time.Duration{-time.Second, 0, time.Hour} {
		var e Estimator
		e.Record(d, now)
		if _, ok := e.Quantile(0.5, now); !ok {
			t.Errorf("%s was not recorded", d)
		}
	}
}
