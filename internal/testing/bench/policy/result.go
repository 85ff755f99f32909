package policy

import (
	"math"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
)

// result holds the measurements of one run. Except for completedSecondHalf, it covers the requests that isMeasured
// accepts.
type result struct {
	setup setup
	// ttft is the time to first token from the arrival, ttftFromStart that from the start of the first attempt, and
	// tokenGaps the time between two tokens.
	ttft, ttftFirstClass, ttftFromStart, ttftFromStartFirstClass, tokenGaps *hdrhistogram.Histogram
	// refusalWait is the time from the arrival to the refusal.
	refusalWait *hdrhistogram.Histogram

	offeredN, completedN, refusedN, missedN, failedN int
	firstAttempts, attempts                          int
	goodTokens                                       float64
	cachedTokens, expectedCachedTokens, promptTokens float64
	// offeredWork and servedWork are the work of the second class by client, as computed by workTokens.
	offeredWork, servedWork map[ids.Client]float64
	// completedSecondHalf counts all requests completed in the second half of the run.
	completedSecondHalf int
}

const (
	histogramMax    = int64(time.Minute / time.Microsecond)
	histogramDigits = 2
)

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, histogramMax, histogramDigits)
}

func newResult(s setup) *result {
	return &result{
		setup: s, ttft: newHistogram(), ttftFirstClass: newHistogram(), ttftFromStart: newHistogram(), ttftFromStartFirstClass: newHistogram(),
		tokenGaps: newHistogram(), refusalWait: newHistogram(),
		offeredWork: make(map[ids.Client]float64), servedWork: make(map[ids.Client]float64),
	}
}

// isMeasured reports whether a request counts: it arrives after the warm-up, and its deadline is before the end of the
// run.
func (r *result) isMeasured(req *request) bool {
	from, to := epoch.Add(r.setup.warmup), epoch.Add(r.setup.duration-deadline)
	return !req.at.Before(from) && req.at.Before(to)
}

// record adds a duration to a histogram, limited to the histogram's range of 1 µs to 1 min.
func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(histogramMax, max(1, int64(d/time.Microsecond))))
}

// quantile returns the value at q percent.
func quantile(h *hdrhistogram.Histogram, q float64) time.Duration {
	return time.Duration(h.ValueAtQuantile(q)) * time.Microsecond
}

func (r *result) offered(req *request) {
	if !r.isMeasured(req) {
		return
	}
	r.offeredN++
	if req.class == classSecond {
		r.offeredWork[req.client] += workTokens(req.output)
	}
}

func (r *result) attempted(req *request) {
	if !r.isMeasured(req) {
		return
	}
	r.attempts++
	if req.session.Attempts() == 1 {
		r.firstAttempts++
	}
}

func (r *result) cacheHit(req *request, cached, expected int) {
	if r.isMeasured(req) {
		r.cachedTokens += float64(cached)
		r.expectedCachedTokens += float64(expected)
		r.promptTokens += promptTokens
	}
}

func (r *result) firstToken(req *request) {
	if !r.isMeasured(req) {
		return
	}
	fromArrival, fromStart := req.firstAt.Sub(req.at), req.firstAt.Sub(req.startedAt)
	record(r.ttft, fromArrival)
	record(r.ttftFromStart, fromStart)
	if req.class == classFirst {
		record(r.ttftFirstClass, fromArrival)
		record(r.ttftFromStartFirstClass, fromStart)
	}
}

func (r *result) tokenGap(req *request, d time.Duration) {
	if r.isMeasured(req) {
		record(r.tokenGaps, d)
	}
}

func (r *result) completed(req *request, now time.Time) {
	if now.Sub(epoch) >= r.setup.duration/2 {
		r.completedSecondHalf++
	}
	if !r.isMeasured(req) {
		return
	}
	r.completedN++
	r.goodTokens += float64(req.output)
	if req.class == classSecond {
		r.servedWork[req.client] += workTokens(req.output)
	}
}

func (r *result) refused(req *request, now time.Time) {
	if r.isMeasured(req) {
		r.refusedN++
		record(r.refusalWait, now.Sub(req.at))
	}
}

func (r *result) missed(req *request) {
	if r.isMeasured(req) {
		r.missedN++
	}
}

func (r *result) failed(req *request) {
	if r.isMeasured(req) {
		r.failedN++
	}
}

// goodput returns the output tokens per second of the responses that were complete before their deadline.
func (r *result) goodput() float64 {
	return r.goodTokens / (r.setup.duration - deadline - r.setup.warmup).Seconds()
}

// completionRate returns the requests per second completed in the second half of the run.
func (r *result) completionRate() float64 {
	return float64(r.completedSecondHalf) / (r.setup.duration / 2).Seconds()
}

// fairShareRatio returns a client's served work relative to its max-min fair share: no client gets more than its demand,
// and the rest is divided equally.
func (r *result) fairShareRatio(client ids.Client) float64 {
	total := 0.0
	for _, v := range r.servedWork {
		total += v
	}
	level := maxMinLevel(r.offeredWork, total)
	return ratio(r.servedWork[client], min(r.offeredWork[client], level))
}

// minSmallShareRatio returns the lowest fairShareRatio of the small clients.
func (r *result) minSmallShareRatio() float64 {
	lowest := math.Inf(1)
	for client := range r.offeredWork {
		if isSmall(client) {
			lowest = min(lowest, r.fairShareRatio(client))
		}
	}
	return lowest
}

// maxMinLevel returns the level at which the demands, each capped at the level, add up to total. If they add up to less,
// it is the largest demand.
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

// ratio returns a/b, or 0 if b is 0.
func ratio(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}
