package lockstep_test

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"

	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
	"github.com/cardamomyoke/cardamomyoke/internal/experts/lockstep"
	"github.com/cardamomyoke/cardamomyoke/internal/state/catalog"
)

// testService is a service with several groups whose ranks have the same numbers.
type testService struct {
	mu        sync.Mutex
	groups    map[string]*group
	addresses map[ids.Upstream]rankAddress
	counts    float64
}

type rankAddress struct {
	group string
	rank  int
}

var errUnknown = errors.New("no such rank")

func newTestService(names []string, ranks int) (*testService, []*catalog.Upstream) {
	s := &testService{groups: map[string]*group{}, addresses: map[ids.Upstream]rankAddress{}}
	var list []*catalog.Upstream
	for r := range ranks {
		for _, name := range names {
			if s.groups[name] == nil {
				s.groups[name] = newGroup(ranks)
			}
			id := ids.Upstream(fmt.Sprintf("%s-%d", name, r))
			s.addresses[id] = rankAddress{name, r}
			list = append(list, &catalog.Upstream{ID: id})
		}
	}
	return s, list
}

func (s *testService) find(u *catalog.Upstream) (*group, rankAddress, error) {
	p, ok := s.addresses[u.ID]
	if !ok {
		return nil, p, errUnknown
	}
	return s.groups[p.group], p, nil
}

func (s *testService) Report(_ context.Context, u *catalog.Upstream) (lockstep.Report, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	g, p, err := s.find(u)
	if err != nil {
		return lockstep.Report{}, err
	}
	report := *g.reports()[p.rank]
	report.Group = p.group
	return report, nil
}

// Counts reports one expert in demand, a different one in each group.
func (s *testService) Counts(_ context.Context, u *catalog.Upstream, _ int) (lockstep.CountStart, lockstep.Counts, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	g, p, err := s.find(u)
	if err != nil {
		return lockstep.CountStart{}, nil, err
	}
	s.counts += 5000
	set := []float64{1, 1, 1, 1}
	set[len(p.group)%4] = s.counts
	return lockstep.CountStart{Epoch: g.epoch}, lockstep.Counts{set}, nil
}

func (s *testService) HeldExperts(_ context.Context, u *catalog.Upstream) (lockstep.HeldExperts, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	g, p, err := s.find(u)
	if err != nil {
		return lockstep.HeldExperts{}, err
	}
	return lockstep.HeldExperts{Epoch: g.epoch, Version: g.ranks[p.rank].inUse, Experts: [][]int{{p.rank, p.rank + 2}}}, nil
}

func (s *testService) ReadsWithoutPause(*catalog.Upstream) bool { return true }

func (s *testService) Order(_ context.Context, u *catalog.Upstream, o lockstep.Order) (lockstep.Reply, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	g, p, err := s.find(u)
	if err != nil {
		return lockstep.ReplyLost, err
	}
	if o.Op == lockstep.OpPrepare && len(o.Placement[0]) != len(g.ranks) {
		g.mixed = append(g.mixed, fmt.Sprintf("%s got a map of %d ranks", u.ID, len(o.Placement[0])))
	}
	o.Rank = p.rank
	return g.order(o), nil
}

func (s *testService) step() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, g := range s.groups {
		g.step()
	}
}

// Guards against wrong responses from passes under two maps. A service has three groups whose ranks are listed in mixed
// order; if they were treated as one group, a switch would leave out two thirds of each group's ranks. Each group must
// be switched separately, to a map of its own ranks.
func TestEachGroupIsSwitchedSeparately(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, list := newTestService([]string{"a", "bb", "ccc"}, 2)
		controller := lockstep.NewServiceController(lockstep.ControllerOptions{
			RankClient: s, Logger: log.NewNopLogger(),
			Group: func() *lockstep.Group {
				return &lockstep.Group{Upstreams: list, Engine: &catalog.Engine{Experts: &catalog.Experts{Sets: 1, PerSet: 4, MaxPerRank: 4, Spare: 2}}}
			},
			Fence:  func() ids.Fence { return 7 },
			Period: 500 * time.Millisecond, HalfLife: 500 * time.Millisecond, Sample: 2, SampleLocal: 2,
			Policy: lockstep.Options{MinGain: 0.01, MinCounts: 1},
		})
		ctx, cancel := context.WithCancel(t.Context())
		go controller.Run(ctx)
		for range 8000 {
			time.Sleep(time.Millisecond)
			s.step()
		}
		cancel()
		synctest.Wait()
		s.mu.Lock()
		defer s.mu.Unlock()
		var versions []uint64
		for name, g := range s.groups {
			if len(g.mixed) > 0 {
				t.Fatalf("group %s: %s", name, g.mixed[0])
			}
			if g.ranks[0].inUse == 0 {
				t.Errorf("group %s was never switched", name)
			}
			versions = append(versions, g.ranks[0].newest)
		}
		slices.Sort(versions)
		if len(slices.Compact(versions)) != len(s.groups) {
			t.Fatalf("two groups share a version: %v", versions)
		}
	})
}

