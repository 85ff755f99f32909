package entry

import (
	"bytes"
	"errors"
	"strings"
	"testing"

	"github.com/go-kit/log"

	"github.com/cardamomyoke/cardamomyoke/internal/base/failure"
	"github.com/cardamomyoke/cardamomyoke/internal/base/httpclient"
	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
	cardamomyokev1 "github.com/cardamomyoke/cardamomyoke/internal/gen/cardamomyoke/v1"
	"github.com/cardamomyoke/cardamomyoke/internal/policy/retry"
)

// Guards against a retry whose line does not tell the proof, where it came from and which attempt it is about; against outcomes that
// are not counted; and against lines about requests that may be repeated that displace those about the others.
func TestLogNamesProofAndSourceOfEachRetry(t *testing.T) {
	broken := errors.New("connection reset")
	for name, tc := range map[string]struct {
		to   ids.Upstream
		err  error
		want string
	}{
		"not placed":    {"", failure.New(failure.CodeNoUpstream, nil), "proof=never-sent source=entry"},
		"dial":          {"u", failure.New(failure.CodeNoUpstream, &httpclient.DialError{Cause: broken}), "proof=never-sent source=dial"},
		"fence":         {"u", failure.New(failure.CodeNoUpstream, broken).WithProof(failure.ProofFenced), "proof=fenced source=fence"},
		"slot":          {"u", failure.New(failure.CodeStopping, nil).WithProof(failure.ProofRefusedBeforeStart), "proof=refused-before-start source=slot"},
		"may have run":  {"u", failure.New(failure.CodeUpstreamFailed, broken), "proof= source= "},
		"no typed code": {"u", broken, "proof= source= "},
	} {
		t.Run(name, func(t *testing.T) {
			var out bytes.Buffer
			e := &Entry{metrics: newEntryMetrics(), resends: newResendLogs(log.NewLogfmtLogger(&out))}
			r := &request{id: "r1", service: &cardamomyokev1.Service{Name: "pay"}, latest: sentAttempt{ids.Attempt{Entry: "e", Seq: 7}, "127.0.0.1:1"}}
			repeatable := &request{id: "r2", service: &cardamomyokev1.Service{Name: "read", Repeatable: true}}
			for range 20 * maxResendLines {
				e.logFailedAttempt(repeatable, tc.to, tc.err, retry.Decision{Action: retry.ActionRepeat})
			}
			if got := strings.Count(out.String(), "request=r2"); got > 2*maxResendLines {
				t.Errorf("%d lines, the bound is %d a second", got, maxResendLines)
			}
			out.Reset()
			e.logFailedAttempt(r, tc.to, tc.err, retry.Decision{Action: retry.ActionRepeat})
			for _, want := range []string{`msg="retrying request"`, "request=r1", "service=pay", "repeatable=false", tc.want} {
				if !strings.Contains(out.String(), want) {
					t.Errorf("%q is not in %s", want, out.String())
				}
			}
			if named := strings.Contains(out.String(), "attempt=e/7 address=127.0.0.1:1"); named != (tc.to != "") {
				t.Errorf("attempt named: %t in %s", named, out.String())
			}
			out.Reset()
			e.logFailedAttempt(r, tc.to, tc.err, retry.Decision{Action: retry.ActionGiveUp, Err: failure.New(failure.CodeOutcomeUnknown, tc.err)})
			if !strings.Contains(out.String(), `msg="request given up"`) || !strings.Contains(out.String(), "code=outcome-unknown") {
				t.Errorf("got %s", out.String())
			}
			var counted bytes.Buffer
			e.metrics.set.WritePrometheus(&counted)
			if !strings.Contains(counted.String(), `cardamomyoke_entry_outcomes_unknown_total{service="pay"} 1`) {
				t.Errorf("not counted in %s", counted.String())
			}
		})
	}
}

// Guards against a request that is counted as unknown although every attempt is proved not to have run.
func TestProvenOutcomeIsNotCountedAsUnknown(t *testing.T) {
	m := newEntryMetrics()
	m.gaveUp(&cardamomyokev1.Service{Name: "pay"}, failure.New(failure.CodeNoUpstream, nil))
	m.gaveUp(&cardamomyokev1.Service{Name: "read", Repeatable: true}, failure.New(failure.CodeUpstreamFailed, nil))
	var out bytes.Buffer
	m.set.WritePrometheus(&out)
	if strings.Contains(out.String(), "outcomes_unknown_total") {
		t.Errorf("got %s", out.String())
	}
}
