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
	// sends is how often a change with a lost answer is sent, always with the same operation id.
	sends = 3
)

// EntriesError says that no entry could be reached; nothing was sent.
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

// UnknownError says that the answer to a change was lost: it may or may not have been applied.
type UnknownError struct {
	Operation string
	Cause     error
}

// Error implements error.
func (e *UnknownError) Error() string {
	return fmt.Sprintf("the answer was lost; ask `cardamomyokectl operation %s` whether it was applied: %v", e.Operation, e.Cause)
}

// Unwrap returns the cause.
func (e *UnknownError) Unwrap() error { return e.Cause }

// KeysError says that some flags of TLS are given and not all.
type KeysError struct{}

// Error implements error.
func (*KeysError) Error() string { return "--ca, --certificate and --key go together" }

// connect builds the client. The host of its URL is only a name: dial picks the entry.
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

// dial connects to the first entry that answers. Only dialling moves on to the next entry: what was sent may have been
// done, so it is never sent to a second entry without the same operation id.
func (s *session) dial(ctx context.Context, network, _ string) (net.Conn, error) {
	var last error
	for _, address := range s.entries {
		conn, err := (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, network, address)
		if err == nil {
			return conn, nil
		}
		last = err
	}
	return nil, &EntriesError{s.entries, last}
}

// lost says whether a change that ended with err may have been applied.
func lost(err error) bool {
	var unreached *EntriesError
	if err == nil || errors.As(err, &unreached) {
		return false
	}
	return !connect.IsWireError(err) || connect.CodeOf(err) == connect.CodeUnknown
}

// settle sends a change until its answer arrives. The operation id makes repeats harmless: the platform applies it
// once and returns the first result.
func settle(ctx context.Context, operation string, send func(context.Context) error) error {
	var err error
	for range sends {
		if err = send(ctx); !lost(err) {
			return err
		}
	}
	return &UnknownError{operation, err}
}
