package policy

import (
	"fmt"
	"io"
	"math"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/cardamomyoke/cardamomyoke/internal/testing/bench/report"
)

// The limits of the claims.
const (
	maxSharedRatio = 0.7
	maxRatio       = 1.05
	minGoodput     = 0.95
	maxFirstClass  = 1.25
	minShare       = 0.95
	maxRetries     = 0.1
)

func milliseconds(h *hdrhistogram.Histogram, q float64) float64 {
	return float64(quantile(h, q)) / float64(time.Millisecond)
}

func visible95(r *result) float64 { return milliseconds(r.visible, 95) }
func routed95(r *result) float64  { return milliseconds(r.routed, 95) }
func first99(r *result) float64   { return milliseconds(r.visibleFirst, 99) }
func gap95(r *result) float64     { return milliseconds(r.gaps, 95) }
func refusal99(r *result) float64 { return milliseconds(r.refusalWait, 99) }
func hits(r *result) float64      { return 100 * ratio(r.cachedTokens, r.promptTokens) }
func answered(r *result) float64  { return 100 * ratio(float64(r.answeredN), float64(r.offeredN)) }
func missed(r *result) float64    { return 100 * ratio(float64(r.missedN), float64(r.offeredN)) }
func failedN(r *result) float64   { return 100 * ratio(float64(r.failedN), float64(r.offeredN)) }
func added(r *result) float64 {
	return ratio(float64(r.attempts-r.firstAttempts), float64(r.firstAttempts))
}

func mean(values []float64) float64 { return report.Summarize(values).Mean }

// Write prints all tables and then the claims; it reports whether all claims are met.
func (r *Results) Write(w io.Writer) (bool, error) {
	for _, t := range r.Tables() {
		if err := t.Text(w); err != nil {
			return false, err
		}
		fmt.Fprintln(w)
	}
	return report.WriteClaims(w, r.Claims())
}

// Tables returns the tables of all traces.
func (r *Results) Tables() []*report.Table {
	var tables []*report.Table
	for _, trace := range traces {
		tables = append(tables, r.routingTable(trace), r.admissionTable(trace))
	}
	return append(tables, r.retryTable())
}

func (r *Results) routingTable(trace string) *report.Table {
	t := &report.Table{
		Title: fmt.Sprintf("Routing, %s, load 1 = %.0f requests/s, mean of seeds %d to %d",
			trace, mean(r.carried[trace]), r.settings.Seed, r.settings.Seed+uint64(r.settings.Seeds)-1),
		Columns: []string{
			"load", "policy", "first token p95 after admission, ms", "from arrival, ms", "first class p99, ms",
			"between tokens p95, ms", "prompt cached, %", "answered, %", "misses of deadline, %", "goodput, tokens/s",
		},
	}
	for _, load := range routingLoads {
		for _, p := range routingPolicies {
			c := cell{trace: trace, policy: p, admit: admitFair, retries: retriesBudget, load: load}
			r.addRow(t, c, []any{load, p}, routed95, visible95, first99, gap95, hits, answered, missed, (*result).goodput)
		}
	}
	return t
}

func (r *Results) admissionTable(trace string) *report.Table {
	t := &report.Table{
		Title: "Admission, " + trace + ", routing by expected wait",
		Columns: []string{
			"load", "admission", "goodput, tokens/s", "first class p99, ms", "first token p95 from arrival, ms",
			"answered, %", "misses of deadline, %", "refusal p99, ms", "worst-off small client's share of fair",
		},
	}
	for _, load := range admissionLoads {
		for _, a := range admissions {
			c := cell{trace: trace, policy: policyExpectedWait, admit: a, retries: retriesBudget, load: load}
			r.addRow(t, c, []any{load, a}, (*result).goodput, first99, visible95, answered, missed, refusal99, (*result).smallShare)
		}
	}
	return t
}

func (r *Results) retryTable() *report.Table {
	t := &report.Table{
		Title:   fmt.Sprintf("Retries, %d of %d runners failing, load %.1f, %s", failingThird, runners, retryLoad, traceShared),
		Columns: []string{"retries", "added attempts, fraction", "answered, %", "failed to the caller, %", "first token p95, ms"},
	}
	for _, v := range retryVariants {
		r.addRow(t, retryCell(v), []any{v}, added, answered, failedN, visible95)
	}
	return t
}

func (r *Results) addRow(t *report.Table, c cell, head []any, figures ...func(*result) float64) {
	row := head
	for _, get := range figures {
		row = append(row, mean(r.values(c, get)))
	}
	t.Add(row...)
}

// Claims returns what the policies have to reach.
func (r *Results) Claims() []report.Claim {
	var claims []report.Claim
	for _, trace := range traces {
		claims = append(claims, r.routingClaims(trace)...)
		claims = append(claims, r.admissionClaims(trace)...)
	}
	for _, v := range []string{retriesBudget, retriesBlind} {
		claims = append(claims, report.Claim{
			Text:    "attempts added by retries with a third failing, " + v,
			Reached: slices.Max(r.values(retryCell(v), added)), Bound: report.AtMost, Limit: maxRetries,
		})
	}
	return claims
}

func (r *Results) routingClaims(trace string) []report.Claim {
	limit := maxRatio
	if trace == traceShared {
		limit = maxSharedRatio
	}
	var claims []report.Claim
	for _, load := range routingLoads {
		ours := cell{trace: trace, policy: policyExpectedWait, admit: admitFair, retries: retriesBudget, load: load}
		base := ours
		base.policy = policyRandomTwo
		name := fmt.Sprintf("p95 of the first token over random-of-two's, %s, load %.1f, ", trace, load)
		claims = append(claims,
			report.Claim{Text: name + "after admission", Reached: mean(r.ratios(ours, base, routed95)), Bound: report.AtMost, Limit: limit},
			report.Claim{Text: name + "from arrival", Reached: mean(r.ratios(ours, base, visible95)), Bound: report.AtMost, Limit: limit},
		)
	}
	return claims
}

func (r *Results) admissionClaims(trace string) []report.Claim {
	at := func(load float64) cell {
		return cell{trace: trace, policy: policyExpectedWait, admit: admitFair, retries: retriesBudget, load: load}
	}
	claims := []report.Claim{
		{
			Text:    "goodput at 3 times load over that at 1, " + trace,
			Reached: mean(r.ratios(at(3), at(1), (*result).goodput)), Bound: report.AtLeast, Limit: minGoodput,
		},
		{
			Text:    "first class p99 at 3 times load over that at 0.7, " + trace,
			Reached: mean(r.ratios(at(3), at(0.7), first99)), Bound: report.AtMost, Limit: maxFirstClass,
		},
	}
	for _, load := range []float64{1.5, 3} {
		place := fmt.Sprintf("%s, load %.1f", trace, load)
		claims = append(claims,
			report.Claim{
				Text:    "worst-off small client's share of fair, mean over seeds, " + place,
				Reached: r.worstOff(at(load)), Bound: report.AtLeast, Limit: minShare,
			},
			report.Claim{
				Text:    "worst-off small client's share of fair in any seed, " + place,
				Reached: slices.Min(r.values(at(load), (*result).smallShare)), Bound: report.AtLeast, Limit: minShare,
			},
		)
	}
	return claims
}

// worstOff is the least, over the small clients, of the mean share over the seeds.
func (r *Results) worstOff(c cell) float64 {
	least := math.Inf(1)
	for _, a := range accounts() {
		if isSmall(a.name) {
			least = min(least, mean(r.values(c, func(figures *result) float64 { return figures.share(a.name) })))
		}
	}
	return least
}
