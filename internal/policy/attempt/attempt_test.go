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
	t0  = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	one = ids.Attempt{Entry: "e1", Seq: 1}
)

func TestHeaderSurvivesTheWire(t *testing.T) {
	want := attempt.Header{
		Attempt: one, Incarnation: "s1", Service: "desk-model", Client: "c", Revision: 7, Remaining: 900 * time.Millisecond,
		Rank: 2, Key: "k", Resume: 5, Suspicion: 2, Output: 40, Method: "POST", Target: "/slips?x=1", Trace: "00-a-b-01",
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
	var typed *attempt.FieldError
	if _, err := attempt.Read(&h); !errors.As(err, &typed) || typed.Field != attempt.HeaderRemaining {
		t.Fatalf("got %v", err)
	}
}

// The caller is told "not run" after the entry lost sight of its attempt. The slot promised that by fencing; then the
// delayed request arrives after all. If it were started, the caller's resend would run a second time.
func TestAFencedAttemptNeverStarts(t *testing.T) {
	table := attempt.NewTable(t0)
	if !table.Fence(one, t0) {
		t.Fatal("an unseen attempt was not fenced")
	}
	late := t0.Add(attempt.KeptFor + time.Second)
	var refused *attempt.RefusedError
	if err := table.Begin(one, late); !errors.As(err, &refused) {
		t.Fatalf("started after the promise: %v", err)
	}
}

// The caller sees one run of its request: the slot had begun before the entry asked, so it denies the fence, and a
// second copy of the attempt is refused.
func TestAStartedAttemptIsNeitherFencedNorStartedAgain(t *testing.T) {
	table := attempt.NewTable(t0)
	if err := table.Begin(one, t0); err != nil {
		t.Fatal(err)
	}
	if table.Fence(one, t0) {
		t.Fatal("promised not to start what had started")
	}
	table.Finish(one, t0)
	if table.Fence(one, t0) {
		t.Fatal("promised not to start what had finished")
	}
	if err := table.Begin(one, t0); err == nil {
		t.Fatal("started twice")
	}
}

func TestFollowerTakesOnlyItsOwnAnswerInOrder(t *testing.T) {
	event := func(seq uint64, i uint32, finish string) *attempt.Event {
		return &attempt.Event{Attempt: seq, Index: i, Text: "x", Finish: finish}
	}
	tests := map[string]struct {
		events []*attempt.Event
		good   int
	}{
		"in order":     {[]*attempt.Event{event(1, 3, ""), event(1, 4, ""), event(1, 5, "stop")}, 3},
		"crossed":      {[]*attempt.Event{event(2, 3, "")}, 0},
		"gap":          {[]*attempt.Event{event(1, 4, "")}, 0},
		"doubled":      {[]*attempt.Event{event(1, 3, ""), event(1, 3, "")}, 1},
		"end too soon": {[]*attempt.Event{event(1, 9, "stop")}, 0},
		"after end":    {[]*attempt.Event{event(1, 3, "stop"), event(1, 3, "")}, 1},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			var wire bytes.Buffer
			for _, e := range tc.events {
				if err := attempt.Write(&wire, e); err != nil {
					t.Fatal(err)
				}
			}
			f := attempt.NewFollower(one, 3, &wire)
			for range tc.good {
				if _, err := f.Next(); err != nil {
					t.Fatal(err)
				}
			}
			_, err := f.Next()
			var typed *attempt.MismatchError
			if tc.good == len(tc.events) {
				if !errors.Is(err, io.EOF) {
					t.Fatalf("got %v, want the end", err)
				}
			} else if !errors.As(err, &typed) {
				t.Fatalf("got %v, want *MismatchError", err)
			}
		})
	}
}

// The caller would get half an answer that looks whole: the slot's host died in mid-stream, so the stream just ends.
// Without its last event a stream is cut, wherever in an event it breaks.
func TestAStreamWithoutItsLastEventIsCut(t *testing.T) {
	var wire bytes.Buffer
	if err := attempt.Write(&wire, &attempt.Event{Attempt: 1, Index: 0, Text: "abc"}); err != nil {
		t.Fatal(err)
	}
	for n := range wire.Len() + 1 {
		f := attempt.NewFollower(one, 0, bytes.NewReader(wire.Bytes()[:n]))
		_, err := f.Next()
		if n == wire.Len() {
			_, err = f.Next()
		}
		var cut *attempt.CutError
		if !errors.As(err, &cut) {
			t.Fatalf("cut after %d bytes: got %v", n, err)
		}
	}
}

func FuzzFollower(f *testing.F) {
	f.Add([]byte{0})
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 0xff, 1})
	f.Add([]byte{11, 9, 1, 0, 0, 0, 0, 0, 0, 0, 0x1a, 0})
	f.Fuzz(func(t *testing.T, data []byte) {
		follower := attempt.NewFollower(one, 0, bytes.NewReader(data))
		for range len(data) + 2 {
			_, err := follower.Next()
			if err == nil {
				continue
			}
			var cut *attempt.CutError
			var mismatch *attempt.MismatchError
			if !errors.Is(err, io.EOF) && !errors.As(err, &cut) && !errors.As(err, &mismatch) {
				t.Fatalf("untyped error %v", err)
			}
			return
		}
		t.Fatal("more events than bytes")
	})
}
