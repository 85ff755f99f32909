package gateway

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"github.com/go-kit/log"

	"github.com/cardamomyoke/cardamomyoke/internal/base/httpclient"
	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
	"github.com/cardamomyoke/cardamomyoke/internal/policy/notrun"
	"github.com/cardamomyoke/cardamomyoke/internal/state/catalog"
)

// Guards against a failed attempt that the log and the counters give another proof than the one that the decision rests on.
func TestProofOfFailedAttempt(t *testing.T) {
	for name, tc := range map[string]struct {
		err  error
		want notrun.Proof
	}{
		"dial":           {&httpclient.DialError{}, notrun.NoConnection},
		"evacuated":      {&EvacuatedUpstreamError{}, notrun.NotWritten},
		"outdated":       {&OutdatedPermitError{}, notrun.NotWritten},
		"other instance": {refusedBy(statusOtherInstance, "b"), notrun.OtherInstance},
		"own 421":        {refusedBy(statusOtherInstance, "a"), notrun.None},
		"refused":        {refusedBy(503, ""), notrun.Refused},
		"after a write":  {&httpclient.BrokenError{Cause: &httpclient.DialError{}}, notrun.None},
		"failed":         {&ResponseError{}, notrun.None},
		"moved":          {&MovedError{}, notrun.None},
		"broken":         {fmt.Errorf("connection reset"), notrun.None},
	} {
		t.Run(name, func(t *testing.T) {
			if got := proofOf(fmt.Errorf("attempt: %w", tc.err)); got != tc.want {
				t.Errorf("got %q, want %q", got, tc.want)
			}
		})
	}
}

// refusedBy returns the error of an attempt at the upstream "a" whose response has the status and names the responder.
func refusedBy(status int, responder ids.Upstream) error {
	res := &httpclient.Response{Status: status, Identified: true, First: true}
	return newRefusedError(&catalog.Upstream{ID: "a"}, res, ResponseInfo{NotRun: true, Instance: responder})
}

// Guards against a request that was withdrawn before it was written, and placed again without a record of that.
func TestLogNamesProofOfPlacingAgain(t *testing.T) {
	var out bytes.Buffer
	g := &Gateway{requests: newRequestLogs(log.NewLogfmtLogger(&out), LogBounds{})}
	n := runOf("")
	n.g, n.upstream, n.address = g, "u", "127.0.0.1:1"
	n.r.call.Attempt, n.r.route = "id", &catalog.Route{Kind: catalog.KindUnsafe}
	n.placeAgain(&EvacuatedUpstreamError{Upstream: "u", DataCentre: "a"})
	for _, want := range []string{`msg="placing request again"`, "request=id", "upstream=u", "address=127.0.0.1:1", "repeatable=false", "proof=not-written", "data centre a is evacuated"} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("%q is not in %s", want, out.String())
		}
	}
}

// Guards against lines about requests that may be repeated that displace those about requests that may run once, and the reverse.
func TestLinesOfResendsHaveBoundOfTheirOwn(t *testing.T) {
	var out bytes.Buffer
	const bound = 20
	logs := newRequestLogs(log.NewLogfmtLogger(&out), LogBounds{Failures: bound})
	for range 1000 {
		_ = logs.resent(true).Log("msg", "repeatable")
	}
	for range bound {
		_ = logs.resent(false).Log("msg", "once")
	}
	if got := strings.Count(out.String(), "msg=once"); got != bound {
		t.Errorf("%d of %d lines about requests that may run once", got, bound)
	}
	if got := strings.Count(out.String(), "msg=repeatable"); got > 2*bound {
		t.Errorf("%d lines, the bound is %d a second", got, bound)
	}
}
