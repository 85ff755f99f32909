package claims

import (
	"crypto/sha256"
	"fmt"
	"time"

	"github.com/cardamomyoke/cardamomyoke/internal/base/failure"
	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
)

// Request is one attempt at a request that may not be repeated.
type Request struct {
	Client  ids.Client
	Service ids.Service
	// Key is the caller's idempotency key; with Client it identifies the request.
	Key string
	// BodyHash is the SHA-256 of the body.
	BodyHash [sha256.Size]byte
	Attempt  ids.Attempt
	// Deadline is when the caller's patience ends; the request does not start after it.
	Deadline time.Time
	// Keep is for how long the outcome stays in the table after Deadline.
	Keep time.Duration
}

// Outcome is an answer that can be given again.
type Outcome struct {
	// Status is the HTTP status.
	Status      int
	ContentType string
	Body        []byte
}

// Verdict says what to do with an attempt. Exactly one of its three fields is set.
type Verdict struct {
	// Start: this attempt holds the claim and may be handed to the upstream, once.
	Start bool
	// Outcome is the stored answer of an earlier attempt.
	Outcome *Outcome
	// Refusal is the typed answer to the caller.
	Refusal *failure.Error
}

// TooLargeError says that a request ran to its end but its answer was too large to be kept.
type TooLargeError struct {
	// Status is the HTTP status of the answer.
	Status int
}

// Error implements error.
func (e *TooLargeError) Error() string {
	return fmt.Sprintf("claims: the answer with status %d was too large to be kept", e.Status)
}

// RowError says that a row of the table cannot be read as a claim.
type RowError struct {
	Key   string
	Cause error
}

// Error implements error.
func (e *RowError) Error() string { return fmt.Sprintf("claims: row %s: %v", e.Key, e.Cause) }

// Unwrap returns the cause.
func (e *RowError) Unwrap() error { return e.Cause }

func refusal(code failure.Code, cause error) Verdict {
	f := failure.New(code, cause)
	if code.Meaning().NotRun {
		f = f.WithProof(failure.ProofRefusedBeforeStart)
	}
	return Verdict{Refusal: f}
}
