package placement_test

import (
	"errors"
	"flag"
	"math"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"gonum.org/v1/gonum/floats"
	"pgregory.net/rapid"

	"github.com/cardamomyoke/cardamomyoke/internal/experts/placement"
	"github.com/cardamomyoke/cardamomyoke/internal/experts/placement/expert"
)

var (
	epoch      = time.Unix(1_800_000_000, 0)
	smallGroup = placement.Group{
		Shape: expert.Shape{Ranks: 4, Experts: 8, Layers: 2}, Slots: 6, ExpertBytes: 1e6, StoreRate: 1e9,
	}
	eagerOptions = placement.Options{MoveWeight: 1, Horizon: time.Hour, Hysteresis: 0.01, MaxBytesPerMinute: 1e9}
)

// TestMain fixes the seed of the random tests so that their results are reproducible.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "20261202", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// zipf returns a Zipf-distributed popularity: in each layer, the share of expert (hot + i) mod experts is proportional
// to 1/(i+1).
func zipf(shape expert.Shape, hot int) []float64 {
	pop := make([]float64, shape.Cells())
	for l := range shape.Layers {
		layer := pop[l*shape.Experts : (l+1)*shape.Experts]
		for i := range layer {
			layer[(hot+i)%shape.Experts] = 1 / float64(i+1)
		}
		floats.Scale(1/floats.Sum(layer), layer)
	}
	return pop
}

func ones(n int) []float64 {
	v := make([]float64, n)
	floats.AddConst(1, v)
	return v
}

func packMap(t interface{ Fatal(...any) }, g placement.Group, pop []float64) *expert.Map {
	slots := g.Shape.Cells()/g.Shape.Ranks + g.Shape.Layers/2
	m, err := placement.Pack(g, slots, pop, ones(g.Shape.Ranks), 1)
	if err != nil {
		t.Fatal(err)
	}
	return m
}

// observeWindows passes the reports of windows from (inclusive) to to (exclusive) of a group that completes steps.
// Silent ranks report nothing.
func observeWindows(t interface{ Fatal(...any) }, p *placement.Policy, g placement.Group, pop, speed []float64, from, to int, silent ...int) {
	for w := from; w < to; w++ {
		for r := range g.Shape.Ranks {
			if slices.Contains(silent, r) {
				continue
			}
			tokens := make([]uint32, len(pop))
			for c, v := range pop {
				tokens[c] = uint32(v * 1e6)
			}
			rep := placement.Report{
				Rank: r, Window: uint64(w), Tokens: tokens, Processed: 1e6, Step: uint64(w + 1),
				Busy: time.Duration(float64(time.Second) / speed[r]),
			}
			if err := p.Observe(windowTime(w), rep); err != nil {
				t.Fatal(err)
			}
		}
	}
}

func windowTime(w int) time.Time { return epoch.Add(time.Duration(w) * time.Minute) }

func TestDecideReportsReasonToStay(t *testing.T) {
	balanced, skewed := zipf(smallGroup.Shape, 0), zipf(smallGroup.Shape, 4)
	change := func(f func(*placement.Options)) placement.Options {
		o := eagerOptions
		f(&o)
		return o
	}
	tests := map[string]struct {
		options placement.Options
		pop     []float64
		windows int
		want    placement.Reason
	}{
		"drift":           {eagerOptions, skewed, 40, ""},
		"paused":          {change(func(o *placement.Options) { o.Paused = true }), skewed, 40, placement.ReasonPaused},
		"no reports":      {eagerOptions, skewed, 0, placement.ReasonNoData},
		"too few reports": {eagerOptions, skewed, 6, placement.ReasonNoData},
		"hysteresis":      {change(func(o *placement.Options) { o.Hysteresis = 5 }), skewed, 40, placement.ReasonHysteresis},
		"no drift":        {eagerOptions, balanced, 40, placement.ReasonHysteresis},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			p := placement.NewPolicy(smallGroup)
			initial, err := placement.Improve(smallGroup, eagerOptions, packMap(t, smallGroup, balanced), balanced, ones(4))
			if err != nil {
				t.Fatal(err)
			}
			m := initial.Map
			p.Decide(epoch, tc.options, m)
			observeWindows(t, p, smallGroup, tc.pop, ones(4), 0, tc.windows)
			d := p.Decide(windowTime(tc.windows), tc.options, m)
			if d.Stay != tc.want || (d.Plan == nil) != (tc.want != "") {
				t.Fatalf("stay %q, plan %v, want %q", d.Stay, d.Plan, tc.want)
			}
		})
	}
}

