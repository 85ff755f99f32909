package claims

import (
	"crypto/sha256"
	"fmt"
	"time"

	"github.com/cardamomyoke/cardamomyoke/internal/base/failure"
	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
)

// Request asks for the claim of one attempt at a non-repeatable request.
type Request struct {
	Client  ids.Client
	Service ids.Service
	// Key is the client's idempotency key. Client and Key together identify the request.
	Key string
	// BodyHash is the SHA-256 of the request body.
	BodyHash [sha256.Size]byte
	Attempt  ids.Attempt
	// Deadline is the time at which the caller times out. The request does not start after it.
	Deadline time.Time
	// Retention is the time that the outcome stays in the table after Deadline.
	Retention time.Duration
}

// Outcome is the upstream's response, in the form in which it is stored and replayed.
type Outcome struct {
	// Status is the HTTP status.
	Status      int
	ContentType string
	Body        []byte
	// EndUnproven is set if only the close of the upstream's connection tells that the body is complete.
	EndUnproven bool
}

// Verdict is the decision on an attempt. Exactly one of its three fields is set.
type Verdict struct {
	// Start is set if this attempt holds the claim and may be sent to the upstream, once.
	Start bool
	// Outcome is the stored response of an earlier attempt.
	Outcome *Outcome
	// Refusal is the error for the caller.
	Refusal *failure.Error
}

// TooLargeError reports that a request finished but its response was too large to store.
type TooLargeError struct {
	// Status is the HTTP status of the response.
	Status int
}

// Error implements error.
func (e *TooLargeError) Error() string {
	return fmt.Sprintf("claims: response with status %d was too large to store", e.Status)
}

// RowError reports that a row of the table cannot be decoded as a claim or a list of claims.
type RowError struct {
	Key   string
	Cause error
}

// Error implements error.
func (e *RowError) Error() string { return fmt.Sprintf("claims: row %s: %v", e.Key, e.Cause) }

// Unwrap returns Cause.
func (e *RowError) Unwrap() error { return e.Cause }

func refusal(code failure.Code, cause error) Verdict {
	f := failure.New(code, cause)
	if code.Meaning().NotRun {
		f = f.WithProof(failure.ProofRefusedBeforeStart)
	}
	return Verdict{Refusal: f}
}
