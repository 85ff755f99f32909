package gateway

import (
	"bytes"
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/go-kit/log"

	"github.com/cardamomyoke/cardamomyoke/internal/base/failure"
	"github.com/cardamomyoke/cardamomyoke/internal/base/httpclient"
	"github.com/cardamomyoke/cardamomyoke/internal/base/httpserver"
	"github.com/cardamomyoke/cardamomyoke/internal/state/catalog"
)

// Guards against a counter that takes an attempt which the gateway gave up for one that its upstream broke off.
func TestAttemptEndOf(t *testing.T) {
	broken := func(cause error) error { return &httpclient.BrokenError{Stage: "read events from", Cause: cause} }
	for _, tc := range []struct {
		err  error
		want attemptEnd
	}{
		{broken(errors.New("reset")), endBroken},
		{&httpclient.DialError{Cause: errors.New("refused")}, endUnreached},
		{&RefusedError{}, endRefused},
		{&MovedError{}, endMoved},
		{&MissingEventError{After: 3, Next: 5}, endMissingEvent},
		{&UnprovenEndError{}, endUnproven},
		{broken(&httpclient.NotAliveError{}), endUnproven},
		{broken(&UnfinishedBodyError{time.Second}), endUnfinished},
		{broken(&httpclient.UnansweredError{}), endUnfinished},
		{&EventError{}, endInvalidEvent},
		{&ResponseError{}, endNotRelayed},
		{fmt.Errorf("relay: %w", &httpserver.ConnectionClosedError{}), endCaller},
	} {
		if got := attemptEndOf(tc.err); got != tc.want {
			t.Errorf("%v: %q, want %q", tc.err, got, tc.want)
		}
	}
}

// Guards against a refused attempt that hides how the answer before it ended.
func TestRefusalDoesNotHideHowAnswerEnded(t *testing.T) {
	n := runOf("")
	n.stream.attemptEvents = 2
	n.recordEnd(t.Context(), &MovedError{}, time.Now())
	n.stream.attemptEvents = 0
	n.recordEnd(t.Context(), &RefusedError{}, time.Now())
	if n.answerEnd != endMoved {
		t.Errorf("ended by %q, want %q", n.answerEnd, endMoved)
	}
}

// Guards against a line that does not tell why an answer was broken off.
func TestBrokenOffAnswersAreCountedByCause(t *testing.T) {
	n := movableRun(&service{}, true)
	n.r.service = &catalog.Service{Name: "s"}
	n.g = &Gateway{metrics: newMetrics()}
	n.answerEnd, n.stoppedBy = endMoved, stopNoPlace
	if fields := n.brokenOff(failure.New(failure.CodeOverloaded, nil), time.Now()); fields != nil {
		t.Errorf("an answer that has not begun: %v", fields)
	}
	if fields := n.brokenOff(failure.New(failure.CodeIncompleteAnswer, nil), time.Now()); len(fields) == 0 {
		t.Fatal("no fields")
	}
	var text bytes.Buffer
	n.g.metrics.set.WritePrometheus(&text)
	if want := `ended_by="moved",not_resumed_by="no upstream for another attempt"} 1`; !strings.Contains(text.String(), want) {
		t.Errorf("metrics lack %s", want)
	}
}

// Guards against callers that leave in large numbers and displace the line of an answer that this gateway broke off.
func TestCallersThatLeaveDoNotDisplaceBrokenOffAnswers(t *testing.T) {
	var text bytes.Buffer
	g := &Gateway{metrics: newMetrics(), requests: newRequestLogs(log.NewLogfmtLogger(&text), LogBounds{Failures: 5})}
	for range 100 {
		g.logWithEnd(g.requests.failures, "s", httpserver.AnswerEnd{WrittenBytes: 2, ClosedBy: httpserver.ClosedByCaller}, nil)
	}
	g.logWithEnd(g.requests.ordinary, "s", httpserver.AnswerEnd{WrittenBytes: 2, ClosedBy: httpserver.ClosedByHandler}, nil)
	if want := "closed_by=" + string(httpserver.ClosedByHandler); !strings.Contains(text.String(), want) {
		t.Errorf("no line has %s", want)
	}
}
