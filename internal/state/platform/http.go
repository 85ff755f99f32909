package platform

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/cardamomyoke/cardamomyoke/internal/base/httpclient"
	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
)

const (
	dialTimeout     = 500 * time.Millisecond
	maxConns        = 64
	maxIdleConn     = 30 * time.Second
	maxResponseBody = 64 << 20
)

// HTTP is a client of the platform's protocol that attempts each call once; see Client for retries. It implements
// Service.
type HTTP struct {
	client  *httpclient.Client
	address string
	// places bounds the calls at a time.
	places chan struct{}
	// timeout bounds an attempt whose context has no earlier deadline.
	timeout time.Duration
}

var _ Service = (*HTTP)(nil)

// NewHTTP returns a client of the platform at address, in the form IP:PORT. timeout bounds each attempt.
func NewHTTP(address string, timeout time.Duration) *HTTP {
	return &HTTP{
		timeout: timeout,
		address: address,
		places:  make(chan struct{}, maxConns),
		client:  httpclient.New(httpclient.Options{DialTimeout: dialTimeout, MaxIdle: maxConns, IdleTimeout: maxIdleConn, UnidentifiedFor: maxIdleConn}),
	}
}

// notSentError reports that no byte of a request left this process.
type notSentError struct{ cause error }

func (e *notSentError) Error() string { return fmt.Sprintf("not sent: %v", e.cause) }
func (e *notSentError) Unwrap() error { return e.cause }

// StatusError is a response with a status that the call does not expect.
type StatusError struct {
	Status int
	Body   string
}

// Error implements error.
func (e *StatusError) Error() string { return fmt.Sprintf("status %d: %s", e.Status, e.Body) }

// BusyError reports that as many calls run as are allowed at a time.
type BusyError struct{ Calls int }

// Error implements error.
func (e *BusyError) Error() string { return fmt.Sprintf("%d calls are running", e.Calls) }

// UnframedError reports an object without a length, of which nothing tells whether it is whole.
type UnframedError struct{ Name string }

// Error implements error.
func (e *UnframedError) Error() string { return fmt.Sprintf("object %s came without a length", e.Name) }

// SizeError reports a response that is longer than any valid one.
type SizeError struct{ Limit int }

// Error implements error.
func (e *SizeError) Error() string { return fmt.Sprintf("response is longer than %d bytes", e.Limit) }

type response struct {
	status int
	body   []byte
	// unframed is set if only the close of the connection ended the body.
	unframed bool
}

func (h *HTTP) do(ctx context.Context, method, path string, body []byte) (response, error) {
	if err := ctx.Err(); err != nil {
		return response{}, &notSentError{err}
	}
	deadline := time.Now().Add(h.timeout)
	if d, ok := ctx.Deadline(); ok && d.Before(deadline) {
		deadline = d
	}
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	select {
	case h.places <- struct{}{}:
		defer func() { <-h.places }()
	default:
		return response{}, &notSentError{&BusyError{maxConns}}
	}
	req := &fasthttp.Request{} // not pooled: after an early response it is still being written
	req.Header.SetMethod(method)
	req.SetRequestURI(path)
	req.Header.SetHost(h.address)
	req.Header.SetUserAgent("cardamomyoke")
	req.SetBody(body)
	return h.roundTrip(ctx, req)
}

// roundTrip sends a request once and reads the response. Errors: *notSentError, *SizeError, *httpclient.BrokenError.
func (h *HTTP) roundTrip(ctx context.Context, req *fasthttp.Request) (response, error) {
	res, err := h.client.Do(ctx, h.address, httpclient.Exchange{Request: req})
	var dial *httpclient.DialError
	if errors.As(err, &dial) {
		return response{}, &notSentError{err}
	}
	if err != nil {
		return response{}, err
	}
	out := response{status: res.Status, unframed: res.CloseDelimited}
	out.body, err = io.ReadAll(io.LimitReader(res.Body, maxResponseBody+1))
	if err == nil && len(out.body) > maxResponseBody {
		err = &SizeError{maxResponseBody}
	}
	res.Release(err == nil)
	return out, err
}

