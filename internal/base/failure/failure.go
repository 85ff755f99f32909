// Package failure holds the typed refusals and failures that a caller can see.
//
// Every answer that is not the upstream's own carries exactly one Code. The code decides the HTTP status, the JSON
// body and, above all, what the caller may conclude: NotRun codes promise that the request did not start anywhere.
package failure

import (
	"errors"
	"fmt"
	"net/http"
	"time"
)

// Code names one kind of failure. It is stable: callers and operators' scripts compare it.
type Code string

// Proof says why a request that was refused as "not run" cannot have run.
type Proof string

// The kinds of proof that go with a NotRun code.
const (
	// ProofNone goes with codes that do not promise anything about the run.
	ProofNone Proof = ""
	// ProofNeverSent: no byte of the request left the entry towards any slot.
	ProofNeverSent Proof = "never-sent"
	// ProofRefusedBeforeStart: each slot that saw the request refused it before handing it to its upstream.
	ProofRefusedBeforeStart Proof = "refused-before-start"
	// ProofFenced: the slot promised never to start the attempt, whenever it may still arrive.
	ProofFenced Proof = "fenced"
)

// The codes that a caller can see.
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

// Meaning is what a code promises, as printed in docs/api.md.
type Meaning struct {
	// Status is the HTTP status that carries the code.
	Status int
	// NotRun says that the request did not start on any upstream.
	NotRun bool
	// Resend says that the caller may send the same request again with a hope of success.
	Resend bool
	// Text is one sentence for people.
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

// Codes returns each code with its meaning; the map must not be changed.
func Codes() map[Code]Meaning { return meanings }

// Error is a failure with its code. It wraps the cause, if there is one.
type Error struct {
	Code Code
	// Proof is set with each code whose meaning says NotRun.
	Proof Proof
	// RetryAfter is when the caller may come back; zero if the code does not say.
	RetryAfter time.Duration
	// Field names the part of the request at fault, if there is one.
	Field string
	// Cause is the underlying error, or nil.
	Cause error
}

// New returns a failure of the given code. A NotRun code gets ProofNeverSent unless WithProof changes it.
func New(code Code, cause error) *Error {
	e := &Error{Code: code, Cause: cause}
	if code.Meaning().NotRun {
		e.Proof = ProofNeverSent
	}
	return e
}

// WithProof returns a copy of e with another proof.
func (e *Error) WithProof(p Proof) *Error {
	c := *e
	c.Proof = p
	return &c
}

// WithRetryAfter returns a copy of e that tells the caller when to come back.
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

// Is reports whether target is a failure of the same code, so that errors.Is(err, failure.New(code, nil)) works.
func (e *Error) Is(target error) bool {
	t, ok := target.(*Error)
	return ok && t.Code == e.Code
}

// Meaning returns what the code promises; an unknown code means CodeInternal's.
func (c Code) Meaning() Meaning {
	if m, ok := meanings[c]; ok {
		return m
	}
	return meanings[CodeInternal]
}

// From returns the failure that err carries, or one of CodeInternal that wraps it.
func From(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return New(CodeInternal, err)
}

// CodeOf returns the code that err carries, or CodeInternal.
func CodeOf(err error) Code { return From(err).Code }
