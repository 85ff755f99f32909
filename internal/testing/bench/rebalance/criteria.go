package rebalance

import (
	"slices"

	"github.com/cardamomyoke/cardamomyoke/internal/testing/bench/report"
)

// Limits set by the users (see docs/design/rebalancing.md), and the deployments that they apply to. Names ending in
// VsRepack or VsStatic are ratios to the full re-pack or to the static map.
const (
	maxSkewVsRepack          = 1.10
	maxBytesVsRepackForSkew  = 1.0 / 5
	maxBytesVsRepackForMoves = 1.0 / 20
	maxExcessSkewVsStatic    = 0.5
	maxMapsOnNoise           = 0
	skewDeployment           = "arriaga"
	movesDeployment          = "sjodastofa"
)

// pooled combines a strategy's results from all scenarios and seeds.
func (r Results) pooled(name string) Result {
	var all Result
	for _, sc := range Scenarios() {
		for _, res := range r[sc][name] {
			all.Skew = slices.Concat(all.Skew, res.Skew)
			all.Bytes += res.Bytes
			all.Loads += res.Loads
			all.Switches += res.Switches
			all.DelayedSteps += res.DelayedSteps
		}
	}
	return all
}

// Criteria returns the limits that the deployment's settings have to meet over all traces and seeds.
func (r Results) Criteria(d Deployment) []report.Criterion {
	policyFigures, repackFigures, staticFigures := r.pooled(NamePolicy).figures(), r.pooled(NameRepack).figures(), r.pooled(NameStatic).figures()
	var criteria []report.Criterion
	bytes := report.Criterion{Text: d.Name + ": bytes moved over full re-pack's", Reached: policyFigures.gigabytes / repackFigures.gigabytes, Bound: report.AtMost}
	switch d.Name {
	case skewDeployment:
		criteria = append(criteria, report.Criterion{
			Text: d.Name + ": skew p99 over full re-pack's", Reached: policyFigures.p99 / repackFigures.p99,
			Bound: report.AtMost, Limit: maxSkewVsRepack,
		}, r.worstScenarioCriterion(d))
		bytes.Limit = maxBytesVsRepackForSkew
	case movesDeployment:
		criteria = append(criteria, report.Criterion{
			Text: d.Name + ": mean skew's excess over 1, over static's", Reached: (policyFigures.mean - 1) / (staticFigures.mean - 1),
			Bound: report.AtMost, Limit: maxExcessSkewVsStatic,
		})
		bytes.Limit = maxBytesVsRepackForMoves
	}
	return append(criteria, bytes, r.noiseCriterion(d))
}

// worstScenarioCriterion applies the p99 skew limit, which is set for all scenarios together, to the worst scenario
// alone.
func (r Results) worstScenarioCriterion(d Deployment) report.Criterion {
	c := report.Criterion{Bound: report.AtMost, Limit: maxSkewVsRepack}
	for _, sc := range Scenarios() {
		p99 := func(name string) float64 {
			return report.Summarize(figureBySeed(r[sc][name], func(f figures) float64 { return f.p99 })).Mean
		}
		if ratio := p99(NamePolicy) / p99(NameRepack); !(ratio <= c.Reached) {
			c.Reached = ratio
			c.Text = d.Name + ": the same in the worst trace, " + string(sc)
		}
	}
	return c
}

// noiseCriterion limits the new maps in the noise scenario, whether they load weights or only change shares.
func (r Results) noiseCriterion(d Deployment) report.Criterion {
	switches := 0
	for _, res := range r[ScenarioNoise][NamePolicy] {
		switches += res.Switches
	}
	return report.Criterion{Text: d.Name + ": new maps on noise only", Reached: float64(switches), Bound: report.AtMost, Limit: maxMapsOnNoise}
}
