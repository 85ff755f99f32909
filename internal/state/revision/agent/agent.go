// Package agent runs a revision.Node in a process: it carries out the node's effects against the platform and the other
// nodes, and publishes the node's views to request handlers.
//
// Entry processes and slot processes use it in the same way:
//
//	a := agent.New(agent.Config{
//		Self: member, Incarnation: inc, Seeds: peers, Platform: client, Transport: agent.NewRPC(httpClient, "https"), Loop: loop, ...
//	})
//	mux.Handle(agent.Handler(a))          // revision service, on the address that member names
//	loop.Run(ctx, 50*time.Millisecond, a.Tick)
//	v := a.View()                          // for each request: v.Fresh(now), v.Current(), v.Admits(rev, now)
//	a.Leave(ctx)                           // last step of a graceful shutdown, when nothing is in flight
//
// The node's state is accessed only on the control loop. Blocking calls run on their own goroutines and post their results
// to the loop.
package agent

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/cardamomyoke/cardamomyoke/internal/base/control"
	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
	cardamomyokev1 "github.com/cardamomyoke/cardamomyoke/internal/gen/cardamomyoke/v1"
	"github.com/cardamomyoke/cardamomyoke/internal/state/config"
	"github.com/cardamomyoke/cardamomyoke/internal/state/platform"
	"github.com/cardamomyoke/cardamomyoke/internal/state/revision"
	"github.com/cardamomyoke/cardamomyoke/internal/state/revision/store"
)

const (
	tableTimeout  = 2 * time.Second
	sendTimeout   = 2 * time.Second
	fetchTimeout  = 10 * time.Second
	hostsInterval = 10 * time.Second
	// maxSendsPerNode limits the messages in flight to one node, so that an unresponsive node occupies few goroutines.
	maxSendsPerNode = 4
)

// Transport sends messages to other nodes.
type Transport interface {
	Push(ctx context.Context, to *revision.Member, m *revision.Push) error
	Acknowledge(ctx context.Context, to *revision.Member, m *revision.Ack) error
	CatchUp(ctx context.Context, to *revision.Member) (*cardamomyokev1.CatchUpResponse, error)
}

// Config configures an Agent.
type Config struct {
	Self        *revision.Member
	Incarnation ids.Incarnation
	// Seeds are nodes from the settings, one of which provides the state at start while the table is down.
	Seeds     []*revision.Member
	Options   revision.Options
	Platform  store.Platform
	Hosts     platform.HostList // nil if no host list is read
	Transport Transport
	Loop      *control.Loop
	Rand      *rand.Rand
	Logger    log.Logger
	// Clock returns the current time; nil means time.Now.
	Clock func() time.Time
}

// Agent runs one node. Its methods are safe for concurrent use, but Tick must be called on the loop.
type Agent struct {
	config      Config
	store       *store.Store
	node        *revision.Node // accessed on the loop only
	view        atomic.Pointer[revision.View]
	hostsReadAt time.Time // accessed on the loop only
	ctx         context.Context
	cancel      context.CancelFunc

	mu      sync.Mutex
	changed chan struct{}
	sending map[string]int
}

// New returns an agent. It works while its loop runs, until Close is called.
func New(c Config) *Agent {
	if c.Clock == nil {
		c.Clock = time.Now
	}
	if c.Logger == nil {
		c.Logger = log.NewNopLogger()
	}
	a := &Agent{
		config:  c,
		store:   store.New(c.Platform, c.Clock),
		node:    revision.NewNode(c.Self, c.Incarnation, c.Seeds, c.Options, c.Rand, c.Clock()),
		changed: make(chan struct{}),
		sending: map[string]int{},
	}
	a.ctx, a.cancel = context.WithCancel(context.Background())
	a.view.Store(&revision.View{})
	return a
}

// Close cancels the calls in flight.
func (a *Agent) Close() { a.cancel() }

// View returns the newest view; it is never nil.
func (a *Agent) View() *revision.View { return a.view.Load() }

// Current returns the configuration in force, or nil.
func (a *Agent) Current() *config.Snapshot { return a.View().Current() }

// Fresh reports whether this node may take new work at the given time.
func (a *Agent) Fresh(now time.Time) bool { return a.View().Fresh(now) }

