package lockstep

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
)

const (
	// groupIndexInterval is the interval at which a leader checks for new groups and ranks. A rank that is not in the
	// index yet only delays its group's next switch.
	groupIndexInterval = 250 * time.Millisecond
	// maxGroups is the maximum number of groups of a service that one leader controls; the others safely stay on
	// their maps. A switch of one group takes about a tenth of a second of a host's processor.
	maxGroups = 32
	// groupsPerPeriod is how many groups are checked within one period; with more groups each is checked less often.
	groupsPerPeriod = 4
)

// ServiceController controls all groups of one service. Only Run's goroutine may use it.
type ServiceController struct {
	o          ControllerOptions
	groups     *GroupIndex
	running    map[string]*Running
	controlled atomic.Int64
}

// NewServiceController returns a controller without groups. The options' Group must return all upstreams of the
// service.
func NewServiceController(o ControllerOptions) *ServiceController {
	o.Serials = NewSerials()
	return &ServiceController{o: o, groups: NewGroupIndex(), running: map[string]*Running{}}
}

// Run controls the groups until ctx is done.
func (s *ServiceController) Run(ctx context.Context) {
	timer := time.NewTimer(groupIndexInterval)
	defer timer.Stop()
	for {
		s.tick(ctx)
		timer.Reset(groupIndexInterval)
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-s.o.Wake:
			s.wakeAll()
		}
	}
}

func (s *ServiceController) wakeAll() {
	for _, c := range s.running {
		c.Wake()
	}
}

func (s *ServiceController) tick(ctx context.Context) {
	group := s.o.Group()
	isLeader := s.o.Fence() != 0
	if group == nil || !isLeader && !s.isStandby() {
		return
	}
	names := s.groups.Update(ctx, s.o.RankClient, group.Upstreams)
	if !isLeader {
		return
	}
	if len(names) > maxGroups {
		if s.controlled.Load() != maxGroups {
			_ = level.Warn(s.o.Logger).Log("msg", "too many groups for one leader", "groups", len(names), "conducted", maxGroups)
		}
		names = names[:maxGroups]
	}
	s.controlled.Store(int64(len(names)))
	wanted := map[string]bool{}
	for _, name := range names {
		wanted[name] = true
		if s.running[name] == nil {
			s.running[name] = s.startController(ctx, name)
		}
	}
	for name, c := range s.running {
		if !wanted[name] {
			c.Stop()
			delete(s.running, name)
		}
	}
}

// isStandby reports whether the node updates the group index although it is not the leader.
//
// If a leader dies while it holds a group, the group is paused until its successor releases it. The successor must
// not spend that time reading each rank's group.
func (s *ServiceController) isStandby() bool { return s.o.Standby != nil && s.o.Standby() }

func (s *ServiceController) startController(ctx context.Context, name string) *Running {
	o := s.o
	o.Logger = log.With(o.Logger, "group", name)
	o.Group = func() *Group {
		all := s.o.Group()
		if all == nil {
			return nil
		}
		return &Group{Name: name, Upstreams: s.groups.Of(name, all.Upstreams), Engine: all.Engine}
	}
	o.PeriodFactor = func() int { return max(1, int(s.controlled.Load())/groupsPerPeriod) }
	return Start(ctx, func(ctx context.Context, wake <-chan struct{}) {
		o.Wake = wake
		NewController(o).Run(ctx)
	})
}
