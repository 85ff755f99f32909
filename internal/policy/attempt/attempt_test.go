package attempt_test

import (
	"bytes"
	"errors"
	"io"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/valyala/fasthttp"

	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
	"github.com/cardamomyoke/cardamomyoke/internal/policy/attempt"
)

var (
	t0          = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	testAttempt = ids.Attempt{Entry: "e1", Seq: 1}
)

func TestHeaderRoundTrip(t *testing.T) {
	want := attempt.Header{
		Attempt: testAttempt, Incarnation: "s1", Service: "desk-model", Client: "c", Revision: 7, Remaining: 900 * time.Millisecond,
		Priority: 2, Key: "k", Resume: 5, Suspicion: 2, Output: 40, Method: "POST", Target: "/slips?x=1", Trace: "00-a-b-01",
	}
	var h fasthttp.RequestHeader
	want.Set(&h)
	got, err := attempt.Read(&h)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Fatal(diff)
	}
	h.Set(attempt.HeaderRemaining, "-1")
	var fieldErr *attempt.FieldError
	if _, err := attempt.Read(&h); !errors.As(err, &fieldErr) || fieldErr.Field != attempt.HeaderRemaining {
		t.Fatalf("got %v", err)
	}
}

// Guards against a request that runs twice: an entry loses contact with its attempt, the slot fences the attempt, and
// the caller receives "not run". Then the delayed attempt arrives after all. If it were started, a resend by the caller
// would run the request a second time.
func TestAFencedAttemptNeverStarts(t *testing.T) {
	tracker := attempt.NewTracker(t0)
	if !tracker.Fence(testAttempt, t0) {
		t.Fatal("an unseen attempt was not fenced")
	}
	late := t0.Add(attempt.Retention + time.Second)
	var refused *attempt.RefusedError
	if err := tracker.Begin(testAttempt, late); !errors.As(err, &refused) {
		t.Fatalf("started after it was fenced: %v", err)
	}
}

// Guards against a request that runs twice: the slot has already started the attempt when the entry asks for a fence.
// It must deny the fence and refuse a second copy of the attempt.
func TestAStartedAttemptIsNeitherFencedNorStartedAgain(t *testing.T) {
	tracker := attempt.NewTracker(t0)
	if err := tracker.Begin(testAttempt, t0); err != nil {
		t.Fatal(err)
	}
	if tracker.Fence(testAttempt, t0) {
		t.Fatal("fenced a started attempt")
	}
	tracker.Finish(testAttempt, t0)
	if tracker.Fence(testAttempt, t0) {
		t.Fatal("fenced a finished attempt")
	}
	if err := tracker.Begin(testAttempt, t0); err == nil {
		t.Fatal("started twice")
	}
}

// Guards against a request that runs twice: a link holds a copy of a fenced or finished attempt for so long that the slot has
// forgotten the attempt. A copy states how much time is left, so its age does not show.
func TestForgottenAttemptsNeitherStartNorAreFenced(t *testing.T) {
	tracker := attempt.NewTracker(t0)
	if !tracker.Fence(testAttempt, t0) {
		t.Fatal("an unseen attempt was not fenced")
	}
	started := ids.Attempt{Entry: "e1", Seq: 2}
	if err := tracker.Begin(started, t0); err != nil {
		t.Fatal(err)
	}
	tracker.Finish(started, t0)
	now := t0
	for n := range uint64(4) {
		now = now.Add(attempt.Retention)
		for _, entry := range []ids.Incarnation{"e1", "e2"} {
			if err := tracker.Begin(ids.Attempt{Entry: entry, Seq: 10 + n}, now); err != nil {
				t.Fatalf("a new attempt of %s was refused: %v", entry, err)
			}
		}
	}
	var refused *attempt.RefusedError
	if err := tracker.Begin(testAttempt, now); !errors.As(err, &refused) {
		t.Errorf("a fenced attempt started after %v: %v", now.Sub(t0), err)
	}
	if tracker.Fence(started, now) {
		t.Errorf("a finished attempt was fenced after %v", now.Sub(t0))
	}
}

func TestEventReaderAcceptsOnlyItsOwnEventsInSequence(t *testing.T) {
	event := func(seq uint64, i uint32, finish string) *attempt.Event {
		return &attempt.Event{Attempt: seq, Index: i, Text: "x", Finish: finish}
	}
	tests := map[string]struct {
		events   []*attempt.Event
		accepted int
	}{
		"in sequence":   {[]*attempt.Event{event(1, 3, ""), event(1, 4, ""), event(1, 5, "stop")}, 3},
		"other attempt": {[]*attempt.Event{event(2, 3, "")}, 0},
		"gap":           {[]*attempt.Event{event(1, 4, "")}, 0},
		"duplicate":     {[]*attempt.Event{event(1, 3, ""), event(1, 3, "")}, 1},
		"early end":     {[]*attempt.Event{event(1, 9, "stop")}, 0},
		"after end":     {[]*attempt.Event{event(1, 3, "stop"), event(1, 3, "")}, 1},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			var wire bytes.Buffer
			for _, e := range tc.events {
				if err := attempt.Write(&wire, e); err != nil {
					t.Fatal(err)
				}
			}
			f := attempt.NewEventReader(testAttempt, 3, &wire)
			for range tc.accepted {
				if _, err := f.Next(); err != nil {
					t.Fatal(err)
				}
			}
			_, err := f.Next()
			var mismatch *attempt.MismatchError
			if tc.accepted == len(tc.events) {
				if !errors.Is(err, io.EOF) {
					t.Fatalf("got %v, want io.EOF", err)
				}
			} else if !errors.As(err, &mismatch) {
				t.Fatalf("got %v, want *MismatchError", err)
			}
		})
	}
}

// Guards against half a response that the caller mistakes for a complete one: the slot's host crashes in mid-stream and
// the stream just ends. A stream without its last event must be reported as truncated, wherever it breaks.
func TestStreamWithoutItsLastEventIsTruncated(t *testing.T) {
	var wire bytes.Buffer
	if err := attempt.Write(&wire, &attempt.Event{Attempt: 1, Index: 0, Text: "abc"}); err != nil {
		t.Fatal(err)
	}
	for n := range wire.Len() + 1 {
		f := attempt.NewEventReader(testAttempt, 0, bytes.NewReader(wire.Bytes()[:n]))
		_, err := f.Next()
		if n == wire.Len() {
			_, err = f.Next()
		}
		var truncated *attempt.TruncatedError
		if !errors.As(err, &truncated) {
			t.Fatalf("stream truncated after %d bytes: got %v", n, err)
		}
	}
}

func FuzzEventReader(f *testing.F) {
	f.Add([]byte{0})
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 0xff, 1})
	f.Add([]byte{11, 9, 1, 0, 0, 0, 0, 0, 0, 0, 0x1a, 0})
	f.Fuzz(func(t *testing.T, data []byte) {
		reader := attempt.NewEventReader(testAttempt, 0, bytes.NewReader(data))
		for range len(data) + 2 {
			_, err := reader.Next()
			if err == nil {
				continue
			}
			var truncated *attempt.TruncatedError
			var mismatch *attempt.MismatchError
			if !errors.Is(err, io.EOF) && !errors.As(err, &truncated) && !errors.As(err, &mismatch) {
				t.Fatalf("untyped error %v", err)
			}
			return
		}
		t.Fatal("more events than bytes")
	})
}
