package rebalance

import (
	"slices"

	"github.com/cardamomyoke/cardamomyoke/internal/testing/bench/report"
)

// The limits that the users set; see docs/design/rebalancing.md.
const (
	skewOverRepack        = 1.10
	bytesOverRepackSkew   = 1.0 / 5
	bytesOverRepackCost   = 1.0 / 20
	excessOverStatic      = 0.5
	movesOnNoise          = 0
	nameOfSkewDeployment  = "arriaga"
	nameOfMovesDeployment = "sjodastofa"
)

// pooled joins a contender's results over all scenarios and seeds.
func (r Results) pooled(name string) Result {
	var all Result
	for _, sc := range Scenarios() {
		for _, res := range r[sc][name] {
			all.Skew = slices.Concat(all.Skew, res.Skew)
			all.Bytes += res.Bytes
			all.Loads += res.Loads
			all.Switches += res.Switches
			all.Waited += res.Waited
		}
	}
	return all
}

// Claims returns what the deployment's setting has to reach over all traces and seeds.
func (r Results) Claims(d Deployment) []report.Claim {
	ours, repack, still := r.pooled(NamePolicy).figures(), r.pooled(NameRepack).figures(), r.pooled(NameStatic).figures()
	var claims []report.Claim
	bytes := report.Claim{Text: d.Name + ": bytes moved over full re-pack's", Reached: ours.gigabytes / repack.gigabytes, Bound: report.AtMost}
	switch d.Name {
	case nameOfSkewDeployment:
		claims = append(claims, report.Claim{
			Text: d.Name + ": skew p99 over full re-pack's", Reached: ours.p99 / repack.p99,
			Bound: report.AtMost, Limit: skewOverRepack,
		}, r.worstClaim(d))
		bytes.Limit = bytesOverRepackSkew
	case nameOfMovesDeployment:
		claims = append(claims, report.Claim{
			Text: d.Name + ": mean skew's excess over 1, over static's", Reached: (ours.mean - 1) / (still.mean - 1),
			Bound: report.AtMost, Limit: excessOverStatic,
		})
		bytes.Limit = bytesOverRepackCost
	}
	return append(claims, bytes, r.noiseClaim(d))
}

// worstClaim holds each scenario by itself to the limit that is set for all of them together.
func (r Results) worstClaim(d Deployment) report.Claim {
	c := report.Claim{Bound: report.AtMost, Limit: skewOverRepack}
	for _, sc := range Scenarios() {
		p99 := func(name string) float64 {
			return report.Summarize(over(r[sc][name], func(f figures) float64 { return f.p99 })).Mean
		}
		if ratio := p99(NamePolicy) / p99(NameRepack); !(ratio <= c.Reached) {
			c.Reached = ratio
			c.Text = d.Name + ": the same in the worst trace, " + string(sc)
		}
	}
	return c
}

// noiseClaim counts new maps, whether they load weights or only change shares.
func (r Results) noiseClaim(d Deployment) report.Claim {
	switches := 0
	for _, res := range r[ScenarioNoise][NamePolicy] {
		switches += res.Switches
	}
	return report.Claim{Text: d.Name + ": new maps on noise only", Reached: float64(switches), Bound: report.AtMost, Limit: movesOnNoise}
}