// Guards against a policy that never makes a plan, because its caller decodes the same map again for each decision and
// each copy resets the noise estimate.
func TestDecodedCopyOfMapIsNoChange(t *testing.T) {
	p := placement.NewPolicy(smallGroup)
	m := packMap(t, smallGroup, zipf(smallGroup.Shape, 0))
	data, err := m.MarshalBinary()
	if err != nil {
		t.Fatal(err)
	}
	for w := range 40 {
		copied, err := expert.Decode(data)
		if err != nil {
			t.Fatal(err)
		}
		observeWindows(t, p, smallGroup, zipf(smallGroup.Shape, 4), ones(4), w, w+1)
		if d := p.Decide(windowTime(w), eagerOptions, copied); d.Plan != nil {
			return
		}
	}
	t.Fatal("no plan followed the drift within 40 windows")
}

// Guards against plans with loads that cannot pay back or that exceed the limit of bytes per minute.
func TestMoveWeightAndBudgetLimitLoads(t *testing.T) {
	pop := zipf(smallGroup.Shape, 4)
	m := packMap(t, smallGroup, zipf(smallGroup.Shape, 0))
	loads := func(f func(*placement.Options)) int {
		o := eagerOptions
		f(&o)
		better, err := placement.Improve(smallGroup, o, m, pop, ones(4))
		if err != nil {
			t.Fatal(err)
		}
		return expert.Loads(better.Moves)
	}
	if n := loads(func(*placement.Options) {}); n < 2 {
		t.Fatalf("%d loads without a limit", n)
	}
	if n := loads(func(o *placement.Options) { o.MoveWeight = 1e9 }); n != 0 {
		t.Errorf("%d loads that cannot pay back", n)
	}
	if n := loads(func(o *placement.Options) { o.MaxBytesPerMinute = 0 }); n != 0 {
		t.Errorf("%d loads without a budget", n)
	}
	if n := loads(func(o *placement.Options) { o.Horizon = 0 }); n != 0 {
		t.Errorf("%d loads without a payback horizon", n)
	}
	if n := loads(func(o *placement.Options) { o.MaxBytesPerMinute = 333_334 }); n != 1 {
		t.Errorf("%d loads with a budget for one", n)
	}
}

// Guards against a rank at half speed that delays every step of its group because it does not get half of the work.
func TestStragglerGetsWorkInProportionToSpeed(t *testing.T) {
	p := placement.NewPolicy(smallGroup)
	pop := zipf(smallGroup.Shape, 0)
	m := packMap(t, smallGroup, pop)
	speed := []float64{1, 0.5, 1, 1}
	p.Decide(epoch, eagerOptions, m)
	for w := range 40 {
		observeWindows(t, p, smallGroup, pop, speed, w, w+1)
		if plan := p.Decide(windowTime(w), eagerOptions, m).Plan; plan != nil {
			m = plan.Map
		}
	}
	if diff := cmp.Diff(speed, p.Speeds(windowTime(40))); diff != "" {
		t.Errorf("estimated speeds: %s", diff)
	}
	work := make([]float64, 4)
	for c, v := range pop {
		for _, r := range m.At(c/8, c%8) {
			work[r.Rank] += v * float64(r.Share) / expert.ShareUnit / 2
		}
	}
	want := 0.5 / 3.5
	if math.Abs(work[1]-want) > 0.15*want {
		t.Errorf("the straggler does %.3f of the work, want about %.3f", work[1], want)
	}
}

func TestPackRejectsInsufficientCapacity(t *testing.T) {
	var typed *placement.CapacityError
	if _, err := placement.Pack(smallGroup, 3, zipf(smallGroup.Shape, 0), ones(4), 1); !errors.As(err, &typed) {
		t.Fatalf("got %v", err)
	}
}

func TestObserveRejectsReportsOfAnotherGroup(t *testing.T) {
	p := placement.NewPolicy(smallGroup)
	for _, r := range []placement.Report{{Rank: 4}, {Rank: -1}, {Tokens: make([]uint32, 3)}} {
		var typed *placement.ReportError
		if err := p.Observe(epoch, r); !errors.As(err, &typed) {
			t.Errorf("%+v: got %v", r, err)
		}
	}
}