// slowReports is a service that counts the reports it returns, each after reportDelay.
type slowReports struct {
	*testService
	reports atomic.Int64
}

const reportDelay = 100 * time.Millisecond

func (a *slowReports) Report(ctx context.Context, u *catalog.Upstream) (lockstep.Report, error) {
	a.reports.Add(1)
	select {
	case <-ctx.Done():
		return lockstep.Report{}, ctx.Err()
	case <-time.After(reportDelay):
		return a.testService.Report(ctx, u)
	}
}

// Guards against a long pause of a group whose leader dies while it holds the group. The group would stay paused while
// the successor first reads the group of every rank, so a standby must keep its group index up to date.
func TestStandbyKeepsGroupIndex(t *testing.T) {
	for _, c := range []struct {
		name    string
		standby bool
		before  int64
	}{{"standby", true, 2}, {"no standby", false, 0}} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s, list := newTestService([]string{"a"}, 2)
				ranks := &slowReports{testService: s}
				var isLeader atomic.Bool
				checked := make(chan time.Time, 1)
				wake := make(chan struct{}, 1)
				controller := lockstep.NewServiceController(lockstep.ControllerOptions{
					RankClient: ranks, Logger: log.NewNopLogger(), Wake: wake,
					Group: func() *lockstep.Group {
						return &lockstep.Group{Upstreams: list, Engine: &catalog.Engine{Experts: &catalog.Experts{Sets: 1, PerSet: 4, MaxPerRank: 4, Spare: 2}}}
					},
					Fence: func() ids.Fence {
						if isLeader.Load() {
							return 7
						}
						return 0
					},
					Standby: func() bool { return c.standby },
					Period:  500 * time.Millisecond, HalfLife: 500 * time.Millisecond, Sample: 2, SampleLocal: 2,
					OnReports: func([]*catalog.Upstream, []lockstep.Report) {
						select {
						case checked <- time.Now():
						default:
						}
					},
				})
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				go controller.Run(ctx)
				time.Sleep(3 * time.Second)
				if got := ranks.reports.Load(); got != c.before {
					t.Errorf("%d reports before it is the leader, want %d", got, c.before)
				}
				isLeader.Store(true)
				began := time.Now()
				wake <- struct{}{}
				took := (<-checked).Sub(began)
				if known := took == reportDelay; known != c.standby {
					t.Errorf("the first check took %v, one report %v", took, reportDelay)
				}
				cancel()
				synctest.Wait()
			})
		})
	}
}

// unknownExperts is a service whose ranks hold and count an expert that the configuration does not have.
type unknownExperts struct {
	*testService
	heldToo bool
}

func (s *unknownExperts) HeldExperts(ctx context.Context, u *catalog.Upstream) (lockstep.HeldExperts, error) {
	h, err := s.testService.HeldExperts(ctx, u)
	if s.heldToo {
		h.Experts = [][]int{{0, 99}}
	}
	return h, err
}

func (s *unknownExperts) Counts(ctx context.Context, u *catalog.Upstream, sets int) (lockstep.CountStart, lockstep.Counts, error) {
	since, counts, err := s.testService.Counts(ctx, u, sets)
	counts[0] = append(counts[0], 1)
	return since, counts, err
}

// Guards against a leader that crashes or switches a group if the configuration names fewer experts than the ranks
// have. The leader also serves the requests of all services.
func TestUnknownExpertsPreventSwitch(t *testing.T) {
	for _, heldToo := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			s, list := newTestService([]string{"a"}, 2)
			controller := lockstep.NewServiceController(lockstep.ControllerOptions{
				RankClient: &unknownExperts{s, heldToo}, Logger: log.NewNopLogger(),
				Group: func() *lockstep.Group {
					return &lockstep.Group{Upstreams: list, Engine: &catalog.Engine{Experts: &catalog.Experts{Sets: 1, PerSet: 4, MaxPerRank: 4, Spare: 2}}}
				},
				Fence:  func() ids.Fence { return 7 },
				Period: 500 * time.Millisecond, HalfLife: 500 * time.Millisecond, Sample: 2, SampleLocal: 2,
				Policy: lockstep.Options{MinGain: 0.01, MinCounts: 1},
			})
			ctx, cancel := context.WithCancel(t.Context())
			go controller.Run(ctx)
			time.Sleep(5 * time.Second)
			cancel()
			synctest.Wait()
			if g := s.groups["a"]; g.ranks[0].inUse != 0 {
				t.Fatalf("switched to %d", g.ranks[0].inUse)
			}
		})
	}
}
