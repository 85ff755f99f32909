package config

import (
	"fmt"
	"io"

	"gonum.org/v1/gonum/stat"

	"github.com/cardamomyoke/cardamomyoke/internal/testing/bench/report"
)

// minFitNodes is the smallest cluster size that the linear fit uses. From this size on, at least one node has the maximum
// number of children, and the fixed cost of the process is spread over enough nodes. Smaller clusters are measured, but
// their figures do not show the growth.
const minFitNodes = 30

// extrapolate fits a line to a figure over the cluster sizes. It returns the value at the target size, but at least the
// figure of the largest cluster, and the increase for each 100 nodes.
func extrapolate(rows []measurement, of func(measurement) float64) (atTarget, per100 float64) {
	var x, y []float64
	for i, r := range rows {
		if r.nodes < minFitNodes && i < len(rows)-1 {
			continue
		}
		x = append(x, float64(r.nodes))
		y = append(y, of(r))
	}
	if len(x) < 2 {
		return y[0], 0
	}
	a, b := stat.LinearRegression(x, y, nil, false)
	return max(a+b*targetNodes, y[len(y)-1]), b * 100
}

// printVerdicts prints the slopes, and for each limit whether the largest cluster and the target size meet it. The text
// of a criterion names the figures that are extrapolated to the target size.
func printVerdicts(out io.Writer, rows []measurement, mem stateCost) error {
	perSecond := float64(changesPerDay) / secondsPerDay
	figures := []struct {
		name string
		of   func(measurement) float64
	}{
		{"p99 seconds from put to in force everywhere", func(r measurement) float64 { return report.Quantile(0.99, r.changeSeconds) }},
		{"bytes a second of the busiest node, both ways", func(r measurement) float64 { return r.maxIdleBytes + 2*perSecond*r.changeBytes }},
		{"percent of a core a node", func(r measurement) float64 {
			return r.cpu + percent*perSecond*(r.changeCPU.Seconds()+mem.apply.Seconds())
		}},
		{"MB a node", func(r measurement) float64 { return r.memoryMB + mem.mb }},
		{"platform reads a second of all nodes", func(r measurement) float64 { return r.reads + perSecond*r.changeReads }},
		{"platform writes a second of all nodes", func(r measurement) float64 { return r.writes + perSecond*r.changeWrites }},
	}
	limits := []float64{limitSeconds, limitBytes, limitCPU, limitMemoryMB, limitReads, limitWrites}
	if _, err := fmt.Fprintf(out, "state of %d clients and %d members, two revisions of it: %.1f MB; applying one change: %v\n",
		targetClients, targetNodes, mem.mb, mem.apply); err != nil {
		return err
	}
	var criteria []report.Criterion
	largest := rows[len(rows)-1]
	for i, fig := range figures {
		atTarget, rise := extrapolate(rows, fig.of)
		if _, err := fmt.Fprintf(out, "slope from %d nodes on: %s: %+.3g for each 100 nodes\n", minFitNodes, fig.name, rise); err != nil {
			return err
		}
		criteria = append(criteria,
			report.Criterion{Text: fmt.Sprintf("%s, measured with %d", fig.name, largest.nodes), Reached: fig.of(largest), Bound: report.AtMost, Limit: limits[i]},
			report.Criterion{Text: fmt.Sprintf("%s, from the slope at %d", fig.name, targetNodes), Reached: atTarget, Bound: report.AtMost, Limit: limits[i]})
	}
	_, err := report.WriteCriteria(out, criteria)
	return err
}
