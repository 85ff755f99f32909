package platform

import (
	"context"
	"errors"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/sony/gobreaker/v2"

	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
)

// Options configures a Client; a zero value selects the default.
type Options struct {
	// Attempts is the maximum number of attempts of one call, including the first; default 3.
	Attempts uint `yaml:"attempts"`
	// InitialWait is the mean wait before the second attempt; the mean grows by half from attempt to attempt, and
	// each wait has jitter; default 50ms.
	InitialWait time.Duration `yaml:"-"`
	// MaxWait bounds the mean wait between attempts; default 500ms.
	MaxWait time.Duration `yaml:"-"`
	// Failures is the number of consecutive failed attempts after which the circuit opens; default 5.
	Failures uint32 `yaml:"failures"`
	// ProbeAfter is how long an open circuit rejects calls before it lets one through; default 1s.
	ProbeAfter time.Duration `yaml:"-"`
}

func (o Options) withDefaults() Options {
	if o.Attempts == 0 {
		o.Attempts = 3
	}
	if o.InitialWait == 0 {
		o.InitialWait = 50 * time.Millisecond
	}
	if o.MaxWait == 0 {
		o.MaxWait = 500 * time.Millisecond
	}
	if o.Failures == 0 {
		o.Failures = 5
	}
	if o.ProbeAfter == 0 {
		o.ProbeAfter = time.Second
	}
	return o
}

// Client adds retries with jitter, and circuit breakers for long outages, to a Service that attempts each call once.
// A write is repeated with its operation ID. The platform applies an operation once, so a retry resolves a lost
// response.
//
// The table, the object store, the host list and the weight store have one circuit breaker each. While it is open,
// calls fail immediately, so that an outage of hours costs the platform one probe per second and node and keeps no
// goroutine waiting. Client implements Service.
type Client struct {
	next    Service
	options Options
	table   *gobreaker.CircuitBreaker[any]
	objects *gobreaker.CircuitBreaker[any]
	hosts   *gobreaker.CircuitBreaker[any]
	weights *gobreaker.CircuitBreaker[any]
}

var _ Service = (*Client)(nil)

// NewClient returns a Client that calls next.
func NewClient(next Service, o Options) *Client {
	o = o.withDefaults()
	return &Client{
		next:    next,
		options: o,
		table:   newBreaker("table", o),
		objects: newBreaker("objects", o),
		hosts:   newBreaker("hosts", o),
		weights: newBreaker("weights", o),
	}
}

func newBreaker(name string, o Options) *gobreaker.CircuitBreaker[any] {
	return gobreaker.NewCircuitBreaker[any](gobreaker.Settings{
		Name:         name,
		Timeout:      o.ProbeAfter,
		ReadyToTrip:  func(c gobreaker.Counts) bool { return c.ConsecutiveFailures >= o.Failures },
		IsSuccessful: processed,
	})
}

// processed reports whether the platform processed the call, even if it rejected it.
func processed(err error) bool {
	var conflict *ConflictError
	var notFound *NotFoundError
	return err == nil || errors.As(err, &conflict) || errors.As(err, &notFound)
}

// Up reports whether the table's circuit breaker lets calls through.
func (c *Client) Up() bool { return c.table.State() != gobreaker.StateOpen }

// try runs one call with retries. It stops as soon as the platform has processed the call or the circuit is open.
func try[T any](ctx context.Context, o Options, b *gobreaker.CircuitBreaker[any], call func() (T, error)) (T, error) {
	wait := backoff.NewExponentialBackOff()
	wait.InitialInterval = o.InitialWait
	wait.MaxInterval = o.MaxWait
	var value T
	var last error
	_, _ = backoff.Retry(ctx, func() (struct{}, error) {
		_, err := b.Execute(func() (any, error) {
			var callErr error
			value, callErr = call()
			return nil, callErr
		})
		last = mergeErrors(last, err)
		if processed(err) || isBreakerOpen(err) {
			return struct{}{}, nil
		}
		return struct{}{}, err
	}, backoff.WithBackOff(wait), backoff.WithMaxTries(o.Attempts))
	return value, last
}

func isBreakerOpen(err error) bool {
	return errors.Is(err, gobreaker.ErrOpenState) || errors.Is(err, gobreaker.ErrTooManyRequests)
}

// mergeErrors returns the error of a call after another attempt. An unknown outcome of a write is retained: a later
// attempt that was not carried out proves nothing about the earlier one, which may still take effect.
func mergeErrors(previous, latest error) error {
	var unknown *UnknownOutcomeError
	if errors.As(previous, &unknown) && !processed(latest) {
		return previous
	}
	if previous != nil && isBreakerOpen(latest) {
		return previous // the failure that opened the circuit
	}
	return latest
}

func unavailable(op string, err error) error {
	if isBreakerOpen(err) {
		return &UnavailableError{op, err}
	}
	return err
}

// Get implements Table.
func (c *Client) Get(ctx context.Context, keys ...string) ([]Row, error) {
	rows, err := try(ctx, c.options, c.table, func() ([]Row, error) { return c.next.Get(ctx, keys...) })
	return rows, unavailable("get", err)
}

// List implements Table.
func (c *Client) List(ctx context.Context, prefix, after string, limit int) ([]Row, error) {
	rows, err := try(ctx, c.options, c.table, func() ([]Row, error) { return c.next.List(ctx, prefix, after, limit) })
	return rows, unavailable("list", err)
}

// Commit implements Table.
func (c *Client) Commit(ctx context.Context, t Txn) (Result, error) {
	if t.Operation == "" {
		// Without an operation ID a retry could apply the transaction twice.
		t.Operation = ids.NewOperation()
	}
	res, err := try(ctx, c.options, c.table, func() (Result, error) { return c.next.Commit(ctx, t) })
	return res, unavailable("commit", err)
}

// PutObject implements Objects.
func (c *Client) PutObject(ctx context.Context, name string, data []byte) error {
	_, err := try(ctx, c.options, c.objects, func() (struct{}, error) { return struct{}{}, c.next.PutObject(ctx, name, data) })
	return unavailable("put object", err)
}

// GetObject implements Objects.
func (c *Client) GetObject(ctx context.Context, name string) ([]byte, error) {
	data, err := try(ctx, c.options, c.objects, func() ([]byte, error) { return c.next.GetObject(ctx, name) })
	return data, unavailable("get object", err)
}

// hostsResult carries the two results of Hosts through try.
type hostsResult struct {
	hosts []Host
	age   time.Duration
}

// Hosts implements HostList.
func (c *Client) Hosts(ctx context.Context) ([]Host, time.Duration, error) {
	out, err := try(ctx, c.options, c.hosts, func() (hostsResult, error) {
		hosts, age, err := c.next.Hosts(ctx)
		return hostsResult{hosts, age}, err
	})
	return out.hosts, out.age, unavailable("hosts", err)
}

// Rate implements Weights.
func (c *Client) Rate(ctx context.Context, group ids.Group) (uint64, error) {
	bps, err := try(ctx, c.options, c.weights, func() (uint64, error) { return c.next.Rate(ctx, group) })
	return bps, unavailable("rate", err)
}
