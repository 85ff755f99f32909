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
	"github.com/cardamomyoke/cardamomyoke/internal/experts/placement/expert"
	cardamomyokev1 "github.com/cardamomyoke/cardamomyoke/internal/gen/cardamomyoke/v1"
	"github.com/cardamomyoke/cardamomyoke/internal/state/audit"
	"github.com/cardamomyoke/cardamomyoke/internal/state/config"
	"github.com/cardamomyoke/cardamomyoke/internal/state/lease"
	"github.com/cardamomyoke/cardamomyoke/internal/state/lease/manager"
	"github.com/cardamomyoke/cardamomyoke/internal/state/platform"
)

const (
	// roundInterval is the time between two rounds of reports. It is below a third of placement.StallAfter.
	roundInterval = 2 * time.Second
	// checkInterval is the time between two checks of the configuration and the roster.
	checkInterval = time.Second
	// candidateCount is the number of entries that contend for a group's lease, so that a dead holder has a
	// successor.
	candidateCount = 3
)

// RunnerOptions configures a Runner.
type RunnerOptions struct {
	Node      ids.Node
	Config    config.Source
	Directory *Directory
	Leases    *manager.Manager
	Hub       *node.Hub
	Loop      *control.Loop
	Objects   platform.Objects
	Weights   platform.Weights
	// Audit records each switch. If it is nil, switches are only logged.
	Audit  func(now time.Time, r *audit.Row)
	Logger log.Logger
}

// Runner carries out the duty for every group whose lease its entry holds.
type Runner struct {
	opts      RunnerOptions
	groups    map[ids.Group]runningGroup
	lastCheck time.Time
}

// runningGroup is a group whose rounds run; its shape is fixed for as long as they do.
type runningGroup struct {
	shape expert.Shape
	stop  context.CancelFunc
}

// NewRunner returns a runner without groups.
func NewRunner(o RunnerOptions) *Runner {
	return &Runner{opts: o, groups: map[ids.Group]runningGroup{}}
}

// DutyOf returns the name of a group's lease.
func DutyOf(g ids.Group) lease.Duty { return lease.Duty("group/" + string(g)) }

// Tick starts and stops groups to match the configuration, with one duty per group. It runs on the control loop.
func (r *Runner) Tick(now time.Time) {
	snap := r.opts.Config.Current()
	if snap == nil || now.Sub(r.lastCheck) < checkInterval {
		return
	}
	r.lastCheck = now
	wanted := map[ids.Group]bool{}
	for _, g := range snap.Proto.GetGroups() {
		name := ids.Group(g.GetName())
		wanted[name] = true
		r.opts.Leases.SetWanted(now, DutyOf(name), r.isCandidate(DutyOf(name)))
		r.startGroup(name, g)
	}
	for name, running := range r.groups {
		if !wanted[name] {
			running.stop()
			delete(r.groups, name)
			r.opts.Leases.SetWanted(now, DutyOf(name), false)
		}
	}
}

// startGroup starts the rounds of a group, or starts them again if the group's shape has changed.
func (r *Runner) startGroup(name ids.Group, g *cardamomyokev1.ModelGroup) {
	running, found := r.groups[name]
	if found && running.shape == shapeOf(g) {
		return
	}
	if found {
		running.stop()
	}
	ctx, cancel := context.WithCancel(context.Background())
	r.groups[name] = runningGroup{shape: shapeOf(g), stop: cancel}
	go r.runGroup(ctx, name, g)
}

// isCandidate reports whether this entry is among the few that contend for the duty.
func (r *Runner) isCandidate(d lease.Duty) bool {
	var names []string
	for _, m := range r.opts.Directory.Members() {
		if m.GetRole() == cardamomyokev1.NodeRole_NODE_ROLE_ENTRY {
			names = append(names, m.GetName())
		}
	}
	for _, name := range lease.Candidates(d, names, candidateCount) {
		if name == string(r.opts.Node) {
			return true
		}
	}
	return false
}

// Stop ends all duties.
func (r *Runner) Stop() {
	for _, running := range r.groups {
		running.stop()
	}
}

// runGroup runs rounds for one group while this entry holds its lease.
func (r *Runner) runGroup(ctx context.Context, name ids.Group, g *cardamomyokev1.ModelGroup) {
	proposer := node.NewProposer(node.ProposerOptions{
		Group: name,
		Node:  r.opts.Node,
		Config: expertmap.ProposerConfig{
			ID: rand.Uint64(), Ranks: int(g.GetRanks()), Timing: expertmap.DefaultProposerTiming(),
		},
		Loop:      r.opts.Loop,
		Transport: node.NewTransport(ctx, r.opts.Directory.Client, r.opts.Directory.Resolve),
		Logger:    r.opts.Logger,
	})
	r.opts.Hub.AddProposer(name, proposer)
	go proposer.Run(ctx)
	var rebalancer *GroupRebalancer
	tick := time.NewTicker(roundInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-tick.C:
			rebalancer = r.runRound(ctx, now, name, rebalancer, proposer)
		}
	}
}

// runRound runs one round if the lease is held and returns the group's state for the next one. Otherwise it drops the
// state, because the next holder decides.
func (r *Runner) runRound(ctx context.Context, now time.Time, name ids.Group, rebalancer *GroupRebalancer, p *node.Proposer) *GroupRebalancer {
	held := r.opts.Leases.Held(DutyOf(name))
	snap := r.opts.Config.Current()
	if !held.ValidAt(now) || snap.Group(name) == nil {
		return nil
	}
	if rebalancer == nil {
		rebalancer = New(ctx, Options{
			Group: name, Config: snap.Group(name), RankClient: r.opts.Directory, Proposer: p,
			Objects: r.opts.Objects, Weights: r.opts.Weights, Audit: r.opts.Audit, Logger: r.opts.Logger,
		})
	}
	rebalancer.opts.Config = snap.Group(name)
	ctx, cancel := whileHeld(ctx, func() lease.HeldLease { return r.opts.Leases.Held(DutyOf(name)) }, held.Fence)
	defer cancel()
	stay, err := rebalancer.RunRound(ctx, now, held.Fence)
	if err != nil {
		_ = level.Warn(r.opts.Logger).Log("msg", "rebalancing round failed", "group", name, "err", err)
	} else if stay != "" {
		_ = level.Debug(r.opts.Logger).Log("msg", "expert map stays", "group", name, "reason", stay)
	}
	return rebalancer
}

// leaseCheckInterval is the interval at which a running round checks that its lease is still held.
const leaseCheckInterval = 100 * time.Millisecond

// whileHeld returns a context that is done once the lease is no longer held under the fencing token. A switch may take minutes,
// and the next holder could not begin its own before this one is aborted.
func whileHeld(ctx context.Context, held func() lease.HeldLease, f ids.Fence) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	go func() {
		tick := time.NewTicker(leaseCheckInterval)
		defer tick.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case now := <-tick.C:
				if h := held(); h.Fence != f || !h.ValidAt(now) {
					cancel()
				}
			}
		}
	}()
	return ctx, cancel
}
