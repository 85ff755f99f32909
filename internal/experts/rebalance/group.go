package rebalance

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
	"github.com/cardamomyoke/cardamomyoke/internal/experts/expertmap"
	"github.com/cardamomyoke/cardamomyoke/internal/experts/placement"
	"github.com/cardamomyoke/cardamomyoke/internal/experts/placement/expert"
	cardamomyokev1 "github.com/cardamomyoke/cardamomyoke/internal/gen/cardamomyoke/v1"
	"github.com/cardamomyoke/cardamomyoke/internal/state/audit"
	"github.com/cardamomyoke/cardamomyoke/internal/state/platform"
)

// Ranks asks the slot of each rank for its report, without the counts of the window that is known already.
type Ranks interface {
	Report(ctx context.Context, group ids.Group, rank int, known uint64) (*cardamomyokev1.GetRankReportResponse, error)
}

// Proposer leads a group to a map; node.Proposer is one.
type Proposer interface {
	Propose(ctx context.Context, fence ids.Fence, to expertmap.MapID) (expertmap.Result, error)
}

// Options are what a Group is made of.
type Options struct {
	Group    ids.Group
	Config   *cardamomyokev1.ModelGroup
	Ranks    Ranks
	Proposer Proposer
	Objects  platform.Objects
	Weights  platform.Weights
	// Audit takes in each switch; nil: it is only logged.
	Audit  func(now time.Time, r *audit.Row)
	Logger log.Logger
}

const (
	// reportTimeout bounds the round of reports.
	reportTimeout = 2 * time.Second
	// decideInterval is the longest time between two decisions; it is a third of the time after which a rank is stalled.
	decideInterval = placement.StallAfter / 3
	// switchTimeout bounds a switch with its loading of weights.
	switchTimeout = 5 * time.Minute
	// memorySlack is the room for replicas, and for those being loaded, over one copy of each expert, as a part of it.
	memorySlack = 0.5
	// minSlack keeps a small group from having no room at all to move in.
	minSlack = 4
	// expertBytes is the size of an expert's weights that is assumed as long as engines do not report it.
	expertBytes = 64 << 20
	// defaultStoreRate is assumed while the weight store does not answer, in bytes a second.
	defaultStoreRate = 1 << 30
)

// Group is the duty for one model group. It belongs to one goroutine.
type Group struct {
	opts   Options
	shape  expert.Shape
	group  placement.Group
	policy *placement.Policy
	// windows are the newest windows of the ranks, and decided is when the map was last weighed.
	windows []uint64
	decided time.Time
	// current is the map in force; nil before it is known.
	current *expert.Map
}

// New returns the duty of a holder that knows nothing yet.
func New(ctx context.Context, o Options) *Group {
	shape := expert.Shape{
		Ranks: int(o.Config.GetRanks()), Experts: int(o.Config.GetExperts()), Layers: int(o.Config.GetLayers()),
	}
	g := placement.Group{
		Shape:       shape,
		Slots:       memorySlots(shape),
		ExpertBytes: expertBytes,
		StoreRate:   storeRate(ctx, o),
	}
	return &Group{opts: o, shape: shape, group: g, policy: placement.NewPolicy(g), windows: make([]uint64, shape.Ranks)}
}

func memorySlots(s expert.Shape) int {
	each := (s.Cells() + s.Ranks - 1) / s.Ranks
	return each + max(minSlack, int(memorySlack*float64(each)))
}

func storeRate(ctx context.Context, o Options) uint64 {
	rate, err := o.Weights.Rate(ctx, o.Group)
	if err != nil || rate == 0 {
		return defaultStoreRate
	}
	return rate
}

// Turn is one round: reports, a decision, and the switch if there is a better map. It returns the decision's reason to
// stay, or the map that the group runs now. Errors are of the platform, the ranks or the switch; the next turn starts
// from what the ranks then run.
func (g *Group) Turn(ctx context.Context, now time.Time, fence ids.Fence) (placement.Reason, error) {
	reports := g.collect(ctx)
	if len(reports) == 0 {
		return placement.ReasonNoData, nil
	}
	if err := g.follow(ctx, reports); err != nil {
		return "", err
	}
	if g.current == nil {
		return "", g.first(ctx, fence)
	}
	for _, r := range reports {
		if err := g.policy.Observe(now, reportOf(r)); err != nil {
			_ = level.Warn(g.opts.Logger).Log("msg", "rank report refused", "group", g.opts.Group, "err", err)
		}
	}
	if !g.due(reports, now) {
		return placement.ReasonNoData, nil
	}
	d := g.policy.Decide(now, placement.FromConfig(g.opts.Config.GetRebalancing()), g.current)
	if d.Plan == nil {
		return d.Stay, nil
	}
	return "", g.switchTo(ctx, fence, d.Plan.Map, string(d.Plan.Cause))
}

