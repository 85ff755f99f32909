package ctl

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/go-kit/log"

	"github.com/cardamomyoke/cardamomyoke/internal/base/keys"
	"github.com/cardamomyoke/cardamomyoke/internal/gen/cardamomyoke/v1/cardamomyokev1connect"
)

const (
	dialTimeout = 2 * time.Second
	// maxSends bounds how often a change is sent if its response is lost, always with the same operation id.
	maxSends = 3
)

// EntriesError reports that no entry could be reached; nothing was sent.
type EntriesError struct {
	Entries []string
	Cause   error
}

// Error implements error.
func (e *EntriesError) Error() string {
	return fmt.Sprintf("no entry of %v answers: %v", e.Entries, e.Cause)
}

// Unwrap returns the cause.
func (e *EntriesError) Unwrap() error { return e.Cause }

// UnknownOutcomeError reports that the response to a change was lost, so that the change may or may not have been applied.
type UnknownOutcomeError struct {
	Operation string
	Cause     error
}

// Error implements error.
func (e *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("the answer was lost; ask `cardamomyokectl operation %s` whether it was applied: %v", e.Operation, e.Cause)
}

// Unwrap returns the cause.
func (e *UnknownOutcomeError) Unwrap() error { return e.Cause }

// KeysError reports that some but not all of the TLS flags are set.
type KeysError struct{}

// Error implements error.
func (*KeysError) Error() string { return "--ca, --certificate and --key go together" }

// connect creates the client. The host in its URL is a placeholder; dial selects the entry.
func (s *session) connect() error {
	if s.keys.Check() != nil {
		return &KeysError{}
	}
	source, err := keys.Load(s.keys, log.NewNopLogger())
	if err != nil {
		return err
	}
	transport, scheme := &http.Transport{DialContext: s.dial}, "http"
	if source != nil {
		transport.TLSClientConfig, scheme = source.Client(), "https"
		s.operator = source.Name()
	}
	s.client = cardamomyokev1connect.NewOperatorServiceClient(&http.Client{Transport: transport}, scheme+"://"+s.entries[0])
	return nil
}

// dial connects to the first reachable entry. Only a failed dial moves on to the next entry: a request that was sent may
// have been executed, so it goes to a second entry only with the same operation id.
func (s *session) dial(ctx context.Context, network, _ string) (net.Conn, error) {
	var lastErr error
	for _, address := range s.entries {
		conn, err := (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, network, address)
		if err == nil {
			return conn, nil
		}
		lastErr = err
	}
	return nil, &EntriesError{s.entries, lastErr}
}

// outcomeUnknown reports whether a change that failed with err may have been applied.
func outcomeUnknown(err error) bool {
	var unreachable *EntriesError
	if err == nil || errors.As(err, &unreachable) {
		return false
	}
	return !connect.IsWireError(err) || connect.CodeOf(err) == connect.CodeUnknown
}

// sendWithRetry calls send, at most maxSends times, until a response arrives, and else returns *UnknownOutcomeError. Resending
// is safe: the platform applies an operation id once and returns the first result.
func sendWithRetry(ctx context.Context, operation string, send func(context.Context) error) error {
	var err error
	for range maxSends {
		if err = send(ctx); !outcomeUnknown(err) {
			return err
		}
	}
	return &UnknownOutcomeError{operation, err}
}
