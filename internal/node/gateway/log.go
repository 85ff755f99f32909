package gateway

import (
	"context"
	"errors"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/valyala/fasthttp"

	"github.com/cardamomyoke/cardamomyoke/internal/base/failure"
	"github.com/cardamomyoke/cardamomyoke/internal/base/httpserver"
	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
	"github.com/cardamomyoke/cardamomyoke/internal/base/logging"
	"github.com/cardamomyoke/cardamomyoke/internal/policy/dispatch"
	"github.com/cardamomyoke/cardamomyoke/internal/state/catalog"
	"github.com/cardamomyoke/cardamomyoke/internal/state/replica"
)

// requestLogs are the rate-limited logs of decisions about requests. Lines about failed requests are fewer and more
// important, so they have a limit of their own, and so have those about requests that may run once and of which an attempt has failed,
// those about answers that their callers did not get whole, and, of these, those whose callers have left: they may do so in large numbers.
type requestLogs struct {
	ordinary, failures, resends, brokenOff, callerLeft *logging.RateLimited
}

func newRequestLogs(l log.Logger, b LogBounds) *requestLogs {
	return &requestLogs{
		ordinary:   logging.NewRateLimited(level.Info(l), b.ordinary(), time.Now),
		failures:   logging.NewRateLimited(level.Info(l), b.failures(), time.Now),
		resends:    logging.NewRateLimited(level.Info(l), b.failures(), time.Now),
		brokenOff:  logging.NewRateLimited(level.Info(l), b.failures(), time.Now),
		callerLeft: logging.NewRateLimited(level.Info(l), b.failures(), time.Now),
	}
}

// resent returns the log of decisions to send a request again.
func (l *requestLogs) resent(repeatable bool) *logging.RateLimited {
	if repeatable {
		return l.failures
	}
	return l.resends
}

// of returns the log of a run's placements and outcome: other, unless the request may run once and an attempt has failed.
func (l *requestLogs) of(n *run, other *logging.RateLimited) *logging.RateLimited {
	if n.sent+n.unreached > 0 && !n.r.route.Repeatable() {
		return l.resends
	}
	return other
}

// logRefused logs that a request was refused before any attempt.
func (g *Gateway) logRefused(x *httpserver.Exchange, v *view, r *request, err error) {
	f := failure.From(err)
	now := time.Now()
	fields := []any{
		"msg", "request", "outcome", "refused", "request", r.call.Attempt, "code", f.Code, "proof", f.Proof,
		"retry_after_ms", f.RetryAfter.Milliseconds(), "revision", r.revision, "client", r.client,
		"node", v.state, "store_up", v.storeUp, "store_since_ms", ageOf(v.storeSince, now), "err", err,
	}
	if r.route != nil {
		fields = append(fields, "route", r.route.Name)
	}
	x.OnEnd(func(e httpserver.AnswerEnd) { g.logWithEnd(g.requests.failures, noService, e, fields) })
}

// logPaused logs that a request may have stood unread while this process was paused, and how long it stood, which is added to its age.
func (g *Gateway) logPaused(r *request, paused, stood time.Duration) {
	_ = g.requests.failures.Log("msg", "request read after a process pause", "request", r.call.Attempt, "paused_ms", paused.Milliseconds(),
		"stood_ms", stood.Milliseconds(), "told_left_ms", r.call.Remaining.Milliseconds())
}

// logPlaced logs the upstream of an attempt and the values behind the decision.
func (g *Gateway) logPlaced(n *run, u ids.UpstreamIncarnation, d dispatch.PlacementInputs) {
	_ = g.requests.of(n, g.requests.ordinary).Log("msg", "placed", "request", n.r.call.Attempt, "route", n.r.route.Name, "revision", n.r.revision,
		"upstream", n.upstream, "address", n.address, "attempt", n.sent+n.unreached+1, "load", d.Load, "usable", d.Usable, "waiting", d.Waiting,
		"digests_age_ms", d.OthersAge.Milliseconds(), "waited_ms", n.placedAt.Sub(n.r.arrived).Milliseconds(),
		"limit_per_second", n.g.limits.perSecond(u), "own_part_per_second", d.OwnPart, "cold_part_per_second", d.ColdPart,
		"priority", n.r.priority, "class", n.r.route.Priority, "slots_reserved", d.Reserved,
		"account_tokens", d.AccountTokens, "yielded", d.Yielded, "entitled", d.Entitled)
}

// logForeignResponse logs and counts a response that is not the answer to the request's attempt.
func (g *Gateway) logForeignResponse(n *run, u *catalog.Upstream, h *fasthttp.ResponseHeader) {
	bears := g.dialect.ResponseAttempt(h)
	g.metrics.foreignResponse(u.Service, h.StatusCode(), bears != "")
	_ = g.requests.failures.Log("msg", "response to another request skipped", "request", n.r.call.Attempt, "route", n.r.route.Name,
		"upstream", u.Incarnation(), "address", u.Address, "status", h.StatusCode(), "bears", bears)
}

