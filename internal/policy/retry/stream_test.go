package retry_test

import (
	"errors"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/cardamomyoke/cardamomyoke/internal/policy/retry"
)

// Guards against lost, duplicate or reordered tokens when one upstream after another breaks while a caller reads a
// response. Each new attempt continues at or before the first missing token, and late tokens of abandoned attempts
// still arrive.
func TestNoTokenIsLostOrDoubled(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		total := rapid.IntRange(1, 40).Draw(t, "total")
		var s retry.Stream
		var got, want []int
		for i := range total {
			want = append(want, i)
		}
		accept := func(attempt, first, count int) error {
			skip, err := s.Accept(attempt, first, count)
			for i := skip; err == nil && i < count; i++ {
				got = append(got, first+i)
			}
			return err
		}
		for len(got) < total {
			attempt, from := s.Begin()
			next := max(0, from-rapid.IntRange(0, 3).Draw(t, "overlap"))
			for range rapid.IntRange(0, 8).Draw(t, "parts") {
				count := min(rapid.IntRange(1, 5).Draw(t, "count"), total-next)
				if rapid.IntRange(0, 4).Draw(t, "stale") == 0 {
					var stale *retry.StaleAttemptError
					if err := accept(attempt-1, next, 1); !errors.As(err, &stale) {
						t.Fatalf("token of an abandoned attempt: %v", err)
					}
				}
				if err := accept(attempt, next, count); err != nil {
					t.Fatal(err)
				}
				next += count
			}
		}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Fatal(diff)
		}
	})
}

func TestStreamRejectsGapsAndIncompleteEnds(t *testing.T) {
	var s retry.Stream
	attempt, _ := s.Begin()
	if _, err := s.Accept(attempt, 0, 3); err != nil {
		t.Fatal(err)
	}
	var gap *retry.GapError
	if _, err := s.Accept(attempt, 4, 1); !errors.As(err, &gap) || gap.Want != 3 {
		t.Fatalf("a skipped token: %v", err)
	}
	var short *retry.IncompleteError
	if err := s.End(attempt, 5); !errors.As(err, &short) || s.Delivered() != 3 {
		t.Fatalf("an end before the last token: %v", err)
	}
	if err := s.End(attempt, 3); err != nil {
		t.Fatal(err)
	}
	var stale *retry.StaleAttemptError
	if _, err := s.Accept(attempt, 3, 1); !errors.As(err, &stale) {
		t.Fatalf("a token after the end: %v", err)
	}
	if err := s.End(attempt, 3); !errors.As(err, &stale) {
		t.Fatalf("a second end: %v", err)
	}
}
