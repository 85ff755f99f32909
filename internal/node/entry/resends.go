package entry

import (
	"errors"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/cardamomyoke/cardamomyoke/internal/base/failure"
	"github.com/cardamomyoke/cardamomyoke/internal/base/httpclient"
	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
	"github.com/cardamomyoke/cardamomyoke/internal/base/logging"
	"github.com/cardamomyoke/cardamomyoke/internal/policy/retry"
)

// maxResendLines is how many lines a second are logged about failed attempts, for requests that may be repeated and for the others.
const maxResendLines = 50

// resendLogs are the rate-limited logs of what followed failed attempts. Requests that may run once have a limit of their own.
type resendLogs struct{ repeatable, once *logging.RateLimited }

func newResendLogs(l log.Logger) *resendLogs {
	return &resendLogs{
		repeatable: logging.NewRateLimited(level.Info(l), maxResendLines, time.Now),
		once:       logging.NewRateLimited(level.Info(l), maxResendLines, time.Now),
	}
}

func (l *resendLogs) of(repeatable bool) *logging.RateLimited {
	if repeatable {
		return l.repeatable
	}
	return l.once
}

// proofSource is where the proof that an attempt has not run comes from.
type proofSource string

const (
	// sourceNone: there is no proof.
	sourceNone proofSource = ""
	// sourceEntry: the entry sent the request to no slot.
	sourceEntry proofSource = "entry"
	// sourceDial: no connection to the slot was established.
	sourceDial proofSource = "dial"
	// sourceSlot: the slot refused the attempt.
	sourceSlot proofSource = "slot"
	// sourceFence: the slot promised never to start the attempt.
	sourceFence proofSource = "fence"
)

// sourceOf returns where the proof in the failure of an attempt at an upstream comes from.
func sourceOf(to ids.Upstream, err error) proofSource {
	f := failure.From(err)
	var dial *httpclient.DialError
	switch {
	case !f.Code.Meaning().NotRun || f.Proof == failure.ProofNone:
		return sourceNone
	case to == "":
		return sourceEntry
	case f.Proof == failure.ProofFenced && f.Cause != nil:
		return sourceFence
	case errors.As(err, &dial):
		return sourceDial
	}
	return sourceSlot
}

// sentAttempt names an attempt in logs.
type sentAttempt struct {
	id      ids.Attempt
	address string
}

// logFailedAttempt logs and counts what follows a failed attempt. The upstream is empty if none was chosen.
func (e *Entry) logFailedAttempt(r *request, to ids.Upstream, err error, d retry.Decision) {
	source := sourceOf(to, err)
	if d.Action == retry.ActionGiveUp {
		e.metrics.gaveUp(r.service, d.Err)
		e.logResend(r, to, err, "request given up", "source", source, "code", d.Err.Code, "told_proof", d.Err.Proof)
		return
	}
	e.metrics.retried(r.service, source)
	e.logResend(r, to, err, "retrying request", "source", source, "action", d.Action)
}

func (e *Entry) logResend(r *request, to ids.Upstream, err error, msg string, more ...any) {
	fields := []any{"msg", msg, "request", r.id, "service", r.service.GetName(), "client", r.client, "revision", r.revision, "upstream", to}
	if to != "" {
		fields = append(fields, "attempt", r.latest.id, "address", r.latest.address)
	}
	fields = append(fields, "repeatable", r.service.GetRepeatable(), "proof", failure.From(err).Proof)
	fields = append(fields, more...)
	_ = e.resends.of(r.service.GetRepeatable()).Log(append(fields, "left_ms", time.Until(r.deadline).Milliseconds(), "err", err)...)
}
