package slot

import (
	"bytes"
	"errors"
	"strings"
	"testing"

	"github.com/go-kit/log"

	"github.com/cardamomyoke/cardamomyoke/internal/base/failure"
	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
	cardamomyokev1 "github.com/cardamomyoke/cardamomyoke/internal/gen/cardamomyoke/v1"
	"github.com/cardamomyoke/cardamomyoke/internal/policy/attempt"
)

// Guards against an entry that sends a request again on the word of a slot whose log does not have it, and against lines about other
// requests that displace it.
func TestLogHasEachPromiseOfSlot(t *testing.T) {
	var out bytes.Buffer
	s := &Slot{attemptLogs: newAttemptLogs(log.NewLogfmtLogger(&out))}
	id := ids.Attempt{Entry: "e", Seq: 7}
	once := &incomingAttempt{Header: attempt.Header{Attempt: id, Service: "pay"}, service: &cardamomyokev1.Service{Name: "pay"}}
	repeatable := &incomingAttempt{service: &cardamomyokev1.Service{Name: "read", Repeatable: true}}
	for range 20 * maxAttemptLines {
		s.logFailed(repeatable, errors.New("connection reset"))
	}
	if got := strings.Count(out.String(), "repeatable=true"); got > 2*maxAttemptLines {
		t.Errorf("%d lines, the bound is %d a second", got, maxAttemptLines)
	}
	out.Reset()
	s.logFailed(once, refuse(failure.CodeStopping, nil))
	s.logFailed(once, failure.New(failure.CodeUpstreamFailed, errors.New("connection reset")))
	s.logFailed(&incomingAttempt{Header: attempt.Header{Attempt: id}}, refuse(failure.CodeStaleRevision, nil))
	s.logFence(id, true, true)
	for i, want := range []string{
		`msg="attempt refused" attempt=e/7 service=pay .* code=stopping proof=refused-before-start`,
		`msg="attempt failed" attempt=e/7 service=pay .* code=upstream-failed proof= `,
		`msg="attempt refused" attempt=e/7 .* code=stale-revision proof=refused-before-start`,
		`msg=fence attempt=e/7 current_incarnation=true promised=true`,
	} {
		line := strings.Split(out.String(), "\n")[i]
		before, after, _ := strings.Cut(want, " .* ")
		if !strings.Contains(line, before) || !strings.Contains(line, after) {
			t.Errorf("line %d: got %s, want %s", i, line, want)
		}
	}
}
