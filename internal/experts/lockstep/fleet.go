package lockstep

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
)

const (
	// rosterEvery is how often a leader looks for new groups and ranks. A rank that is not known yet only delays its group's
	// next switch.
	rosterEvery = 250 * time.Millisecond
	// mostGroups is how many groups of a service one leader conducts; the others keep the map that they have, which is safe.
	// Each takes about a tenth of a second of a host's processor for a switch.
	mostGroups = 32
	// groupsPerPeriod is how many groups are looked at in one period; with more of them each is looked at less often.
	groupsPerPeriod = 4
)

// Fleet conducts all groups of one service. Only Run's goroutine uses it.
type Fleet struct {
	o       ConductorOptions
	roster  *Roster
	running map[string]*Running
	count   atomic.Int64
}

// NewFleet returns a fleet without groups. The options' Group returns all upstreams of the service.
func NewFleet(o ConductorOptions) *Fleet {
	o.Serials = NewSerials()
	return &Fleet{o: o, roster: NewRoster(), running: map[string]*Running{}}
}

// Run conducts until ctx ends.
func (f *Fleet) Run(ctx context.Context) {
	timer := time.NewTimer(rosterEvery)
	defer timer.Stop()
	for {
		f.tick(ctx)
		timer.Reset(rosterEvery)
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-f.o.Wake:
			f.wake()
		}
	}
}

func (f *Fleet) wake() {
	for _, c := range f.running {
		c.Wake()
	}
}

func (f *Fleet) tick(ctx context.Context) {
	group := f.o.Group()
	leads := f.o.Fence() != 0
	if group == nil || !leads && !f.standsBy() {
		return
	}
	names := f.roster.Update(ctx, f.o.Ranks, group.Upstreams)
	if !leads {
		return
	}
	if len(names) > mostGroups {
		if f.count.Load() != mostGroups {
			_ = level.Warn(f.o.Logger).Log("msg", "groups left as they are", "groups", len(names), "conducted", mostGroups)
		}
		names = names[:mostGroups]
	}
	f.count.Store(int64(len(names)))
	wanted := map[string]bool{}
	for _, name := range names {
		wanted[name] = true
		if f.running[name] == nil {
			f.running[name] = f.conduct(ctx, name)
		}
	}
	for name, c := range f.running {
		if !wanted[name] {
			c.Stop()
			delete(f.running, name)
		}
	}
}

// standsBy reports whether the roster is kept without leading.
//
// The group may be held by a leader that has ended, and stands still while its successor asks every rank for its group.
func (f *Fleet) standsBy() bool { return f.o.Standby != nil && f.o.Standby() }

func (f *Fleet) conduct(ctx context.Context, name string) *Running {
	o := f.o
	o.Logger = log.With(o.Logger, "group", name)
	o.Group = func() *Group {
		all := f.o.Group()
		if all == nil {
			return nil
		}
		return &Group{Name: name, Upstreams: f.roster.Of(name, all.Upstreams), Engine: all.Engine}
	}
	o.Share = func() int { return max(1, int(f.count.Load())/groupsPerPeriod) }
	return Start(ctx, func(ctx context.Context, wake <-chan struct{}) {
		o.Wake = wake
		NewConductor(o).Run(ctx)
	})
}
