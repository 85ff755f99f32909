package placement

import (
	"slices"
	"time"

	"gonum.org/v1/gonum/floats"

	"github.com/cardamomyoke/cardamomyoke/internal/experts/placement/expert"
)

// noiseMargin is the factor by which the skew that a plan saves must exceed the skew that noise alone would cause.
const noiseMargin = 2.5

// Policy decides on the map of one group. It is not safe for concurrent use.
type Policy struct {
	group      Group
	popularity *popularity
	speeds     *speeds
	stalls     *stalls
	noise      *noise
	current    *expert.Map
}

// NewPolicy returns a policy without any reports.
func NewPolicy(g Group) *Policy {
	return &Policy{
		group:      g,
		popularity: newPopularity(g.Shape),
		speeds:     newSpeeds(g.Shape.Ranks),
		stalls:     newStalls(g.Shape.Ranks),
		noise:      &noise{shape: g.Shape},
	}
}

// Observe processes a report that arrives at now. It returns *ReportError if the report does not fit the group.
func (p *Policy) Observe(now time.Time, r Report) error {
	if err := p.group.checkReport(r); err != nil {
		return err
	}
	p.stalls.observe(now, r)
	p.speeds.observe(r)
	for _, shares := range p.popularity.observe(r) {
		p.noise.observe(p.current, shares)
	}
	return nil
}

// Popularity returns the estimated share of each cell in its layer's tokens, or nil before the first window is
// complete.
func (p *Policy) Popularity() []float64 { return p.popularity.best().value }

// Speeds returns each rank's estimated speed relative to the median; 0 for a stalled rank.
func (p *Policy) Speeds(now time.Time) []float64 {
	return p.speeds.relative(p.stalls.stalledRanks(now))
}

// Decide decides whether to replace the map in force, and by which one. It must not be called while a plan is being
// carried out. The map of a plan has the version after current's.
func (p *Policy) Decide(now time.Time, o Options, current *expert.Map) Decision {
	p.setCurrent(current)
	stalled := p.stalls.stalledRanks(now)
	d := Decision{Stalled: indices(stalled)}
	if o.Paused {
		d.Stay = ReasonPaused
		return d
	}
	for r, idle := range p.stalls.idleRanks(now, current.Used()) {
		stalled[r] = stalled[r] || idle
	}
	speed := p.speeds.relative(stalled)
	pop := p.Popularity()
	if holdsAny(current, d.Stalled) {
		return p.evacuate(d, current, speed, pop)
	}
	if pop == nil || !p.noise.ready() {
		d.Stay = ReasonNoData
		return d
	}
	return p.rebalance(d, o, pop, speed)
}

// setCurrent records the map in force. Maps are compared by content. Otherwise a caller that decodes the same map
// again for each decision would seem to change the map each time: noise would never be estimated and no plan ever
// made.
func (p *Policy) setCurrent(current *expert.Map) {
	if p.current != nil && p.current.Version() == current.Version() && p.current.Equal(current) {
		return
	}
	p.current = current
}

func (p *Policy) rebalance(d Decision, o Options, pop, speed []float64) Decision {
	d.Noise = p.noise.skew(p.popularity.best().noiseFactor())
	better, err := Improve(p.group, o, p.current, pop, speed)
	if err != nil {
		d.Stay = ReasonNoGain
		return d
	}
	d.Skew, d.Target = better.Before, better.After
	bytes := uint64(expert.Loads(better.Moves)) * p.group.ExpertBytes
	d.Stay = stayReason(o, d, bytes)
	if d.Stay == "" {
		d.Plan = &Plan{CauseSkew, better.Map, better.Moves, bytes}
	}
	return d
}

// stayReason returns the reason not to switch to the best map found, or "" if the switch is worth it.
func stayReason(o Options, d Decision, bytes uint64) Reason {
	gain := d.Skew - d.Target
	switch {
	case gain <= 0:
		return ReasonNoGain
	case gain < o.Hysteresis:
		return ReasonHysteresis
	case gain < noiseMargin*d.Noise:
		return ReasonNoise
	case gain*o.Horizon.Seconds() < o.MoveWeight*float64(bytes)/gigabyte:
		return ReasonPayback
	}
	return ""
}

func holdsAny(m *expert.Map, ranks []int) bool {
	used := m.Used()
	return slices.ContainsFunc(ranks, func(r int) bool { return used[r] > 0 })
}

func indices(set []bool) []int {
	var out []int
	for i, v := range set {
		if v {
			out = append(out, i)
		}
	}
	return out
}

// uniformPopularity returns the popularity assumed without data: the experts of a layer take equal shares of its
// tokens.
func uniformPopularity(shape expert.Shape) []float64 {
	pop := make([]float64, shape.Cells())
	floats.AddConst(1/float64(shape.Experts), pop)
	return pop
}
