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

// RankClient reads the report of a rank from its slot. The report omits the token counts if its window is the known
// one.
type RankClient interface {
	Report(ctx context.Context, group ids.Group, rank int, known uint64) (*cardamomyokev1.GetRankReportResponse, error)
}

// Proposer switches a group to a map. It is implemented by node.Proposer.
type Proposer interface {
	Propose(ctx context.Context, fence ids.Fence, to expertmap.MapID) (expertmap.Result, error)
}

// Options configures a GroupRebalancer.
type Options struct {
	Group      ids.Group
	Config     *cardamomyokev1.ModelGroup
	RankClient RankClient
	Proposer   Proposer
	Objects    platform.Objects
	Weights    platform.Weights
	// Audit records each switch. If it is nil, switches are only logged.
	Audit  func(now time.Time, r *audit.Row)
	Logger log.Logger
}

const (
	// reportTimeout bounds the collection of reports in one round.
	reportTimeout = 2 * time.Second
	// decideInterval is the longest time between two decisions: a third of the time after which a rank counts as
	// stalled.
	decideInterval = placement.StallAfter / 3
	// switchTimeout bounds a switch, including the loading of weights.
	switchTimeout = 5 * time.Minute
	// memoryHeadroom is the memory for additional replicas and for those being loaded, as a share of the memory for
	// one copy of each expert.
	memoryHeadroom = 0.5
	// minHeadroom is the minimum headroom in slots, so that experts of a small group can be moved at all.
	minHeadroom = 4
	// expertBytes is the assumed size of an expert's weights, which engines do not report yet.
	expertBytes = 64 << 20
	// defaultStoreRate is the assumed rate in bytes per second while the weight store does not respond.
	defaultStoreRate = 1 << 30
)

// GroupRebalancer carries out the duty for one model group. It must be used by one goroutine.
type GroupRebalancer struct {
	opts   Options
	shape  expert.Shape
	group  placement.Group
	policy *placement.Policy
	// windows are the newest windows of the ranks, and lastDecision is the time of the last decision on the map.
	windows      []uint64
	lastDecision time.Time
	// current is the map in force; nil until it is read from the ranks.
	current *expert.Map
}

// New returns a GroupRebalancer without any reports or map.
func New(ctx context.Context, o Options) *GroupRebalancer {
	shape := shapeOf(o.Config)
	g := placement.Group{
		Shape:       shape,
		Slots:       memorySlots(shape),
		ExpertBytes: expertBytes,
		StoreRate:   storeRate(ctx, o),
	}
	return &GroupRebalancer{opts: o, shape: shape, group: g, policy: placement.NewPolicy(g), windows: make([]uint64, shape.Ranks)}
}

func shapeOf(g *cardamomyokev1.ModelGroup) expert.Shape {
	return expert.Shape{Ranks: int(g.GetRanks()), Experts: int(g.GetExperts()), Layers: int(g.GetLayers())}
}

func memorySlots(s expert.Shape) int {
	each := (s.Cells() + s.Ranks - 1) / s.Ranks
	return each + max(minHeadroom, int(memoryHeadroom*float64(each)))
}

func storeRate(ctx context.Context, o Options) uint64 {
	rate, err := o.Weights.Rate(ctx, o.Group)
	if err != nil || rate == 0 {
		return defaultStoreRate
	}
	return rate
}

// RunRound runs one round: it collects reports, decides, and switches the group if there is a better map. It returns
// the decision's reason to keep the map, or "" after a switch. Errors come from the platform, the ranks or the
// switch; the next round starts from the map that the ranks then run.
func (g *GroupRebalancer) RunRound(ctx context.Context, now time.Time, fence ids.Fence) (placement.Reason, error) {
	reports := g.collectReports(ctx)
	if len(reports) == 0 {
		return placement.ReasonNoData, nil
	}
	if err := g.loadCurrentMap(ctx, reports); err != nil {
		return "", err
	}
	if g.current == nil {
		return "", g.startFirstMap(ctx, fence)
	}
	for _, r := range reports {
		if err := g.policy.Observe(now, reportOf(r)); err != nil {
			_ = level.Warn(g.opts.Logger).Log("msg", "rank report refused", "group", g.opts.Group, "err", err)
		}
	}
	if !g.decisionDue(reports, now) {
		return placement.ReasonNoData, nil
	}
	d := g.policy.Decide(now, placement.FromConfig(g.opts.Config.GetRebalancing()), g.current)
	if d.Plan == nil {
		return d.Stay, nil
	}
	return "", g.switchTo(ctx, fence, d.Plan.Map, string(d.Plan.Cause))
}

