package entry

import (
	"context"
	"testing"
	"time"

	"github.com/cardamomyoke/cardamomyoke/internal/base/failure"
	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
	"github.com/cardamomyoke/cardamomyoke/internal/policy/admission"
	"github.com/cardamomyoke/cardamomyoke/internal/policy/admission/limits"
)

// admittingEntry returns an entry whose client account may spend 100 tokens at once.
func admittingEntry() (*Entry, *request) {
	e := &Entry{limits: limits.New(limits.Defaults(), 1)}
	e.limits.SetLimits(map[ids.Client]limits.Limit{"c": {TokensPerSecond: 100}})
	snap := &request{client: "c", promptTokens: 100, deadline: time.Now().Add(time.Minute)}
	return e, snap
}

// Guards against an entry that crashes because a service is removed after its request was checked.
func TestRequestToRemovedServiceIsRefused(t *testing.T) {
	e, r := admittingEntry()
	r.service = testSnapshot(t).Service("slips")
	err := e.admitAndRun(t.Context(), &view{pools: map[ids.Service]*pool{}}, nil, r)
	if f := failure.From(err); f.Code != failure.CodeNoUpstream || !f.Code.Meaning().NotRun || f.RetryAfter == 0 {
		t.Fatalf("got %v", err)
	}
}

// Guards against a client account that is charged for a request that was cancelled before it started.
func TestRequestCancelledInQueueIsNotCharged(t *testing.T) {
	e, r := admittingEntry()
	r.service = testSnapshot(t).Service("slips")
	full := admission.NewGate(admission.NewQueue(admission.Options{Classes: []admission.Class{{Name: "first", QueueLimit: 10}}}, admission.Capacity{TokensPerSecond: 1e9}))
	v := &view{pools: map[ids.Service]*pool{"slips": {gate: full}}}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	for range 5 {
		if err := e.admitAndRun(ctx, v, nil, r); failure.CodeOf(err) != failure.CodeDeadlineUnmet {
			t.Fatalf("got %v", err)
		}
	}
}