// Admits reports whether work that was decided on revision r may start here.
func (a *Agent) Admits(r ids.Revision, now time.Time) bool { return a.View().Admits(r, now) }

// Store returns the store of the log.
func (a *Agent) Store() *store.Store { return a.store }

// Changed returns a channel that is closed when the next view is published.
func (a *Agent) Changed() <-chan struct{} {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.changed
}

// Tick advances the node to now; the control loop calls it.
func (a *Agent) Tick(now time.Time) {
	a.execute(a.node.Tick(now))
	if a.config.Hosts != nil && now.Sub(a.hostsReadAt) >= hostsInterval {
		a.hostsReadAt = now
		go a.readHosts()
	}
}

func (a *Agent) post(f func(now time.Time) []revision.Effect) {
	a.config.Loop.Post(func(now time.Time) { a.execute(f(now)) })
}

// ReceivePush processes a heartbeat from another node.
func (a *Agent) ReceivePush(m *revision.Push) {
	a.post(func(now time.Time) []revision.Effect { return a.node.OnPush(now, m) })
}

// ReceiveAck processes an acknowledgement from another node.
func (a *Agent) ReceiveAck(m *revision.Ack) {
	a.post(func(now time.Time) []revision.Effect { return a.node.OnAck(now, m) })
}

// NotReadyError reports that a node has no configuration in force yet.
type NotReadyError struct{ Node string }

// Error implements error.
func (e *NotReadyError) Error() string { return e.Node + " has no configuration in force yet" }

