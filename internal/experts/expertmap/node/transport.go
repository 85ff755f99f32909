package node

import (
	"context"
	"sync"
	"time"

	"connectrpc.com/connect"

	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
	"github.com/cardamomyoke/cardamomyoke/internal/experts/expertmap"
	pb "github.com/cardamomyoke/cardamomyoke/internal/gen/cardamomyoke/v1"
	"github.com/cardamomyoke/cardamomyoke/internal/gen/cardamomyoke/v1/cardamomyokev1connect"
)

// Transport sends messages between processes. It may lose, duplicate, delay and reorder them, and it never blocks.
type Transport interface {
	Send(group ids.Group, from, to expertmap.Addr, m expertmap.Message)
}

// Resolve returns the base URL of an address, or false if it is currently unknown.
type Resolve func(group ids.Group, to expertmap.Addr) (url string, ok bool)

const (
	// queueLength bounds the messages queued for one destination. Further messages are dropped, and the state
	// machines send them again.
	queueLength = 256
	// sendTimeout is longer than any useful delay between two processes.
	sendTimeout = time.Second
	// idleTimeout is how long a destination may get no message before its goroutine ends.
	idleTimeout = time.Minute
)

// ConnectTransport is a Transport over connect-go with one goroutine per destination in use.
type ConnectTransport struct {
	client  connect.HTTPClient
	resolve Resolve
	ctx     context.Context
	mu      sync.Mutex
	queues  map[string]chan *pb.MapEnvelope
}

// NewTransport returns a transport whose goroutines end when ctx is done.
func NewTransport(ctx context.Context, client connect.HTTPClient, resolve Resolve) *ConnectTransport {
	return &ConnectTransport{client: client, resolve: resolve, ctx: ctx, queues: map[string]chan *pb.MapEnvelope{}}
}

// Send implements Transport.
func (c *ConnectTransport) Send(group ids.Group, from, to expertmap.Addr, m expertmap.Message) {
	url, ok := c.resolve(group, to)
	if !ok {
		return
	}
	e, err := encode(group, from, to, m)
	if err != nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	q := c.queues[url]
	if q == nil {
		q = make(chan *pb.MapEnvelope, queueLength)
		c.queues[url] = q
		go c.run(url, q)
	}
	select {
	case q <- e:
	default:
	}
}

func (c *ConnectTransport) run(url string, q chan *pb.MapEnvelope) {
	client := cardamomyokev1connect.NewExpertMapServiceClient(c.client, url)
	idle := time.NewTimer(idleTimeout)
	defer idle.Stop()
	for {
		select {
		case <-c.ctx.Done():
			return
		case <-idle.C:
			if c.removeIdle(url, q) {
				return
			}
		case e := <-q:
			c.deliver(client, batch(e, q))
		}
		idle.Reset(idleTimeout)
	}
}

// removeIdle removes a destination unless a message has been queued for it.
func (c *ConnectTransport) removeIdle(url string, q chan *pb.MapEnvelope) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(q) > 0 {
		return false
	}
	delete(c.queues, url)
	return true
}

// batch returns first and all envelopes queued behind it.
func batch(first *pb.MapEnvelope, q chan *pb.MapEnvelope) []*pb.MapEnvelope {
	envelopes := []*pb.MapEnvelope{first}
	for {
		select {
		case e := <-q:
			envelopes = append(envelopes, e)
		default:
			return envelopes
		}
	}
}

func (c *ConnectTransport) deliver(client cardamomyokev1connect.ExpertMapServiceClient, envelopes []*pb.MapEnvelope) {
	ctx, cancel := context.WithTimeout(c.ctx, sendTimeout)
	defer cancel()
	// An undelivered message is lost; the state machines send it again.
	_, _ = client.DeliverMapMessages(ctx, &pb.DeliverMapMessagesRequest{Envelopes: envelopes})
}