// call sends in as JSON and decodes the response into out. It returns a 409 as *ConflictError, and any other status
// except 200 as *StatusError.
func (h *HTTP) call(ctx context.Context, method, path string, in, out any) error {
	var body []byte
	if in != nil {
		data, err := json.Marshal(in)
		if err != nil {
			return &notSentError{err}
		}
		body = data
	}
	r, err := h.do(ctx, method, path, body)
	if err != nil {
		return err
	}
	switch r.status {
	case http.StatusOK:
		return json.Unmarshal(r.body, out)
	case http.StatusConflict:
		var rows RowsResponse
		if err := json.Unmarshal(r.body, &rows); err != nil {
			return err
		}
		return &ConflictError{rows.Rows}
	}
	return &StatusError{r.status, string(r.body)}
}

// classifyWriteError returns the error of a failed write by its effect: *ConflictError or *UnavailableError if the
// write was not applied and never will be, *UnknownOutcomeError otherwise.
func classifyWriteError(op string, id ids.Operation, err error) error {
	var conflict *ConflictError
	if errors.As(err, &conflict) {
		return conflict
	}
	var notSent *notSentError
	if errors.As(err, &notSent) {
		return &UnavailableError{op, err}
	}
	var status *StatusError
	rejected := errors.As(err, &status) && (status.Status == http.StatusServiceUnavailable || status.Status < http.StatusInternalServerError)
	if rejected {
		return &UnavailableError{op, err}
	}
	return &UnknownOutcomeError{id, err}
}

// Get implements Table.
func (h *HTTP) Get(ctx context.Context, keys ...string) ([]Row, error) {
	var out RowsResponse
	if err := h.call(ctx, http.MethodPost, PathGet, GetRequest{keys}, &out); err != nil {
		return nil, &UnavailableError{"get", err}
	}
	return out.Rows, nil
}

// List implements Table.
func (h *HTTP) List(ctx context.Context, prefix, after string, limit int) ([]Row, error) {
	var out RowsResponse
	if err := h.call(ctx, http.MethodPost, PathList, ListRequest{prefix, after, limit}, &out); err != nil {
		return nil, &UnavailableError{"list", err}
	}
	return out.Rows, nil
}

// Commit implements Table.
func (h *HTTP) Commit(ctx context.Context, t Txn) (Result, error) {
	var out Result
	if err := h.call(ctx, http.MethodPost, PathCommit, t, &out); err != nil {
		return Result{}, classifyWriteError("commit", t.Operation, err)
	}
	return out, nil
}

// PutObject implements Objects.
func (h *HTTP) PutObject(ctx context.Context, name string, data []byte) error {
	r, err := h.do(ctx, http.MethodPut, PathObjects+name, data)
	if err == nil {
		switch r.status {
		case http.StatusNoContent, http.StatusOK:
			return nil
		case http.StatusConflict:
			return &ConflictError{[]Row{{Key: name, Version: 1}}}
		}
		err = &StatusError{r.status, string(r.body)}
	}
	return classifyWriteError("put object", ids.Operation(name), err)
}

// GetObject implements Objects.
func (h *HTTP) GetObject(ctx context.Context, name string) ([]byte, error) {
	r, err := h.do(ctx, http.MethodGet, PathObjects+name, nil)
	if err != nil {
		return nil, &UnavailableError{"get object", err}
	}
	switch {
	case r.status == http.StatusOK && r.unframed:
		return nil, &UnavailableError{"get object", &UnframedError{name}}
	case r.status == http.StatusOK:
		return r.body, nil
	case r.status == http.StatusNotFound:
		return nil, &NotFoundError{name}
	}
	return nil, &UnavailableError{"get object", &StatusError{r.status, string(r.body)}}
}

// Hosts implements HostList.
func (h *HTTP) Hosts(ctx context.Context) ([]Host, time.Duration, error) {
	var out HostsResponse
	if err := h.call(ctx, http.MethodGet, PathHosts, nil, &out); err != nil {
		return nil, 0, &UnavailableError{"hosts", err}
	}
	return out.Hosts, time.Duration(out.AgeMS) * time.Millisecond, nil
}

// Rate implements Weights.
func (h *HTTP) Rate(ctx context.Context, group ids.Group) (uint64, error) {
	var out RateResponse
	if err := h.call(ctx, http.MethodGet, PathWeights+string(group), nil, &out); err != nil {
		return 0, &UnavailableError{"rate", err}
	}
	return out.BytesPerSecond, nil
}
