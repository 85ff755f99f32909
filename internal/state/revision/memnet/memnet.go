// Package memnet delivers the messages of revision nodes between agents in one process, for tests and benchmarks. It
// marshals each message, counts it, and delivers it after the delay between the two nodes, unless they are partitioned.
package memnet

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	cardamomyokev1 "github.com/cardamomyoke/cardamomyoke/internal/gen/cardamomyoke/v1"
	"github.com/cardamomyoke/cardamomyoke/internal/state/revision"
)

// Receiver is a node that receives messages.
type Receiver interface {
	ReceivePush(m *revision.Push)
	ReceiveAck(m *revision.Ack)
	HandleCatchUp(ctx context.Context) (*cardamomyokev1.CatchUpResponse, error)
}

// UnreachableError reports that a message cannot be delivered.
type UnreachableError struct{ From, To string }

// Error implements error.
func (e *UnreachableError) Error() string { return fmt.Sprintf("%s does not reach %s", e.From, e.To) }

// Net connects receivers by name. It is safe for concurrent use.
type Net struct {
	mu          sync.RWMutex
	nodes       map[string]Receiver
	partitioned func(from, to string) bool
	delay       func(from, to string) time.Duration
	usage       map[string]*Usage
}

// Usage counts the messages and bytes that one node sent and received.
type Usage struct{ Messages, Bytes, Received, ReceivedBytes atomic.Uint64 }

// New returns a net in which all nodes reach each other after delay; a nil function means no delay.
func New(delay func(from, to string) time.Duration) *Net {
	return &Net{nodes: map[string]Receiver{}, delay: delay, usage: map[string]*Usage{}}
}

// Attach makes a node reachable. A nil receiver detaches it, as if its process had exited.
func (n *Net) Attach(name string, r Receiver) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if r == nil {
		delete(n.nodes, name)
		return
	}
	n.nodes[name] = r
	if n.usage[name] == nil {
		n.usage[name] = &Usage{}
	}
}

// Partition sets the function that reports whether a path is blocked; nil unblocks all paths. The function must not block.
func (n *Net) Partition(blocked func(from, to string) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.partitioned = blocked
}

// Usage returns the counters of a node.
func (n *Net) Usage(name string) *Usage {
	n.mu.RLock()
	defer n.mu.RUnlock()
	return n.usage[name]
}

// Transport sends the messages of one node.
type Transport struct {
	net  *Net
	name string
}

// Transport returns the transport of the named node.
func (n *Net) Transport(name string) *Transport { return &Transport{n, name} }

func (t *Transport) route(to string) (Receiver, time.Duration, error) {
	t.net.mu.RLock()
	defer t.net.mu.RUnlock()
	r := t.net.nodes[to]
	if r == nil || t.net.partitioned != nil && t.net.partitioned(t.name, to) {
		return nil, 0, &UnreachableError{t.name, to}
	}
	var d time.Duration
	if t.net.delay != nil {
		d = t.net.delay(t.name, to)
	}
	return r, d, nil
}

func (t *Transport) send(to string, m, empty proto.Message, deliver func(Receiver)) error {
	data, err := proto.Marshal(m)
	if err != nil {
		return &UnreachableError{t.name, to}
	}
	if u := t.net.Usage(t.name); u != nil {
		u.Messages.Add(1)
		u.Bytes.Add(uint64(len(data)))
	}
	r, d, err := t.route(to)
	if err != nil {
		return err
	}
	if err := proto.Unmarshal(data, empty); err != nil {
		return &UnreachableError{t.name, to}
	}
	time.Sleep(d)
	if u := t.net.Usage(to); u != nil {
		u.Received.Add(1)
		u.ReceivedBytes.Add(uint64(len(data)))
	}
	deliver(r)
	return nil
}

// Push delivers a heartbeat.
func (t *Transport) Push(_ context.Context, to *revision.Member, m *revision.Push) error {
	got := &revision.Push{}
	return t.send(to.GetName(), m, got, func(r Receiver) { r.ReceivePush(got) })
}

// Acknowledge delivers an acknowledgement.
func (t *Transport) Acknowledge(_ context.Context, to *revision.Member, m *revision.Ack) error {
	got := &revision.Ack{}
	return t.send(to.GetName(), m, got, func(r Receiver) { r.ReceiveAck(got) })
}

// CatchUp fetches the state of another node.
func (t *Transport) CatchUp(ctx context.Context, to *revision.Member) (*cardamomyokev1.CatchUpResponse, error) {
	r, d, err := t.route(to.GetName())
	if err != nil {
		return nil, err
	}
	time.Sleep(2 * d)
	return r.HandleCatchUp(ctx)
}
