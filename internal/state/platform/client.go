package platform

import (
	"context"
	"errors"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/sony/gobreaker/v2"

	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
)

// Options are the settings of Client; a zero value stands for the default.
type Options struct {
	// Attempts is the most tries of one call, including the first; default 3.
	Attempts uint `yaml:"attempts"`
	// FirstWait is the mean wait before the second try; it doubles from try to try, each with jitter; default 50ms.
	FirstWait time.Duration `yaml:"-"`
	// MaxWait bounds the wait between tries; default 500ms.
	MaxWait time.Duration `yaml:"-"`
	// Failures is how many tries in a row must fail before the circuit opens; default 5.
	Failures uint32 `yaml:"failures"`
	// Probe is how long an open circuit refuses calls before it lets one through; default 1s.
	Probe time.Duration `yaml:"-"`
}

func (o Options) withDefaults() Options {
	if o.Attempts == 0 {
		o.Attempts = 3
	}
	if o.FirstWait == 0 {
		o.FirstWait = 50 * time.Millisecond
	}
	if o.MaxWait == 0 {
		o.MaxWait = 500 * time.Millisecond
	}
	if o.Failures == 0 {
		o.Failures = 5
	}
	if o.Probe == 0 {
		o.Probe = time.Second
	}
	return o
}

// Client adds retries with jitter and a circuit for long outages to a Service that tries once. A write is sent again
// with its operation id, which the platform applies once, so a lost answer is settled by the next try's.
//
// The circuit is one for each part. While it is open calls fail at once, so that an outage of hours costs the platform
// one probe a second for each node and keeps no goroutine waiting. It implements Service.
type Client struct {
	next    Service
	options Options
	table   *gobreaker.CircuitBreaker[any]
	objects *gobreaker.CircuitBreaker[any]
	hosts   *gobreaker.CircuitBreaker[any]
	weights *gobreaker.CircuitBreaker[any]
}

var _ Service = (*Client)(nil)

// NewClient returns a Client over next.
func NewClient(next Service, o Options) *Client {
	o = o.withDefaults()
	return &Client{
		next:    next,
		options: o,
		table:   circuit("table", o),
		objects: circuit("objects", o),
		hosts:   circuit("hosts", o),
		weights: circuit("weights", o),
	}
}

func circuit(name string, o Options) *gobreaker.CircuitBreaker[any] {
	return gobreaker.NewCircuitBreaker[any](gobreaker.Settings{
		Name:         name,
		Timeout:      o.Probe,
		ReadyToTrip:  func(c gobreaker.Counts) bool { return c.ConsecutiveFailures >= o.Failures },
		IsSuccessful: answered,
	})
}

// answered reports whether the platform did its work, even if it refused.
func answered(err error) bool {
	var conflict *ConflictError
	var missing *NotFoundError
	return err == nil || errors.As(err, &conflict) || errors.As(err, &missing)
}

// Up reports whether the table's circuit lets calls through.
func (c *Client) Up() bool { return c.table.State() != gobreaker.StateOpen }

// try runs one call with retries. It gives up at once when the platform answered or the circuit is open.
func try[T any](ctx context.Context, o Options, b *gobreaker.CircuitBreaker[any], call func() (T, error)) (T, error) {
	wait := backoff.NewExponentialBackOff()
	wait.InitialInterval = o.FirstWait
	wait.MaxInterval = o.MaxWait
	var value T
	var last error
	_, _ = backoff.Retry(ctx, func() (struct{}, error) {
		_, err := b.Execute(func() (any, error) {
			var failed error
			value, failed = call()
			return nil, failed
		})
		last = merge(last, err)
		if answered(err) || isOpen(err) {
			return struct{}{}, nil
		}
		return struct{}{}, err
	}, backoff.WithBackOff(wait), backoff.WithMaxTries(o.Attempts))
	return value, last
}

func isOpen(err error) bool {
	return errors.Is(err, gobreaker.ErrOpenState) || errors.Is(err, gobreaker.ErrTooManyRequests)
}

// merge keeps what must not be forgotten between tries: once the outcome of a write is unknown, a later try that was
// not carried out proves nothing about the earlier one, which may still be under way.
func merge(before, now error) error {
	var unknown *UnknownOutcomeError
	if errors.As(before, &unknown) && !answered(now) {
		return before
	}
	if before != nil && isOpen(now) {
		return before // says why the circuit opened
	}
	return now
}

func unavailable(op string, err error) error {
	if isOpen(err) {
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
		// Without an id a second try could apply the transaction twice.
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

// hostsResponse carries the two results of Hosts through try.
type hostsResponse struct {
	hosts []Host
	age   time.Duration
}

// Hosts implements HostList.
func (c *Client) Hosts(ctx context.Context) ([]Host, time.Duration, error) {
	out, err := try(ctx, c.options, c.hosts, func() (hostsResponse, error) {
		hosts, age, err := c.next.Hosts(ctx)
		return hostsResponse{hosts, age}, err
	})
	return out.hosts, out.age, unavailable("hosts", err)
}

// Rate implements Weights.
func (c *Client) Rate(ctx context.Context, group ids.Group) (uint64, error) {
	bps, err := try(ctx, c.options, c.weights, func() (uint64, error) { return c.next.Rate(ctx, group) })
	return bps, unavailable("rate", err)
}