// due reports whether there is something to decide on: a new window, or enough time that a rank may have stalled. A
// decision costs milliseconds, so it is not made again on reports that were seen.
func (g *Group) due(reports []*cardamomyokev1.GetRankReportResponse, now time.Time) bool {
	news := now.Sub(g.decided) >= decideInterval
	for _, r := range reports {
		if r.GetWindow() != g.windows[r.GetRank()] {
			g.windows[r.GetRank()] = r.GetWindow()
			news = true
		}
	}
	if news {
		g.decided = now
	}
	return news
}

// collect asks all ranks at once; a rank that does not answer is left out, which the policy expects.
func (g *Group) collect(ctx context.Context) []*cardamomyokev1.GetRankReportResponse {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	out := make([]*cardamomyokev1.GetRankReportResponse, g.shape.Ranks)
	var wg sync.WaitGroup
	for i := range out {
		wg.Go(func() {
			if r, err := g.opts.Ranks.Report(ctx, g.opts.Group, i, g.windows[i]); err == nil && int(r.GetRank()) == i {
				out[i] = r
			}
		})
	}
	wg.Wait()
	var got []*cardamomyokev1.GetRankReportResponse
	for _, r := range out {
		if r != nil {
			got = append(got, r)
		}
	}
	return got
}

func reportOf(r *cardamomyokev1.GetRankReportResponse) placement.Report {
	return placement.Report{
		Rank: int(r.GetRank()), Window: r.GetWindow(), Tokens: r.GetTokens(), Processed: r.GetProcessed(),
		Busy: time.Duration(r.GetBusyUs()) * time.Microsecond, Step: r.GetStep(), Waiting: r.GetWaiting(),
	}
}

// follow takes the map in force from the ranks, which are the ones who know.
func (g *Group) follow(ctx context.Context, reports []*cardamomyokev1.GetRankReportResponse) error {
	newest := reports[0]
	for _, r := range reports {
		if r.GetMapVersion() > newest.GetMapVersion() {
			newest = r
		}
	}
	if newest.GetMapVersion() == 0 || g.current != nil && g.current.Version() == newest.GetMapVersion() {
		return nil
	}
	data, err := g.opts.Objects.GetObject(ctx, newest.GetMapName())
	if err != nil {
		return fmt.Errorf("read map %s: %w", newest.GetMapName(), err)
	}
	m, err := expert.Decode(data)
	if err != nil {
		return fmt.Errorf("read map %s: %w", newest.GetMapName(), err)
	}
	g.current = m
	return nil
}

// first gives a group without a map its first one: every expert counts the same.
func (g *Group) first(ctx context.Context, fence ids.Fence) error {
	even := make([]float64, g.shape.Cells())
	for i := range even {
		even[i] = 1 / float64(g.shape.Experts)
	}
	speed := make([]float64, g.shape.Ranks)
	for i := range speed {
		speed[i] = 1
	}
	// Half of the room over one copy stays free, so that the next map can be loaded beside this one.
	each := (g.shape.Cells() + g.shape.Ranks - 1) / g.shape.Ranks
	m, err := placement.Pack(g.group, each+(g.group.Slots-each)/2, even, speed, 1)
	if err != nil {
		return fmt.Errorf("first map: %w", err)
	}
	return g.switchTo(ctx, fence, m, "first")
}

// switchTo stores the map and leads the group to it.
func (g *Group) switchTo(ctx context.Context, fence ids.Fence, m *expert.Map, cause string) error {
	ctx, cancel := context.WithTimeout(ctx, switchTimeout)
	defer cancel()
	data, err := m.MarshalBinary()
	if err != nil {
		return fmt.Errorf("store map: %w", err)
	}
	name := fmt.Sprintf("maps/%s/%d-%s", g.opts.Group, m.Version(), m.Hash())
	if err := g.opts.Objects.PutObject(ctx, name, data); err != nil {
		return fmt.Errorf("store map: %w", err)
	}
	result, err := g.opts.Proposer.Propose(ctx, fence, expertmap.MapID{Version: m.Version(), Name: name})
	if err != nil {
		return fmt.Errorf("switch of group %s: %w", g.opts.Group, err)
	}
	g.record(result, m, cause)
	g.current = m
	_ = level.Info(g.opts.Logger).Log("msg", "expert map switched", "group", g.opts.Group, "map", result.To, "from_step", result.Start, "cause", cause)
	return nil
}

// record tells the audit of a switch, before g.current is the new map.
func (g *Group) record(result expertmap.Result, m *expert.Map, cause string) {
	if g.opts.Audit == nil {
		return
	}
	before := "no map"
	if g.current != nil {
		before = fmt.Sprintf("map %d (%s)", g.current.Version(), g.current.Hash())
	}
	g.opts.Audit(time.Now(), &audit.Row{
		Kind: audit.KindMapSwitched, Subject: string(g.opts.Group), Before: before, Reason: cause,
		After: fmt.Sprintf("map %d (%s) from step %d", m.Version(), m.Hash(), result.Start),
	})
}