// logRetry logs that another attempt follows.
func (g *Gateway) logRetry(n *run, err error) {
	g.metrics.requestRetried(n.r.service.Name, proofOf(err))
	now := time.Now()
	fields := []any{
		"msg", "retrying request", "request", n.r.call.Attempt, "route", n.r.route.Name,
		"upstream", n.upstream, "address", n.address, "sent", n.sent, "unreached", n.unreached, "may_have_run", n.mayHaveRun,
		"repeatable", n.r.route.Repeatable(), "after_event", n.stream.lastEvent,
	}
	fields = append(fields, proofFields(err)...)
	fields = append(fields, budgetFields(n.service, now)...)
	_ = g.requests.resent(n.r.route.Repeatable()).Log(append(fields, "left_ms", n.r.deadline.Sub(now).Milliseconds(), "err", err)...)
}

// handoverResult is how a handover ended.
type handoverResult struct {
	// to is the upstream that was to take over; empty if none had a place.
	to       ids.Upstream
	tookOver bool
	// err is why there was no successor; nil if there was one.
	err  error
	took time.Duration
}

// outcome is a label of metrics.
func (r handoverResult) outcome() string {
	var place *NoPlaceError
	var retry *NoRetryError
	switch {
	case r.tookOver:
		return "taken-over"
	case r.err == nil:
		return "not-needed"
	case errors.As(r.err, &place):
		return "no-place"
	case errors.As(r.err, &retry):
		return "no-retry"
	}
	return string(attemptEndOf(r.err))
}

// recordHandover counts a handover, and logs it unless no upstream had a place again.
func (g *Gateway) recordHandover(n *run, h *handovers, p *handover, r handoverResult) {
	g.metrics.handedOver(n.r.service.Name, p.reason, r.outcome())
	if r.tookOver && p.reason == moveEvacuated {
		g.metrics.evacuationMoved(n.r.service.Name, 1)
	}
	if r.to == "" && !h.firstUnplaced() {
		return
	}
	fields := []any{"msg", "handover", "request", n.r.call.Attempt, "route", n.r.route.Name, "from", h.from, "to", r.to, "reason", p.reason,
		"outcome", r.outcome(), "took_ms", r.took.Milliseconds()}
	fields = append(fields, budgetFields(n.service, time.Now())...)
	_ = g.requests.failures.Log(append(fields, "left_ms", time.Until(n.r.deadline).Milliseconds(), "err", r.err)...)
}

// logRetryDenied logs that the retry budget does not allow another attempt.
func (g *Gateway) logRetryDenied(n *run, err error) {
	g.metrics.retryDenied(n.r.service.Name)
	now := time.Now()
	fields := []any{"msg", "retry denied", "request", n.r.call.Attempt, "route", n.r.route.Name, "service", n.r.service.Name, "upstream", n.upstream, "sent", n.sent}
	fields = append(fields, budgetFields(n.service, now)...)
	_ = g.requests.failures.Log(append(fields, "left_ms", n.r.deadline.Sub(now).Milliseconds(), "err", err)...)
}

// budgetFields returns the log fields of a retry budget: the retries that this gateway sent in the window and the requests that it
// got, what is left of earned and of granted ones, since when the budget counts, and what the latest request for a grant found.
func budgetFields(s *service, now time.Time) []any {
	u, grants := s.budget.Usage(now), s.grants.last()
	return []any{
		"budget_spent", u.Sent, "budget_first", u.First, "budget_earned_left", u.Earned, "budget_granted_left", u.Granted,
		"budget_since_ms", ageOf(u.Since, now), "granted_to_all", grants.granted, "grant_limit", grants.limit, "grant_age_ms", ageOf(grants.at, now),
	}
}

// logOutcome counts the outcome of a request, and logs it once it is known how the answer ended at the caller's connection.
func (g *Gateway) logOutcome(n *run, err error) {
	g.metrics.requestDone(n.r.service.Name, err, time.Since(n.r.arrived).Seconds())
	if config := g.view.Load().config; config != nil && len(config.Priorities(n.r.service.Name)) > 1 {
		g.metrics.classDone(n.r.service.Name, n.r.route.Priority, classOutcome(n, err))
	}
	now := time.Now()
	fields := []any{
		"msg", "request", "outcome", outcomeText(n, err), "priority", n.r.priority, "class", n.r.route.Priority, "request", n.r.call.Attempt, "route", n.r.route.Name,
		"revision", n.r.revision, "client", n.r.client, "upstream", n.upstream, "sent", n.sent, "unreached", n.unreached, "events", n.stream.events,
		"placed_ms", sinceArrival(n, n.placedAt), "first_ms", sinceArrival(n, n.firstPieceAt), "longest_gap_ms", n.stream.longestGap.Milliseconds(),
		"total_ms", sinceArrival(n, now), "left_ms", n.r.deadline.Sub(now).Milliseconds(),
	}
	if n.malformed != "" {
		fields = append(fields, "malformed", n.malformed)
	}
	lines := g.requests.of(n, g.requests.ordinary)
	if err != nil {
		f := failure.From(err)
		fields = append(fields, "code", f.Code, "proof", f.Proof, "retry_after_ms", f.RetryAfter.Milliseconds(), "err", err)
		fields = append(fields, n.brokenOff(err, now)...)
		lines = g.requests.of(n, g.requests.failures)
	}
	n.x.OnEnd(func(e httpserver.AnswerEnd) { g.logWithEnd(lines, n.r.service.Name, e, fields) })
}

