package slot

import (
	"context"
	"crypto/sha256"
	"errors"
	"time"

	"github.com/cardamomyoke/cardamomyoke/internal/base/failure"
	"github.com/cardamomyoke/cardamomyoke/internal/base/httpserver"
	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
	"github.com/cardamomyoke/cardamomyoke/internal/policy/quarantine"
	"github.com/cardamomyoke/cardamomyoke/internal/state/claims"
)

// runOnce runs a request that must not be repeated. It starts only if this attempt holds the claim on the request's key.
func (s *Slot) runOnce(ctx context.Context, x *httpserver.Exchange, j *incomingAttempt) error {
	if j.Key == "" {
		return refuse(failure.CodeKeyRequired, nil)
	}
	verdict := s.claims.Claim(ctx, claimOf(j, time.Now()))
	switch {
	case verdict.Refusal != nil:
		return verdict.Refusal
	case verdict.Outcome != nil:
		return respondPlain(x, j, replayed(verdict.Outcome))
	}
	permit, err := s.acquirePermit(ctx, j)
	if err != nil {
		s.claims.NotStarted(j.Attempt)
		return err
	}
	defer permit.Release(quarantine.Stopped)
	// The fence is checked after the claim and directly before the start. If the entry fenced the attempt while the claim
	// was being written, the attempt does not start and its claim is released.
	if err := s.begin(j); err != nil {
		return s.resolveClaim(j.Attempt, err)
	}
	defer func() { s.attempts.Finish(j.Attempt, time.Now()) }()
	res, err := s.callPlain(ctx, j)
	s.releasePermit(ctx, permit, err)
	if err != nil {
		return s.resolveClaim(j.Attempt, err)
	}
	s.claims.Finished(j.Attempt, claims.Outcome{Status: res.status, ContentType: res.mime, Body: res.body, EndUnproven: res.endUnproven})
	return respondPlain(x, j, res)
}

// replayed returns the response that another attempt of the same request got.
func replayed(o *claims.Outcome) *plainResponse {
	return &plainResponse{status: o.Status, mime: o.ContentType, body: o.Body, endUnproven: o.EndUnproven}
}

// resolveClaim releases a claim if the request provably did not run. Otherwise it marks the outcome as lost.
func (s *Slot) resolveClaim(a ids.Attempt, err error) error {
	var f *failure.Error
	if errors.As(err, &f) && f.Code.Meaning().NotRun {
		s.claims.NotStarted(a)
		return err
	}
	s.metrics.outcomesLost.Inc()
	s.claims.Lost(a)
	return err
}

func claimOf(j *incomingAttempt, now time.Time) claims.Request {
	return claims.Request{
		Client:    j.Client,
		Service:   j.Service,
		Key:       j.Key,
		BodyHash:  sha256.Sum256(j.body),
		Attempt:   j.Attempt,
		Deadline:  now.Add(j.Remaining),
		Retention: time.Duration(j.service.GetOutcomeKeptS()) * time.Second,
	}
}
