package platform

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
	api "github.com/cardamomyoke/cardamomyoke/internal/state/platform"
)

// Client is one node's connection to the store; disconnecting it isolates only that node. It implements platform.Service.
type Client struct {
	store        *Store
	name         string
	disconnected atomic.Bool
	usage        struct{ reads, writes atomic.Uint64 }
}

var _ api.Service = (*Client)(nil)

// DisconnectedError is the cause in the errors of calls through a disconnected client.
type DisconnectedError struct{ Client string }

// Error implements error.
func (e *DisconnectedError) Error() string {
	return fmt.Sprintf("%s cannot reach the platform", e.Client)
}

// Client returns a new connection to the store for the node called name.
func (s *Store) Client(name string) *Client { return &Client{store: s, name: name} }

// SetDisconnected disconnects or reconnects the client. Calls in flight still complete.
func (c *Client) SetDisconnected(disconnected bool) { c.disconnected.Store(disconnected) }

// Usage returns the number of calls through this client.
func (c *Client) Usage() Usage { return Usage{c.usage.reads.Load(), c.usage.writes.Load()} }

func (c *Client) begin(op string, counter *atomic.Uint64) error {
	if c.disconnected.Load() {
		return &api.UnavailableError{Op: op, Cause: &DisconnectedError{c.name}}
	}
	counter.Add(1)
	return nil
}

// Get implements platform.Table.
func (c *Client) Get(ctx context.Context, keys ...string) ([]api.Row, error) {
	if err := c.begin("get", &c.usage.reads); err != nil {
		return nil, err
	}
	return c.store.Get(ctx, keys...)
}

// List implements platform.Table.
func (c *Client) List(ctx context.Context, prefix, after string, limit int) ([]api.Row, error) {
	if err := c.begin("list", &c.usage.reads); err != nil {
		return nil, err
	}
	return c.store.List(ctx, prefix, after, limit)
}

// Commit implements platform.Table.
func (c *Client) Commit(ctx context.Context, t api.Txn) (api.Result, error) {
	if err := c.begin("commit", &c.usage.writes); err != nil {
		return api.Result{}, err
	}
	return c.store.Commit(ctx, t)
}

// PutObject implements platform.Objects.
func (c *Client) PutObject(ctx context.Context, name string, data []byte) error {
	if err := c.begin("put object", &c.usage.writes); err != nil {
		return err
	}
	return c.store.PutObject(ctx, name, data)
}

// GetObject implements platform.Objects.
func (c *Client) GetObject(ctx context.Context, name string) ([]byte, error) {
	if err := c.begin("get object", &c.usage.reads); err != nil {
		return nil, err
	}
	return c.store.GetObject(ctx, name)
}

// Hosts implements platform.HostList.
func (c *Client) Hosts(ctx context.Context) ([]api.Host, time.Duration, error) {
	if err := c.begin("hosts", &c.usage.reads); err != nil {
		return nil, 0, err
	}
	return c.store.Hosts(ctx)
}

// Rate implements platform.Weights.
func (c *Client) Rate(ctx context.Context, group ids.Group) (uint64, error) {
	if err := c.begin("rate", &c.usage.reads); err != nil {
		return 0, err
	}
	return c.store.Rate(ctx, group)
}