// logWithEnd logs the outcome of a request and how its answer ended at the caller's connection.
func (g *Gateway) logWithEnd(lines *logging.RateLimited, service ids.Service, e httpserver.AnswerEnd, fields []any) {
	g.metrics.answerEnded(service, e)
	switch {
	case e.Whole():
	case e.ClosedBy == httpserver.ClosedByCaller:
		lines = g.requests.callerLeft
	default:
		lines = g.requests.brokenOff
	}
	_ = lines.Log(append(fields, "answer_whole", e.Whole(), "answer_bytes", e.WrittenBytes, "delivered_bytes", e.DeliveredBytes, "closed_by", e.ClosedBy)...)
}

// Outcomes of requests in logs.
const (
	outcomeAnswered = "answered"
	// outcomeLate: the response was complete, but began after the route's target or paused for longer than the route
	// permits.
	outcomeLate = "late"
	// outcomeUpstreamFailure: the caller received the upstream's own failure.
	outcomeUpstreamFailure = "upstream-failure"
	outcomeFailed          = "failed"
	// outcomeRefused: the request was refused as overloaded and did not run.
	outcomeRefused = "refused"
)

func outcomeText(n *run, err error) string {
	switch {
	case err != nil:
		return outcomeFailed
	case n.relayedFailure:
		return outcomeUpstreamFailure
	case n.late():
		return outcomeLate
	}
	return outcomeAnswered
}

// classOutcome returns the outcome of a request for the metrics by class.
func classOutcome(n *run, err error) string {
	if err != nil && failure.CodeOf(err) == failure.CodeOverloaded {
		return outcomeRefused
	}
	return outcomeText(n, err)
}

// late reports whether the response missed the route's target latency or target gap.
func (n *run) late() bool {
	route := n.r.route
	if route.TargetLatency > 0 && n.firstPieceAt.Sub(n.r.arrived) > route.TargetLatency {
		return true
	}
	return route.TargetGap > 0 && n.stream.longestGap > route.TargetGap
}

// sinceArrival returns the milliseconds from the request's arrival to t, or -1 if t is zero.
func sinceArrival(n *run, t time.Time) int64 {
	if t.IsZero() {
		return -1
	}
	return t.Sub(n.r.arrived).Milliseconds()
}

// ageOf returns the milliseconds from t to now, or -1 if t is zero.
func ageOf(t, now time.Time) int64 {
	if t.IsZero() {
		return -1
	}
	return now.Sub(t).Milliseconds()
}

// recordFirstPiece records when the first piece of the response arrived.
func (n *run) recordFirstPiece() {
	if !n.firstPieceAt.IsZero() {
		return
	}
	n.firstPieceAt = time.Now()
	n.g.metrics.firstPiece(n.r.service.Name, n.firstPieceAt.Sub(n.r.arrived).Seconds())
}

// logEjections logs and counts the upstreams that a service's gate has ejected since the last call.
func (g *Gateway) logEjections(name ids.Service, s *service) {
	for _, e := range s.gate.TakeEjections() {
		g.metrics.upstreamEjected(name, e.Cause)
		_ = g.requests.failures.Log("msg", "upstream ejected", "service", name, "upstream", e.Upstream, "cause", e.Cause,
			"in_row", e.Consecutive, "for_ms", e.Length.Milliseconds())
	}
}

// logStoreConnection logs that the connection to the store was lost or established, except when calls end because this
// gateway stops.
func (g *Gateway) logStoreConnection(table string, up bool, cause error) {
	msg := "store connection lost"
	if up {
		msg = "store connection established"
	}
	if errors.Is(cause, context.Canceled) {
		return
	}
	_ = level.Info(g.logger).Log("msg", msg, "table", table, "err", cause)
}

// maxStoreCallLogs is how many failed calls to the store are logged per second.
const maxStoreCallLogs = 4

// logStoreCallFailed logs a failed call for a table: what the copy has, and the status or version that the store
// returned.
func (g *Gateway) logStoreCallFailed(r *replica.Replica, err error) {
	if errors.Is(err, context.Canceled) {
		return
	}
	version, loaded := r.Position()
	_ = g.storeCalls.Log("msg", "store call failed", "table", r.Name(), "loaded", loaded, "version", version, "err", err)
}

// logEras logs each table whose replica has moved to another era of the store.
func (g *Gateway) logEras() {
	for _, f := range g.followers {
		r := f.Replica
		to, loaded := r.Position()
		before := g.control.eras[r.Name()]
		if !loaded || to.Era == before {
			continue
		}
		g.control.eras[r.Name()] = to.Era
		earlier, age := r.Earlier()
		_ = level.Warn(g.logger).Log("msg", "store era", "table", r.Name(), "era", to.Era, "before", before, "version", to,
			"earlier_rows", len(earlier), "age_ms", age.Milliseconds(), "following", f.Following())
	}
}
