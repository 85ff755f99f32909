package slot

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/valyala/fasthttp"
	"go.opentelemetry.io/otel/attribute"

	"github.com/cardamomyoke/cardamomyoke/internal/base/failure"
	"github.com/cardamomyoke/cardamomyoke/internal/base/httpserver"
	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
	cardamomyokev1 "github.com/cardamomyoke/cardamomyoke/internal/gen/cardamomyoke/v1"
	"github.com/cardamomyoke/cardamomyoke/internal/policy/attempt"
	"github.com/cardamomyoke/cardamomyoke/internal/policy/quarantine"
	"github.com/cardamomyoke/cardamomyoke/internal/state/config"
)

// incomingAttempt is an attempt that the slot received from an entry.
type incomingAttempt struct {
	attempt.Header
	service *cardamomyokev1.Service
	body    []byte
	mime    string
	// begun is set once this copy of the attempt has started.
	begun bool
}

func (s *Slot) serve(ctx context.Context, x *httpserver.Exchange) {
	switch string(x.Req.URI().Path()) {
	case attempt.PathRun:
		s.serveRun(ctx, x)
	case attempt.PathFence:
		s.serveFence(x)
	default:
		x.Fail(failure.New(failure.CodeUnknownService, nil).WithProof(failure.ProofRefusedBeforeStart))
	}
}

func (s *Slot) serveFence(x *httpserver.Exchange) {
	id, err := ids.ParseAttempt(string(x.Req.Header.Peek(attempt.HeaderAttempt)))
	if err != nil {
		x.Fail(failure.New(failure.CodeMalformed, err))
		return
	}
	// An earlier incarnation of this slot may have started the attempt, and its record is lost. Only attempts meant for
	// this incarnation can be fenced; otherwise the caller would receive "not run" for a request that ran before the restart.
	current := string(x.Req.Header.Peek(attempt.HeaderIncarnation)) == string(s.incarnation)
	code := fasthttp.StatusConflict
	if current && s.attempts.Fence(id, time.Now()) {
		code = fasthttp.StatusOK
	}
	s.metrics.fences.Inc()
	s.logFence(id, current, code == fasthttp.StatusOK)
	_ = x.Respond(code, []httpserver.Header{{Name: attempt.HeaderFence, Value: id.String()}}, nil)
}

func (s *Slot) serveRun(ctx context.Context, x *httpserver.Exchange) {
	h, err := attempt.Read(&x.Req.Header)
	if err != nil {
		x.Fail(failure.New(failure.CodeMalformed, err).WithProof(failure.ProofRefusedBeforeStart))
		return
	}
	ctx, span := s.tracer.Start(ctx, "slot run", h.Trace, attribute.String("attempt", h.Attempt.String()))
	h.Trace = span.Header()
	ctx, cancel := context.WithTimeout(ctx, h.Remaining)
	defer cancel()
	j := &incomingAttempt{Header: h, body: x.Req.Body(), mime: string(x.Req.Header.ContentType())}
	err = s.run(ctx, x, j)
	if err != nil && !j.begun {
		err = s.fenceRefused(j, failure.From(err))
	}
	span.End(err)
	s.metrics.countAttempt(err)
	if err != nil {
		s.logFailed(j, err)
	}
	if err != nil && !x.Responded() {
		x.Fail(failure.From(err), attemptHeader(h.Attempt))
	}
}

// attemptHeader returns the header field that identifies the attempt to which a response belongs.
func attemptHeader(a ids.Attempt) httpserver.Header {
	return httpserver.Header{Name: attempt.HeaderAttempt, Value: a.String()}
}

// run runs an attempt or refuses it. All refusals before the start of the attempt carry proof that it did not run.
func (s *Slot) run(ctx context.Context, x *httpserver.Exchange, j *incomingAttempt) error {
	if err := s.admit(j, time.Now()); err != nil {
		return err
	}
	if !j.service.GetRepeatable() {
		return s.runOnce(ctx, x, j)
	}
	permit, err := s.acquirePermit(ctx, j)
	if err != nil {
		return err
	}
	defer permit.Release(quarantine.Stopped)
	if err := s.begin(j); err != nil {
		return err
	}
	defer func() { s.attempts.Finish(j.Attempt, time.Now()) }()
	err = s.forward(ctx, x, j)
	s.releasePermit(ctx, permit, err)
	return err
}

