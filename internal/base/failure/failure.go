// Package failure defines the typed refusals and failures that are returned to callers.
//
// Every response that does not come from the upstream carries exactly one Code. The code determines the HTTP status, the
// JSON body and, most importantly, what the caller may conclude: a NotRun code promises that the request was not started
// on any upstream.
package failure

import (
	"errors"
	"fmt"
	"net/http"
	"time"
)

// Code identifies a kind of failure. Codes are stable, because callers and operators' scripts compare them.
type Code string

// Proof is the reason why a request that was refused as "not run" cannot have run.
type Proof string

// The kinds of proof.
const (
	// ProofNone is used with codes that do not promise that the request was not run.
	ProofNone Proof = ""
	// ProofNeverSent means that the entry sent no byte of the request to any slot.
	ProofNeverSent Proof = "never-sent"
	// ProofRefusedBeforeStart means that each slot that received the request refused it before passing it to its upstream.
	ProofRefusedBeforeStart Proof = "refused-before-start"
	// ProofFenced means that the slot promised never to start the attempt, even if it arrives later.
	ProofFenced Proof = "fenced"
)

// The codes that are returned to callers.
const (
	CodeMalformed         Code = "malformed"
	CodeTooLarge          Code = "too-large"
	CodeUnknownService    Code = "unknown-service"
	CodeUnknownClient     Code = "unknown-client"
	CodeUnknownKey        Code = "unknown-key"
	CodeMethodNotAllowed  Code = "method-not-allowed"
	CodeKeyRequired       Code = "idempotency-key-required"
	CodeKeyReused         Code = "idempotency-key-reused"
	CodeOverLimit         Code = "over-limit"
	CodeOverloaded        Code = "overloaded"
	CodeDeadlineUnmet     Code = "deadline-cannot-be-met"
	CodeNoUpstream        Code = "no-upstream"
	CodeStopping          Code = "stopping"
	CodeStaleRevision     Code = "stale-revision"
	CodeStoreUnavailable  Code = "store-unavailable"
	CodeQuarantined       Code = "quarantined"
	CodeRunning           Code = "running"
	CodeOutcomeUnknown    Code = "outcome-unknown"
	CodeDeadlinePassed    Code = "deadline-passed"
	CodeUpstreamFailed    Code = "upstream-failed"
	CodeIncompleteAnswer  Code = "incomplete-answer"
	CodeCancelled         Code = "cancelled"
	CodeInternal          Code = "internal"
	statusClientCancelled      = 499
)

// Meaning describes what a code promises to the caller, as listed in docs/api.md.
type Meaning struct {
	// Status is the HTTP status that carries the code.
	Status int
	// NotRun is set if the request was not started on any upstream.
	NotRun bool
	// Resend is set if the same request may succeed when the caller sends it again.
	Resend bool
	// Text is a one-sentence explanation for people.
	Text string
}

var meanings = map[Code]Meaning{
	CodeMalformed:        {http.StatusBadRequest, true, false, "the request cannot be parsed or lacks a field"},
	CodeTooLarge:         {http.StatusRequestEntityTooLarge, true, false, "the header or body is larger than the limit"},
	CodeUnknownService:   {http.StatusNotFound, true, false, "no service of that name is configured"},
	CodeUnknownClient:    {http.StatusForbidden, true, false, "no client account of that name is configured"},
	CodeUnknownKey:       {http.StatusUnauthorized, true, false, "the key belongs to no client account"},
	CodeMethodNotAllowed: {http.StatusMethodNotAllowed, true, false, "the path does not take that method"},
	CodeKeyRequired:      {http.StatusBadRequest, true, false, "the service is not repeatable and needs an Idempotency-Key"},
	CodeKeyReused:        {http.StatusUnprocessableEntity, true, false, "the Idempotency-Key was used with another body"},
	CodeOverLimit:        {http.StatusTooManyRequests, true, true, "the client has used up its limit"},
	CodeOverloaded:       {http.StatusServiceUnavailable, true, true, "the queue of the class is full"},
	CodeDeadlineUnmet:    {http.StatusServiceUnavailable, true, true, "the deadline cannot be met with the present load"},
	CodeNoUpstream:       {http.StatusServiceUnavailable, true, true, "no upstream can take the request now"},
	CodeStopping:         {http.StatusServiceUnavailable, true, true, "this address is leaving; use another one"},
	CodeStaleRevision:    {http.StatusServiceUnavailable, true, true, "the node cannot know whether its configuration is in force"},
	CodeStoreUnavailable: {http.StatusServiceUnavailable, true, true, "the claim cannot be written, so the request was not started"},
	CodeQuarantined:      {http.StatusUnprocessableEntity, true, false, "the request is suspected of crashing its upstreams"},
	CodeRunning:          {http.StatusConflict, false, true, "the first request with this key is still running"},
	CodeOutcomeUnknown:   {http.StatusConflict, false, false, "the request with this key may have run; it is not run again"},
	CodeDeadlinePassed:   {http.StatusGatewayTimeout, false, false, "the deadline passed before the answer was complete"},
	CodeUpstreamFailed:   {http.StatusBadGateway, false, true, "the upstream failed while it ran the request"},
	CodeIncompleteAnswer: {http.StatusBadGateway, false, true, "the answer broke off and could not be resumed"},
	CodeCancelled:        {statusClientCancelled, false, false, "the caller went away"},
	CodeInternal:         {http.StatusInternalServerError, false, false, "the node met a state that it does not know"},
}

// Codes returns the meaning of every code. The caller must not modify the map.
func Codes() map[Code]Meaning { return meanings }

// Error is a failure with a code. It wraps the cause, if there is one.
type Error struct {
	Code Code
	// Proof is set if the meaning of Code has NotRun set.
	Proof Proof
	// RetryAfter is the time after which the caller may retry; zero if none is suggested.
	RetryAfter time.Duration
	// Field describes the invalid part of the request, if there is one.
	Field string
	// Cause is the underlying error, or nil.
	Cause error
}

// New returns a failure with the given code and cause. A NotRun code gets ProofNeverSent; WithProof sets another proof.
func New(code Code, cause error) *Error {
	e := &Error{Code: code, Cause: cause}
	if code.Meaning().NotRun {
		e.Proof = ProofNeverSent
	}
	return e
}

// WithProof returns a copy of e with the given proof.
func (e *Error) WithProof(p Proof) *Error {
	c := *e
	c.Proof = p
	return &c
}

// WithRetryAfter returns a copy of e with the given RetryAfter.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	c := *e
	c.RetryAfter = d
	return &c
}

// Error implements error.
func (e *Error) Error() string {
	text := fmt.Sprintf("%s: %s", e.Code, e.Code.Meaning().Text)
	if e.Field != "" {
		text += fmt.Sprintf(" (%s)", e.Field)
	}
	if e.Cause != nil {
		text += ": " + e.Cause.Error()
	}
	return text
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// Is reports whether target is a failure with the same code, so that errors.Is(err, failure.New(code, nil)) works.
func (e *Error) Is(target error) bool {
	t, ok := target.(*Error)
	return ok && t.Code == e.Code
}

// Meaning returns the meaning of the code, or that of CodeInternal for an unknown code.
func (c Code) Meaning() Meaning {
	if m, ok := meanings[c]; ok {
		return m
	}
	return meanings[CodeInternal]
}

// From returns the failure that err wraps, or a failure with CodeInternal that wraps err.
func From(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return New(CodeInternal, err)
}

// CodeOf returns the code of the failure that err wraps, or CodeInternal.
func CodeOf(err error) Code { return From(err).Code }
