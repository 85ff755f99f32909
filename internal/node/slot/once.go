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

// runOnce runs a request that may not be repeated: it starts only while this attempt holds the claim on its key.
func (s *Slot) runOnce(ctx context.Context, x *httpserver.Exchange, j *job) error {
	if j.Key == "" {
		return refuse(failure.CodeKeyRequired, nil)
	}
	verdict := s.claims.Claim(ctx, claimOf(j, time.Now()))
	switch {
	case verdict.Refusal != nil:
		return verdict.Refusal
	case verdict.Outcome != nil:
		return respondPlain(x, j, &plainAnswer{verdict.Outcome.Status, verdict.Outcome.ContentType, verdict.Outcome.Body})
	}
	permit, err := s.enter(ctx, j)
	if err != nil {
		s.claims.NotStarted(j.Attempt)
		return err
	}
	defer permit.Release(quarantine.Stopped)
	// The fence is asked after the claim and directly before the start: an entry that gave up while the claim was
	// being written gets its promise, and the claim is given back.
	if err := s.begin(j); err != nil {
		s.claims.NotStarted(j.Attempt)
		return err
	}
	defer func() { s.table.Finish(j.Attempt, time.Now()) }()
	answer, err := s.callPlain(ctx, j)
	s.leave(ctx, permit, err)
	if err != nil {
		return s.settleClaim(j.Attempt, err)
	}
	s.claims.Finished(j.Attempt, claims.Outcome{Status: answer.status, ContentType: answer.mime, Body: answer.body})
	return respondPlain(x, j, answer)
}

// settleClaim gives a claim back if the request provably never reached the service, and else marks it as lost.
func (s *Slot) settleClaim(a ids.Attempt, err error) error {
	var f *failure.Error
	if errors.As(err, &f) && f.Code.Meaning().NotRun {
		s.claims.NotStarted(a)
		return err
	}
	s.claims.Lost(a)
	return err
}

func claimOf(j *job, now time.Time) claims.Request {
	return claims.Request{
		Client:   j.Client,
		Service:  j.Service,
		Key:      j.Key,
		BodyHash: sha256.Sum256(j.body),
		Attempt:  j.Attempt,
		Deadline: now.Add(j.Remaining),
		Keep:     time.Duration(j.service.GetOutcomeKeptS()) * time.Second,
	}
}