// begin marks the attempt as started. It refuses a fenced attempt and a copy of a started one. The refusal of a copy promises
// nothing: it bears the id of the attempt and may reach the entry in place of the lost answer.
func (s *Slot) begin(j *incomingAttempt) error {
	err := s.attempts.Begin(j.Attempt, time.Now())
	if err == nil {
		j.begun = true
		return nil
	}
	cause := fmt.Errorf("begin: %w", err)
	var refused *attempt.RefusedError
	if errors.As(err, &refused) && refused.NeverStarts() {
		return refuse(failure.CodeNoUpstream, cause)
	}
	return failure.New(failure.CodeIncompleteAnswer, cause)
}

// fenceRefused returns the refusal of a copy of an attempt that did not begin. It proves "not run" only if no other copy has begun,
// and none will: the reason of the refusal may cease to hold before the next copy arrives.
func (s *Slot) fenceRefused(j *incomingAttempt, f *failure.Error) error {
	if !f.Code.Meaning().NotRun || s.attempts.Fence(j.Attempt, time.Now()) {
		return f
	}
	return failure.New(failure.CodeIncompleteAnswer, f)
}

func (s *Slot) forward(ctx context.Context, x *httpserver.Exchange, j *incomingAttempt) error {
	if s.settings.Upstream.Kind == KindModel {
		return s.forwardModel(ctx, x, j)
	}
	return s.forwardPlain(ctx, x, j)
}

// refuse returns the refusal of an attempt that this slot has not sent to its upstream.
func refuse(code failure.Code, cause error) *failure.Error {
	return failure.New(code, cause).WithProof(failure.ProofRefusedBeforeStart)
}

// IncarnationError reports that an attempt was meant for another incarnation of this slot.
type IncarnationError struct{ Got, Want ids.Incarnation }

// Error implements error.
func (e *IncarnationError) Error() string {
	return fmt.Sprintf("attempt is for incarnation %s, this is %s", e.Got, e.Want)
}

// RevisionError reports that an attempt is based on a configuration revision that this slot does not admit.
type RevisionError struct{ Got, InForce ids.Revision }

// Error implements error.
func (e *RevisionError) Error() string {
	return fmt.Sprintf("attempt is based on revision %d, but revision %d is in force", e.Got, e.InForce)
}

// admit checks the preconditions of an attempt, and sets its service.
func (s *Slot) admit(j *incomingAttempt, now time.Time) error {
	if s.draining.Load() {
		return refuse(failure.CodeStopping, nil)
	}
	// A restart loses the record of fenced attempts, and an attempt meant for an earlier incarnation may be one of them.
	if j.Incarnation != s.incarnation {
		return refuse(failure.CodeNoUpstream, &IncarnationError{j.Incarnation, s.incarnation})
	}
	snap, err := s.configFor(j.Revision, now)
	if err != nil {
		return err
	}
	j.service = snap.Service(j.Service)
	if j.service == nil || j.Service != s.settings.Service {
		return refuse(failure.CodeUnknownService, nil)
	}
	if j.Remaining <= 0 {
		return refuse(failure.CodeDeadlineUnmet, nil)
	}
	return nil
}

// configFor returns the configuration in force. It refuses work based on a superseded revision: an entry that resumes
// after a pause may still act on a configuration that an operator has replaced, and the caller would get a response based
// on the old one.
func (s *Slot) configFor(r ids.Revision, now time.Time) (*config.Snapshot, error) {
	snap := s.config.Current()
	if snap == nil || !s.config.Fresh(now) {
		return nil, refuse(failure.CodeStaleRevision, nil)
	}
	if !s.config.Admits(r, now) {
		return nil, refuse(failure.CodeStaleRevision, &RevisionError{r, snap.Revision()})
	}
	return snap, nil
}
