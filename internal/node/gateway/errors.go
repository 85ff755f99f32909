package gateway

import (
	"fmt"
	"time"

	"github.com/cardamomyoke/cardamomyoke/internal/base/httpclient"
	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
	"github.com/cardamomyoke/cardamomyoke/internal/policy/notrun"
	"github.com/cardamomyoke/cardamomyoke/internal/state/catalog"
)

// RefusedError reports that an upstream refused an attempt. Only with a Proof is it certain that the attempt did not run.
type RefusedError struct {
	Upstream ids.Upstream
	Status   int
	// Culprit is the upstream at fault, if it is not the refusing one.
	Culprit ids.Upstream
	// Instance is the responding upstream; empty if the response does not name it.
	Instance ids.Upstream
	// Rest is the time for which the upstream asks for no requests; 0 for none.
	Rest time.Duration
	// Identified is set if the response bore the attempt's id, First if it was the first on its connection.
	Identified, First bool
	// Proof is the proof that the response gives.
	Proof notrun.Proof
}

func newRefusedError(u *catalog.Upstream, res *httpclient.Response, info ResponseInfo) *RefusedError {
	evidence := notrun.Response{
		Status: res.Status, Promised: info.NotRun, Signed: info.Signed, Identified: res.Identified, First: res.First,
		Addressed: u.ID, Responder: info.Instance,
	}
	return &RefusedError{
		Upstream: u.ID, Status: res.Status, Culprit: info.FaultyUpstream, Instance: info.Instance, Rest: info.Rest.Length,
		Identified: res.Identified, First: res.First, Proof: evidence.Proof(),
	}
}

// concernsGroup reports whether the refusal may come from a broken group. One that only asks for rest does not: the
// other ranks of the group serve.
func (e *RefusedError) concernsGroup() bool {
	return e.Status != statusOtherInstance && (e.Rest == 0 || e.Culprit != "")
}

// Error implements error.
func (e *RefusedError) Error() string {
	if e.Proof == notrun.None {
		return fmt.Sprintf("%s refused the request, which may have run: status %d", e.Upstream, e.Status)
	}
	return fmt.Sprintf("%s refused the request before running it: status %d", e.Upstream, e.Status)
}

// ResponseError reports that an upstream's response must not be relayed to the caller.
type ResponseError struct {
	Upstream ids.Upstream
	Status   int
	Reason   string
}

// Error implements error.
func (e *ResponseError) Error() string {
	return fmt.Sprintf("%s responded with status %d: %s", e.Upstream, e.Status, e.Reason)
}

// FailedError reports that an upstream ran the request and responded with a failure of its own.
type FailedError struct {
	Upstream ids.Upstream
	Status   int
}

// Error implements error.
func (e *FailedError) Error() string {
	return fmt.Sprintf("%s failed: status %d", e.Upstream, e.Status)
}