// HandleCatchUp returns the full state for another node. Errors: *NotReadyError and those of ctx.
func (a *Agent) HandleCatchUp(ctx context.Context) (*cardamomyokev1.CatchUpResponse, error) {
	out := make(chan *cardamomyokev1.CatchUpResponse, 1)
	a.config.Loop.Post(func(time.Time) { out <- a.node.CatchUpReply() })
	select {
	case r := <-out:
		if r == nil {
			return nil, &NotReadyError{a.config.Self.GetName()}
		}
		return r, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Change commits an operator's change; see store.Store.Change. It returns before the log entry is accepted; see Wait.
func (a *Agent) Change(ctx context.Context, meta *cardamomyokev1.ChangeMeta, build store.Build) (*revision.LogEntry, error) {
	e, err := a.store.Change(ctx, a.View().Newest, meta, build)
	if err == nil {
		a.postCommitted(e)
	}
	return e, err
}

// RemoveMembers commits the removal of nodes that an operator has declared dead.
func (a *Agent) RemoveMembers(ctx context.Context, meta *cardamomyokev1.ChangeMeta, names []string) (*revision.LogEntry, error) {
	e, err := a.store.EditRoster(ctx, a.View().Newest, &cardamomyokev1.RosterEdit{Remove: names}, meta)
	if err == nil {
		a.postCommitted(e)
	}
	return e, err
}

func (a *Agent) postCommitted(e *revision.LogEntry) {
	a.post(func(now time.Time) []revision.Effect { return a.node.OnCommitted(now, e) })
}

// Wait returns the first view in which log entry seq is accepted, or the newest view when ctx is done.
func (a *Agent) Wait(ctx context.Context, seq uint64) *revision.View {
	for {
		changed := a.Changed()
		v := a.View()
		if v.Accepted >= seq {
			return v
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return v
		}
	}
}

// Leave removes this node from the roster and returns when the removal is committed or ctx is done. In the second case
// other nodes only notice that this node is unresponsive. New work is refused from the start.
func (a *Agent) Leave(ctx context.Context) {
	a.post(a.node.Leave)
	for {
		changed := a.Changed()
		v := a.View()
		if v.Newest == nil || v.Newest.Roster.Member(a.config.Self.GetName()) == nil {
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

func (a *Agent) publish(v *revision.View) {
	a.view.Store(v)
	a.mu.Lock()
	defer a.mu.Unlock()
	close(a.changed)
	a.changed = make(chan struct{})
}

// execute starts the effects without waiting for them.
func (a *Agent) execute(effects []revision.Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case *revision.Publish:
			a.publish(e.View)
		case *revision.SendPush:
			a.send(e.To, func(ctx context.Context) error { return a.config.Transport.Push(ctx, e.To, e.Msg) })
		case *revision.SendAck:
			a.send(e.To, func(ctx context.Context) error { return a.config.Transport.Acknowledge(ctx, e.To, e.Msg) })
		case *revision.ReadHead:
			go a.readHead(e)
		case *revision.Accept:
			go a.accept(e)
		case *revision.WriteHolds:
			go a.writeHolds(e)
		case *revision.CatchUp:
			go a.catchUp(e)
		case *revision.EditRoster:
			go a.editRoster(e)
		}
	}
}

// send starts a goroutine that sends a message. If maxSendsPerNode messages to the node are in flight, it drops the message,
// as a network may.
func (a *Agent) send(to *revision.Member, deliver func(context.Context) error) {
	if !a.acquireSend(to.GetName()) {
		return
	}
	go func() {
		defer a.releaseSend(to.GetName())
		ctx, cancel := context.WithTimeout(a.ctx, sendTimeout)
		defer cancel()
		if err := deliver(ctx); err != nil {
			_ = level.Debug(a.config.Logger).Log("msg", "cannot send message", "to", to.GetName(), "err", err)
		}
	}()
}

func (a *Agent) acquireSend(to string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.sending[to] >= maxSendsPerNode {
		return false
	}
	a.sending[to]++
	return true
}

func (a *Agent) releaseSend(to string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.sending[to]--
	if a.sending[to] == 0 {
		delete(a.sending, to)
	}
}

func (a *Agent) readHead(e *revision.ReadHead) {
	timeout := tableTimeout
	if e.Full {
		timeout = fetchTimeout
	}
	ctx, cancel := context.WithTimeout(a.ctx, timeout)
	defer cancel()
	rd := a.store.ReadHead(ctx, e.After, e.Full, e.Holds)
	a.post(func(now time.Time) []revision.Effect { return a.node.OnHead(now, rd) })
}

func (a *Agent) accept(e *revision.Accept) {
	ctx, cancel := context.WithTimeout(a.ctx, tableTimeout)
	defer cancel()
	seq, err := a.store.Accept(ctx, e.State)
	if err != nil {
		_ = level.Warn(a.config.Logger).Log("msg", "cannot mark an entry as accepted", "seq", e.State.Seq, "err", err)
	}
	a.post(func(now time.Time) []revision.Effect { return a.node.OnAccepted(now, seq) })
}

func (a *Agent) writeHolds(e *revision.WriteHolds) {
	ctx, cancel := context.WithTimeout(a.ctx, tableTimeout)
	defer cancel()
	if err := a.store.WriteHolds(ctx, a.config.Self.GetName(), e.Row); err != nil {
		_ = level.Warn(a.config.Logger).Log("msg", "cannot write acknowledgements", "err", err)
	}
}

func (a *Agent) catchUp(e *revision.CatchUp) {
	ctx, cancel := context.WithTimeout(a.ctx, fetchTimeout)
	defer cancel()
	var st *revision.State
	r, err := a.config.Transport.CatchUp(ctx, e.From)
	if err == nil {
		st, err = revision.FromProto(r.GetState())
	}
	if err != nil {
		_ = level.Warn(a.config.Logger).Log("msg", "cannot catch up", "from", e.From.GetName(), "err", err)
	}
	a.post(func(now time.Time) []revision.Effect {
		return a.node.OnCatchUp(now, st, r.GetEntries(), r.GetAccepted())
	})
}

func (a *Agent) editRoster(e *revision.EditRoster) {
	ctx, cancel := context.WithTimeout(a.ctx, tableTimeout)
	defer cancel()
	entry, err := a.store.EditRoster(ctx, a.View().Newest, e.Edit, &cardamomyokev1.ChangeMeta{Reason: e.Reason})
	if err != nil {
		_ = level.Warn(a.config.Logger).Log("msg", "cannot change the roster", "err", err)
		return
	}
	a.postCommitted(entry)
}

func (a *Agent) readHosts() {
	ctx, cancel := context.WithTimeout(a.ctx, tableTimeout)
	defer cancel()
	hosts, _, err := a.config.Hosts.Hosts(ctx)
	if err != nil {
		return // a missing response is no evidence about any host
	}
	a.post(func(now time.Time) []revision.Effect { return a.node.OnHosts(now, hosts) })
}
