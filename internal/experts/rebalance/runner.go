package rebalance

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/cardamomyoke/cardamomyoke/internal/base/control"
	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
	"github.com/cardamomyoke/cardamomyoke/internal/experts/expertmap"
	"github.com/cardamomyoke/cardamomyoke/internal/experts/expertmap/node"
	cardamomyokev1 "github.com/cardamomyoke/cardamomyoke/internal/gen/cardamomyoke/v1"
	"github.com/cardamomyoke/cardamomyoke/internal/state/audit"
	"github.com/cardamomyoke/cardamomyoke/internal/state/config"
	"github.com/cardamomyoke/cardamomyoke/internal/state/lease"
	"github.com/cardamomyoke/cardamomyoke/internal/state/lease/manager"
	"github.com/cardamomyoke/cardamomyoke/internal/state/platform"
)

const (
	// turnInterval is the time between two rounds of reports; it is below a third of placement.StallAfter.
	turnInterval = 2 * time.Second
	// checkInterval is the time between two looks at the configuration and the roster.
	checkInterval = time.Second
	// candidates is how many entries want a group's lease, so that one that is lost has a successor at hand.
	candidates = 3
)

// RunnerOptions are what a Runner is made of.
type RunnerOptions struct {
	Node      ids.Node
	Config    config.Source
	Directory *Directory
	Leases    *manager.Manager
	Hub       *node.Hub
	Loop      *control.Loop
	Objects   platform.Objects
	Weights   platform.Weights
	// Audit takes in each switch; nil: it is only logged.
	Audit  func(now time.Time, r *audit.Row)
	Logger log.Logger
}

// Runner carries the duty for every group whose lease its entry holds.
type Runner struct {
	opts   RunnerOptions
	groups map[ids.Group]context.CancelFunc
	looked time.Time
}

// NewRunner returns a runner without duties.
func NewRunner(o RunnerOptions) *Runner {
	return &Runner{opts: o, groups: map[ids.Group]context.CancelFunc{}}
}

// DutyOf names the lease of a group.
func DutyOf(g ids.Group) lease.Duty { return lease.Duty("group/" + string(g)) }

// Tick follows the configuration: one duty a group. It runs on the control loop.
func (r *Runner) Tick(now time.Time) {
	snap := r.opts.Config.Current()
	if snap == nil || now.Sub(r.looked) < checkInterval {
		return
	}
	r.looked = now
	wanted := map[ids.Group]bool{}
	for _, g := range snap.Proto.GetGroups() {
		name := ids.Group(g.GetName())
		wanted[name] = true
		r.opts.Leases.SetWanted(now, DutyOf(name), r.candidate(DutyOf(name)))
		if r.groups[name] == nil {
			ctx, cancel := context.WithCancel(context.Background())
			r.groups[name] = cancel
			go r.serve(ctx, name, g)
		}
	}
	for name, cancel := range r.groups {
		if !wanted[name] {
			cancel()
			delete(r.groups, name)
			r.opts.Leases.SetWanted(now, DutyOf(name), false)
		}
	}
}

// candidate reports whether this entry is among the few that want the duty.
func (r *Runner) candidate(d lease.Duty) bool {
	var names []string
	for _, m := range r.opts.Directory.Members() {
		if m.GetRole() == cardamomyokev1.NodeRole_NODE_ROLE_ENTRY {
			names = append(names, m.GetName())
		}
	}
	for _, name := range lease.Candidates(d, names, candidates) {
		if name == string(r.opts.Node) {
			return true
		}
	}
	return false
}

// Stop gives up all duties.
func (r *Runner) Stop() {
	for _, cancel := range r.groups {
		cancel()
	}
}

// serve takes turns for one group while this entry holds its lease.
func (r *Runner) serve(ctx context.Context, name ids.Group, g *cardamomyokev1.ModelGroup) {
	proposer := node.NewProposer(node.ProposerOptions{
		Group: name,
		Node:  r.opts.Node,
		Config: expertmap.ProposerConfig{
			ID: rand.Uint64(), Ranks: int(g.GetRanks()), Timing: expertmap.DefaultProposerTiming(),
		},
		Loop:      r.opts.Loop,
		Transport: node.NewTransport(ctx, r.opts.Directory.Client, r.opts.Directory.Resolve),
	})
	r.opts.Hub.AddProposer(name, proposer)
	go proposer.Run(ctx)
	var duty *Group
	tick := time.NewTicker(turnInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-tick.C:
			duty = r.turn(ctx, now, name, duty, proposer)
		}
	}
}

// turn takes one turn, if the lease is held; without it what was learned is dropped, since the next holder decides.
func (r *Runner) turn(ctx context.Context, now time.Time, name ids.Group, duty *Group, p *node.Proposer) *Group {
	held := r.opts.Leases.Held(DutyOf(name))
	snap := r.opts.Config.Current()
	if !held.ValidAt(now) || snap.Group(name) == nil {
		return nil
	}
	if duty == nil {
		duty = New(ctx, Options{
			Group: name, Config: snap.Group(name), Ranks: r.opts.Directory, Proposer: p,
			Objects: r.opts.Objects, Weights: r.opts.Weights, Audit: r.opts.Audit, Logger: r.opts.Logger,
		})
	}
	duty.opts.Config = snap.Group(name)
	stay, err := duty.Turn(ctx, now, held.Fence)
	if err != nil {
		_ = level.Warn(r.opts.Logger).Log("msg", "rebalancing turn failed", "group", name, "err", err)
	} else if stay != "" {
		_ = level.Debug(r.opts.Logger).Log("msg", "expert map stays", "group", name, "reason", stay)
	}
	return duty
}
