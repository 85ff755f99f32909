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

// The limits of the criteria, all of them ratios.
const (
	maxSharedRatio = 0.7  // time to first token over that of random-of-two, with shared prefixes
	maxRatio       = 1.05 // the same with distinct prompts
	minGoodput     = 0.95 // goodput at 3 times load over that at load 1
	maxFirstClass  = 1.25 // first-class time to first token at 3 times load over that at 0.7
	minShare       = 0.95 // work served for a small client over its fair share
	maxRetries     = 0.1  // attempts that retries add over first attempts
)

func milliseconds(h *hdrhistogram.Histogram, q float64) float64 {
	return float64(quantile(h, q)) / float64(time.Millisecond)
}

// The metrics of the tables and criteria. Times are in ms.

func ttftP95(r *result) float64           { return milliseconds(r.ttft, 95) }
func ttftFromStartP95(r *result) float64  { return milliseconds(r.ttftFromStart, 95) }
func ttftFirstClassP99(r *result) float64 { return milliseconds(r.ttftFirstClass, 99) }
func tokenGapP95(r *result) float64       { return milliseconds(r.tokenGaps, 95) }
func refusalP99(r *result) float64        { return milliseconds(r.refusalWait, 99) }
func cachedPercent(r *result) float64     { return 100 * ratio(r.cachedTokens, r.promptTokens) }
func completedPercent(r *result) float64 {
	return 100 * ratio(float64(r.completedN), float64(r.offeredN))
}
func missedPercent(r *result) float64 { return 100 * ratio(float64(r.missedN), float64(r.offeredN)) }
func failedPercent(r *result) float64 { return 100 * ratio(float64(r.failedN), float64(r.offeredN)) }
func addedAttempts(r *result) float64 {
	return ratio(float64(r.attempts-r.firstAttempts), float64(r.firstAttempts))
}

func mean(values []float64) float64 { return report.Summarize(values).Mean }

// Write prints all tables and then the criteria. It reports whether all criteria are met.
func (r *Results) Write(w io.Writer) (bool, error) {
	for _, t := range r.Tables() {
		if err := t.Text(w); err != nil {
			return false, err
		}
		fmt.Fprintln(w)
	}
	return report.WriteCriteria(w, r.Criteria())
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
			trace, mean(r.saturationRates[trace]), r.settings.Seed, r.settings.Seed+uint64(r.settings.Seeds)-1),
		Columns: []string{
			"load", "policy", "first token p95 after admission, ms", "from arrival, ms", "first class p99, ms",
			"between tokens p95, ms", "prompt cached, %", "answered, %", "misses of deadline, %", "goodput, tokens/s",
		},
	}
	for _, load := range routingLoads {
		for _, p := range routingPolicies {
			c := cell{trace: trace, policy: p, admit: admitFair, retries: retriesBudget, load: load}
			r.addRow(t, c, []any{load, p}, ttftFromStartP95, ttftP95, ttftFirstClassP99, tokenGapP95, cachedPercent, completedPercent, missedPercent, (*result).goodput)
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
			r.addRow(t, c, []any{load, a}, (*result).goodput, ttftFirstClassP99, ttftP95, completedPercent, missedPercent, refusalP99, (*result).minSmallShareRatio)
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
		r.addRow(t, retryCell(v), []any{v}, addedAttempts, completedPercent, failedPercent, ttftP95)
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

// Criteria returns the criteria that the policies must meet.
func (r *Results) Criteria() []report.Criterion {
	var criteria []report.Criterion
	for _, trace := range traces {
		criteria = append(criteria, r.routingCriteria(trace)...)
		criteria = append(criteria, r.admissionCriteria(trace)...)
	}
	for _, v := range []string{retriesBudget, retriesNoEjection} {
		criteria = append(criteria, report.Criterion{
			Text:    "attempts added by retries with a third failing, " + v,
			Reached: slices.Max(r.values(retryCell(v), addedAttempts)), Bound: report.AtMost, Limit: maxRetries,
		})
	}
	return criteria
}

func (r *Results) routingCriteria(trace string) []report.Criterion {
	limit := maxRatio
	if trace == traceShared {
		limit = maxSharedRatio
	}
	var criteria []report.Criterion
	for _, load := range routingLoads {
		ours := cell{trace: trace, policy: policyExpectedWait, admit: admitFair, retries: retriesBudget, load: load}
		base := ours
		base.policy = policyRandomTwo
		name := fmt.Sprintf("p95 of the first token over random-of-two's, %s, load %.1f, ", trace, load)
		criteria = append(criteria,
			report.Criterion{Text: name + "after admission", Reached: mean(r.ratios(ours, base, ttftFromStartP95)), Bound: report.AtMost, Limit: limit},
			report.Criterion{Text: name + "from arrival", Reached: mean(r.ratios(ours, base, ttftP95)), Bound: report.AtMost, Limit: limit},
		)
	}
	return criteria
}

func (r *Results) admissionCriteria(trace string) []report.Criterion {
	at := func(load float64) cell {
		return cell{trace: trace, policy: policyExpectedWait, admit: admitFair, retries: retriesBudget, load: load}
	}
	criteria := []report.Criterion{
		{
			Text:    "goodput at 3 times load over that at 1, " + trace,
			Reached: mean(r.ratios(at(3), at(1), (*result).goodput)), Bound: report.AtLeast, Limit: minGoodput,
		},
		{
			Text:    "first class p99 at 3 times load over that at 0.7, " + trace,
			Reached: mean(r.ratios(at(3), at(0.7), ttftFirstClassP99)), Bound: report.AtMost, Limit: maxFirstClass,
		},
	}
	for _, load := range []float64{1.5, 3} {
		suffix := fmt.Sprintf("%s, load %.1f", trace, load)
		criteria = append(criteria,
			report.Criterion{
				Text:    "worst-off small client's share of fair, mean over seeds, " + suffix,
				Reached: r.minMeanSmallShareRatio(at(load)), Bound: report.AtLeast, Limit: minShare,
			},
			report.Criterion{
				Text:    "worst-off small client's share of fair in any seed, " + suffix,
				Reached: slices.Min(r.values(at(load), (*result).minSmallShareRatio)), Bound: report.AtLeast, Limit: minShare,
			},
		)
	}
	return criteria
}

// minMeanSmallShareRatio returns the lowest mean of the fair share ratio over the seeds, of all small clients.
func (r *Results) minMeanSmallShareRatio(c cell) float64 {
	lowest := math.Inf(1)
	for _, a := range accounts() {
		if isSmall(a.name) {
			lowest = min(lowest, mean(r.values(c, func(res *result) float64 { return res.fairShareRatio(a.name) })))
		}
	}
	return lowest
}