// decisionDue reports whether to decide in this round: there is a new window, or so much time has passed that a rank
// may have stalled. A decision costs milliseconds, so it is not repeated for reports that were processed before.
func (g *GroupRebalancer) decisionDue(reports []*cardamomyokev1.GetRankReportResponse, now time.Time) bool {
	isDue := now.Sub(g.lastDecision) >= decideInterval
	for _, r := range reports {
		if r.GetWindow() != g.windows[r.GetRank()] {
			g.windows[r.GetRank()] = r.GetWindow()
			isDue = true
		}
	}
	if isDue {
		g.lastDecision = now
	}
	return isDue
}

// collectReports requests the reports of all ranks concurrently. Ranks that do not respond are omitted, which the
// policy tolerates.
func (g *GroupRebalancer) collectReports(ctx context.Context) []*cardamomyokev1.GetRankReportResponse {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	out := make([]*cardamomyokev1.GetRankReportResponse, g.shape.Ranks)
	var wg sync.WaitGroup
	for i := range out {
		wg.Go(func() {
			if r, err := g.opts.RankClient.Report(ctx, g.opts.Group, i, g.windows[i]); err == nil && int(r.GetRank()) == i {
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

// loadCurrentMap reads the map in force. The ranks are the authority on its name and version; its content comes from
// the object store.
func (g *GroupRebalancer) loadCurrentMap(ctx context.Context, reports []*cardamomyokev1.GetRankReportResponse) error {
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
	if m.Shape() != g.shape {
		return &ShapeError{Map: newest.GetMapName(), Got: m.Shape(), Want: g.shape}
	}
	g.current = m
	return nil
}

// ShapeError reports that the map that a group runs has another size than the group is configured with.
type ShapeError struct {
	Map       string
	Got, Want expert.Shape
}

// Error implements error.
func (e *ShapeError) Error() string {
	return fmt.Sprintf("map %s is for %+v, the group has %+v", e.Map, e.Got, e.Want)
}

// startFirstMap switches a group without a map to its first one, which assumes that all experts are equally popular.
func (g *GroupRebalancer) startFirstMap(ctx context.Context, fence ids.Fence) error {
	popularity := make([]float64, g.shape.Cells())
	for i := range popularity {
		popularity[i] = 1 / float64(g.shape.Experts)
	}
	speed := make([]float64, g.shape.Ranks)
	for i := range speed {
		speed[i] = 1
	}
	// Half of the headroom stays free, so that the next map can be loaded in addition to this one.
	each := (g.shape.Cells() + g.shape.Ranks - 1) / g.shape.Ranks
	m, err := placement.Pack(g.group, each+(g.group.Slots-each)/2, popularity, speed, 1)
	if err != nil {
		return fmt.Errorf("compute first map: %w", err)
	}
	return g.switchTo(ctx, fence, m, "first")
}

// switchTo stores the map and switches the group to it.
func (g *GroupRebalancer) switchTo(ctx context.Context, fence ids.Fence, m *expert.Map, cause string) error {
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
		return fmt.Errorf("switch group %s: %w", g.opts.Group, err)
	}
	g.auditSwitch(result, m, cause)
	g.current = m
	_ = level.Info(g.opts.Logger).Log("msg", "expert map switched", "group", g.opts.Group, "map", result.To, "from_step", result.Start, "cause", cause)
	return nil
}

// auditSwitch records a switch in the audit. It must be called before g.current is replaced by the new map.
func (g *GroupRebalancer) auditSwitch(result expertmap.Result, m *expert.Map, cause string) {
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
