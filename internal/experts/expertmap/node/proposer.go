package node

import (
	"context"
	"fmt"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
	"github.com/cardamomyoke/cardamomyoke/internal/experts/expertmap"
)

// ProposerOptions configures a Proposer.
type ProposerOptions struct {
	Group     ids.Group
	Node      ids.Node
	Config    expertmap.ProposerConfig
	Loop      Loop
	Transport Transport
	// Logger gets the alarms; nil discards them.
	Logger log.Logger
	// Poll is the interval of the state machine's ticks; 0 means DefaultPoll.
	Poll time.Duration
}

// Proposer runs an expertmap.Proposer on the process's control loop.
type Proposer struct {
	opts    ProposerOptions
	node    ids.Node
	machine *expertmap.Proposer
	result  chan expertmap.Result
}

// NewProposer returns a proposer that does nothing before Run.
func NewProposer(o ProposerOptions) *Proposer {
	if o.Poll == 0 {
		o.Poll = DefaultPoll
	}
	if o.Logger == nil {
		o.Logger = log.NewNopLogger()
	}
	return &Proposer{opts: o, node: o.Node, machine: expertmap.NewProposer(o.Config)}
}

// Run ticks the proposer until ctx is done.
func (p *Proposer) Run(ctx context.Context) {
	tick(ctx, p.opts.Poll, func() { p.post(p.machine.Tick) })
}

// Propose switches the group to a map under the lease's fencing token and waits for the result. It returns
// *expertmap.FailedError if the switch fails and *expertmap.BusyError if one is in progress. If ctx is done first, it
// aborts the switch as Stop does, and the slots finish what they have begun.
func (p *Proposer) Propose(ctx context.Context, fence ids.Fence, to expertmap.MapID) (expertmap.Result, error) {
	done := make(chan expertmap.Result, 1)
	busy := make(chan error, 1)
	p.post(func(now time.Time) []expertmap.Effect {
		effects, err := p.machine.Propose(now, fence, to)
		if err != nil {
			busy <- err
			return nil
		}
		p.result = done
		return effects
	})
	select {
	case err := <-busy:
		return expertmap.Result{}, err
	case r := <-done:
		return r, r.Err
	case <-ctx.Done():
		p.Stop()
		return expertmap.Result{}, fmt.Errorf("switch to map %s: %w", to, ctx.Err())
	}
}

// Stop aborts a switch in progress, for example because the lease is lost.
func (p *Proposer) Stop() { p.post(p.machine.Stop) }

func (p *Proposer) receive(m expertmap.Message) {
	p.post(func(now time.Time) []expertmap.Effect { return p.machine.Receive(now, m) })
}

func (p *Proposer) post(f func(now time.Time) []expertmap.Effect) {
	p.opts.Loop.Post(func(now time.Time) { p.execute(f(now)) })
}

func (p *Proposer) execute(effects []expertmap.Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case expertmap.Send:
			p.opts.Transport.Send(p.opts.Group, expertmap.Addr{Proposer: p.node}, e.To, e.Message)
		case expertmap.Result:
			p.result <- e
		case expertmap.Alarm:
			_ = level.Error(p.opts.Logger).Log("msg", "expert map alarm", "group", p.opts.Group, "proposer", p.node, "err", e.Err)
		}
	}
}
