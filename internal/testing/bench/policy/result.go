package policy

import (
	"math"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
)

// result is what one run measured, from arrivals after the warm-up.
type result struct {
	setup setup
	// first tokens, from arrival and from the start of the first attempt.
	visible, visibleFirst, routed, routedFirst, gaps *hdrhistogram.Histogram
	// refusals' times from arrival to the caller's final answer.
	refusalWait *hdrhistogram.Histogram

	offeredN, answeredN, refusedN, missedN, failedN int
	firstAttempts, attempts                         int
	goodTokens                                      float64
	cachedTokens, believedTokens, promptTokens      float64
	// offered and served work of the second class by client.
	offeredWork, servedWork map[ids.Client]float64
	finished                int
}

const (
	histogramMost   = int64(time.Minute / time.Microsecond)
	histogramDigits = 2
)

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, histogramMost, histogramDigits)
}

func newResult(s setup) *result {
	return &result{
		setup: s, visible: newHistogram(), visibleFirst: newHistogram(), routed: newHistogram(), routedFirst: newHistogram(),
		gaps: newHistogram(), refusalWait: newHistogram(),
		offeredWork: make(map[ids.Client]float64), servedWork: make(map[ids.Client]float64),
	}
}

// counts reports whether an arrival is measured: after the warm-up, and early enough that its deadline falls into the
// run.
func (r *result) counts(req *request) bool {
	from, to := epoch.Add(r.setup.warmup), epoch.Add(r.setup.run-deadline)
	return !req.at.Before(from) && req.at.Before(to)
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(histogramMost, max(1, int64(d/time.Microsecond))))
}

func quantile(h *hdrhistogram.Histogram, q float64) time.Duration {
	return time.Duration(h.ValueAtQuantile(q)) * time.Microsecond
}

func (r *result) offered(req *request) {
	if !r.counts(req) {
		return
	}
	r.offeredN++
	if req.class == classSecond {
		r.offeredWork[req.client] += workOf(req.output)
	}
}

func (r *result) attempted(req *request) {
	if !r.counts(req) {
		return
	}
	r.attempts++
	if req.session.Attempts() == 1 {
		r.firstAttempts++
	}
}

func (r *result) hit(req *request, cached, believed int) {
	if r.counts(req) {
		r.cachedTokens += float64(cached)
		r.believedTokens += float64(believed)
		r.promptTokens += promptTokens
	}
}

func (r *result) first(req *request) {
	if !r.counts(req) {
		return
	}
	visible, routed := req.firstAt.Sub(req.at), req.firstAt.Sub(req.startedAt)
	record(r.visible, visible)
	record(r.routed, routed)
	if req.class == classFirst {
		record(r.visibleFirst, visible)
		record(r.routedFirst, routed)
	}
}

func (r *result) gap(req *request, d time.Duration) {
	if r.counts(req) {
		record(r.gaps, d)
	}
}

func (r *result) answered(req *request, now time.Time) {
	if now.Sub(epoch) >= r.setup.run/2 {
		r.finished++
	}
	if !r.counts(req) {
		return
	}
	r.answeredN++
	r.goodTokens += float64(req.output)
	if req.class == classSecond {
		r.servedWork[req.client] += workOf(req.output)
	}
}

func (r *result) refused(req *request, now time.Time) {
	if r.counts(req) {
		r.refusedN++
		record(r.refusalWait, now.Sub(req.at))
	}
}

func (r *result) missed(req *request) {
	if r.counts(req) {
		r.missedN++
	}
}

func (r *result) failed(req *request) {
	if r.counts(req) {
		r.failedN++
	}
}

// goodput is the output tokens a second of answers that were complete before their deadline.
func (r *result) goodput() float64 {
	return r.goodTokens / (r.setup.run - deadline - r.setup.warmup).Seconds()
}

// carried is the requests a second that were finished in the second half of the run.
func (r *result) carried() float64 { return float64(r.finished) / (r.setup.run / 2).Seconds() }

// share is what a client was served against its fair share: the max-min share, by which nobody gets more than it asks
// for and the rest is divided evenly.
func (r *result) share(client ids.Client) float64 {
	total := 0.0
	for _, v := range r.servedWork {
		total += v
	}
	level := maxMinLevel(r.offeredWork, total)
	return ratio(r.servedWork[client], min(r.offeredWork[client], level))
}

// smallShare is the least share of a small client.
func (r *result) smallShare() float64 {
	least := math.Inf(1)
	for client := range r.offeredWork {
		if isSmall(client) {
			least = min(least, r.share(client))
		}
	}
	return least
}

// maxMinLevel returns the level at which the parts of demands, each cut at the level, add up to total.
func maxMinLevel(demand map[ids.Client]float64, total float64) float64 {
	var sorted []float64
	for _, d := range demand {
		sorted = append(sorted, d)
	}
	slices.Sort(sorted)
	for i, d := range sorted {
		even := total / float64(len(sorted)-i)
		if d >= even {
			return even
		}
		total -= d
	}
	return sorted[len(sorted)-1]
}

func ratio(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}
