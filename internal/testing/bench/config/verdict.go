package config

import (
	"fmt"
	"io"

	"gonum.org/v1/gonum/stat"

	"github.com/cardamomyoke/cardamomyoke/internal/testing/bench/report"
)

// fullTree is the number of nodes from which on some node has all the children that the fan-out allows, and what the
// process costs by itself is spread over enough nodes. Smaller clusters are measured but say nothing about growth.
const fullTree = 30

// slope fits a line over the numbers of nodes and returns its value at the target, but no less than what was measured
// with the most nodes, and its rise for each 100 nodes.
func slope(rows []row, of func(row) float64) (atTarget, per100 float64) {
	var x, y []float64
	for i, r := range rows {
		if r.nodes < fullTree && i < len(rows)-1 {
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

// verdicts prints the slopes, and each limit with ok or short. What lies beyond the largest number of nodes measured
// is worked out from the slope and says so.
func verdicts(out io.Writer, rows []row, mem memory) error {
	perSecond := float64(changesPerDay) / secondsPerDay
	figures := []struct {
		name string
		of   func(row) float64
	}{
		{"p99 seconds from put to in force everywhere", func(r row) float64 { return report.Quantile(0.99, r.times) }},
		{"bytes a second of the busiest node, both ways", func(r row) float64 { return r.idleBytesMost + 2*perSecond*r.changeBytes }},
		{"percent of a core a node", func(r row) float64 {
			return r.cpu + percent*perSecond*(r.changeCPU.Seconds()+mem.apply.Seconds())
		}},
		{"MB a node", func(r row) float64 { return r.memoryMB + mem.mb }},
		{"platform reads a second of all nodes", func(r row) float64 { return r.reads + perSecond*r.changeReads }},
		{"platform writes a second of all nodes", func(r row) float64 { return r.writes + perSecond*r.changeWrites }},
	}
	limits := []float64{limitSeconds, limitBytes, limitCPU, limitMemoryMB, limitReads, limitWrites}
	if _, err := fmt.Fprintf(out, "state of %d clients and %d members, two revisions of it: %.1f MB; applying one change: %v\n",
		targetClients, targetNodes, mem.mb, mem.apply); err != nil {
		return err
	}
	var claims []report.Claim
	largest := rows[len(rows)-1]
	for i, fig := range figures {
		at, rise := slope(rows, fig.of)
		if _, err := fmt.Fprintf(out, "slope from %d nodes on: %s: %+.3g for each 100 nodes\n", fullTree, fig.name, rise); err != nil {
			return err
		}
		claims = append(claims,
			report.Claim{Text: fmt.Sprintf("%s, measured with %d", fig.name, largest.nodes), Reached: fig.of(largest), Bound: report.AtMost, Limit: limits[i]},
			report.Claim{Text: fmt.Sprintf("%s, from the slope at %d", fig.name, targetNodes), Reached: at, Bound: report.AtMost, Limit: limits[i]})
	}
	_, err := report.WriteClaims(out, claims)
	return err
}
