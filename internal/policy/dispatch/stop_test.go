package dispatch_test

import (
	"errors"
	"testing"
	"time"

	"github.com/cardamomyoke/cardamomyoke/internal/policy/dispatch"
)

// Guards against a request that is started although the node stops before it can be finished, and against the refusal of one that can.
func TestStopRefusesWhatCannotBeFinished(t *testing.T) {
	stop := dispatch.Stop{FinishBy: start.Add(4 * time.Second), Repeatable: 2 * time.Second, Once: 3 * time.Second}
	unknown := dispatch.Stop{FinishBy: stop.FinishBy}
	in := func(d time.Duration) time.Time { return start.Add(d) }
	for name, tc := range map[string]struct {
		stop    dispatch.Stop
		at      time.Duration
		request dispatch.Request
		refused bool
	}{
		"takes less than is left":               {stop, 1900 * time.Millisecond, dispatch.Request{EndsBy: in(time.Minute)}, false},
		"takes more than is left":               {stop, 2100 * time.Millisecond, dispatch.Request{EndsBy: in(time.Minute)}, true},
		"may run once, takes more than is left": {stop, 1100 * time.Millisecond, dispatch.Request{EndsBy: in(time.Minute), Once: true}, true},
		"ends before":                           {stop, 2100 * time.Millisecond, dispatch.Request{EndsBy: in(3500 * time.Millisecond)}, false},
		"run times unknown, ends before":        {unknown, 0, dispatch.Request{EndsBy: in(3500 * time.Millisecond)}, false},
		"run times unknown, may end after":      {unknown, 0, dispatch.Request{EndsBy: in(4500 * time.Millisecond)}, true},
		"takes more than is left, has begun":    {stop, 2100 * time.Millisecond, dispatch.Request{EndsBy: in(time.Minute), Begun: true}, false},
		"takes more than is left, may have run": {stop, 2100 * time.Millisecond, dispatch.Request{EndsBy: in(time.Minute), MayHaveRun: true}, false},
		"no stop":                               {dispatch.Stop{}, time.Hour, dispatch.Request{EndsBy: in(time.Minute)}, false},
	} {
		t.Run(name, func(t *testing.T) {
			p := newPool(1, 1)
			now := start.Add(tc.at)
			p.SetStop(tc.stop, now)
			tc.request.Arrived, tc.request.Target, tc.request.Deadline = now, now.Add(time.Hour), now.Add(time.Hour)
			ticket := p.Submit(tc.request, now)
			var stopping *dispatch.StoppingError
			if got := errors.As(ticket.Err(), &stopping); got != tc.refused {
				t.Fatalf("refused %t: %v", got, ticket.Err())
			}
		})
	}
}

// Guards against requests that wait for a place until the node ends, although they can no longer be finished.
func TestStopRefusesWaitingRequests(t *testing.T) {
	p := newPool(1, 1)
	r := dispatch.Request{Arrived: start, Target: start.Add(time.Hour), Deadline: start.Add(time.Hour), EndsBy: start.Add(time.Hour)}
	p.Submit(r, start)
	waits := p.Submit(r, start)
	if decided := p.SetStop(dispatch.Stop{FinishBy: start.Add(4 * time.Second), Repeatable: time.Second}, start); len(decided) != 0 {
		t.Fatal("refused while it can be finished")
	}
	if decided := p.Tick(start.Add(3100 * time.Millisecond)); len(decided) != 1 || decided[0] != waits || waits.Err() == nil {
		t.Fatalf("decided %v", decided)
	}
}