// checkPlan checks the invariants of a plan.
func checkPlan(t *rapid.T, g placement.Group, o placement.Options, old *expert.Map, d placement.Decision) {
	plan := d.Plan
	got, err := old.Apply(plan.Map.Version(), plan.Moves)
	if err != nil || got.Hash() != plan.Map.Hash() {
		t.Fatalf("the moves do not produce the plan's map (%v)", err)
	}
	if plan.Map.Version() != old.Version()+1 {
		t.Fatalf("version %d after %d", plan.Map.Version(), old.Version())
	}
	need := plan.Map.Used()
	if plan.Cause == placement.CauseSkew {
		need = old.Used()
		for _, mv := range plan.Moves {
			if mv.Op == expert.OpLoad {
				need[mv.Rank]++
			}
		}
		if plan.Bytes > 3*o.MaxBytesPerMinute {
			t.Fatalf("%d bytes with a limit of %d a minute", plan.Bytes, o.MaxBytesPerMinute)
		}
	}
	for r, n := range need {
		if n > g.Slots {
			t.Fatalf("rank %d needs %d of %d slots", r, n, g.Slots)
		}
	}
	for _, r := range d.Stalled {
		if n := plan.Map.Used()[r]; n > 0 {
			t.Fatalf("stalled rank %d still holds %d experts", r, n)
		}
	}
	if want := uint64(expert.Loads(plan.Moves)) * g.ExpertBytes; plan.Bytes != want {
		t.Fatalf("%d bytes, want %d", plan.Bytes, want)
	}
}

// drawGroup returns a group with a random small shape and a random number of free slots.
func drawGroup(t *rapid.T) placement.Group {
	g := smallGroup
	g.Shape = expert.Shape{
		Ranks:   rapid.IntRange(2, 6).Draw(t, "ranks"),
		Experts: rapid.IntRange(6, 12).Draw(t, "experts"),
		Layers:  rapid.IntRange(1, 3).Draw(t, "layers"),
	}
	g.Slots = g.Shape.Layers*(g.Shape.Experts/g.Shape.Ranks+1) + rapid.IntRange(1, 6).Draw(t, "free slots")
	return g
}

// Guards against plans that violate checkPlan under random shifts of popularity, speeds and missing reports, and
// against different decisions of two policies with equal inputs.
func TestPlansKeepInvariants(t *testing.T) {
	plans := 0
	rapid.Check(t, func(t *rapid.T) {
		g, o := drawGroup(t), eagerOptions
		o.MaxBytesPerMinute = rapid.Uint64Range(0, 4e6).Draw(t, "limit")
		policy, twin := placement.NewPolicy(g), placement.NewPolicy(g)
		pop, speed := zipf(g.Shape, 0), ones(g.Shape.Ranks)
		m, err := placement.Pack(g, g.Shape.Layers*(g.Shape.Experts/g.Shape.Ranks+1), pop, speed, 1)
		if err != nil {
			t.Fatal(err)
		}
		for w := range 40 {
			if w%12 == 0 {
				pop = zipf(g.Shape, rapid.IntRange(0, g.Shape.Experts-1).Draw(t, "hot"))
				speed[rapid.IntRange(0, g.Shape.Ranks-1).Draw(t, "rank")] = rapid.Float64Range(0.3, 1).Draw(t, "speed")
			}
			silent := rapid.IntRange(0, g.Shape.Ranks-1).Draw(t, "silent")
			observeWindows(t, policy, g, pop, speed, w, w+1, silent)
			observeWindows(t, twin, g, pop, speed, w, w+1, silent)
			d, again := policy.Decide(windowTime(w), o, m), twin.Decide(windowTime(w), o, m)
			if diff := cmp.Diff(d.Stay, again.Stay); diff != "" {
				t.Fatalf("equal inputs, different decisions: %s", diff)
			}
			if d.Plan == nil {
				continue
			}
			if again.Plan.Map.Hash() != d.Plan.Map.Hash() {
				t.Fatal("equal inputs, different maps")
			}
			plans++
			checkPlan(t, g, o, m, d)
			m = d.Plan.Map
		}
	})
	if plans == 0 {
		t.Fatal("no plan was made")
	}
}
