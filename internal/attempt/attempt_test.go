package attempt_test

import (
	"errors"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/valyala/fasthttp"

	"github.com/cardamomyoke/cardamomyoke/internal/attempt"
	"github.com/cardamomyoke/cardamomyoke/internal/ids"
)

var (
	t0  = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	one = ids.Attempt{Entry: "e1", Seq: 1}
)

func TestHeaderSurvivesTheWire(t *testing.T) {
	want := attempt.Header{
		Attempt: one, Incarnation: "s1", Service: "desk-model", Client: "c", Revision: 7, Remaining: 900 * time.Millisecond,
		Rank: 2, Key: "k", Resume: 5, Alone: true, Method: "POST", Target: "/slips?x=1", Trace: "00-a-b-01",
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
	event := func(id string, i int, finish string) []byte {
		data, err := attempt.Event{Attempt: id, Index: i, Text: "x", Finish: finish}.Encode()
		if err != nil {
			t.Fatal(err)
		}
		return data[len("data: "):]
	}
	tests := map[string]struct {
		before [][]byte
		data   []byte
		ok     bool
	}{
		"first":        {nil, event("e1/1", 3, ""), true},
		"crossed":      {nil, event("e1/2", 3, ""), false},
		"gap":          {nil, event("e1/1", 4, ""), false},
		"doubled":      {[][]byte{event("e1/1", 3, "")}, event("e1/1", 3, ""), false},
		"end":          {[][]byte{event("e1/1", 3, "")}, event("e1/1", 4, "stop"), true},
		"end too soon": {nil, event("e1/1", 9, "stop"), false},
		"after end":    {[][]byte{event("e1/1", 3, "stop")}, event("e1/1", 3, ""), false},
		"not json":     {nil, []byte("{"), false},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			f := attempt.NewFollower(one, 3)
			for _, data := range tc.before {
				if _, err := f.Accept(data); err != nil {
					t.Fatal(err)
				}
			}
			_, err := f.Accept(tc.data)
			var typed *attempt.MismatchError
			if tc.ok != (err == nil) || err != nil && !errors.As(err, &typed) {
				t.Fatalf("got %v, want ok %t", err, tc.ok)
			}
		})
	}
}
