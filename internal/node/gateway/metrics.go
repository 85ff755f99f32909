package gateway

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/cardamomyoke/cardamomyoke/internal/base/failure"
	"github.com/cardamomyoke/cardamomyoke/internal/base/httpclient"
	"github.com/cardamomyoke/cardamomyoke/internal/base/httpserver"
	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
	"github.com/cardamomyoke/cardamomyoke/internal/policy/dispatch"
	"github.com/cardamomyoke/cardamomyoke/internal/policy/notrun"
	"github.com/cardamomyoke/cardamomyoke/internal/policy/retry"
	"github.com/cardamomyoke/cardamomyoke/internal/state/catalog"
)

// gatewayMetrics are the metrics of one gateway; docs/OPERATIONS.md explains them.
type gatewayMetrics struct{ set *metrics.Set }

func newMetrics() *gatewayMetrics { return &gatewayMetrics{metrics.NewSet()} }

// addGauges adds the gauges of the gateway, which are read when the metrics are collected.
func (m *gatewayMetrics) addGauges(g *Gateway) {
	gauge := func(name string, read func() float64) { m.set.NewGauge("cardamomyoke_gateway_"+name, read) }
	gauge("requests_running", func() float64 { return float64(g.Busy()) })
	gauge("configuration_version", func() float64 {
		if c := g.view.Load().config; c != nil {
			return float64(c.Revision)
		}
		return 0
	})
	gauge("peers", func() float64 { return float64(g.peers.count(time.Now())) })
	gauge("leads_experts", func() float64 { return boolValue(g.experts.fence.Load() > 0) })
	gauge("requests_quarantined", func() float64 { return float64(g.suspects.countRefused(time.Now())) })
	gauge("requests_suspected", func() float64 { known, _ := g.suspects.countSuspects(time.Now()); return float64(known) })
	gauge("requests_suspected_not_in_digests", func() float64 { _, leftOut := g.suspects.countSuspects(time.Now()); return float64(leftOut) })
	gauge("parts_refused", func() float64 { refused, _ := g.suspects.parts.snapshot.Load().Count(); return float64(refused) })
	gauge("parts_suspected", func() float64 { _, suspected := g.suspects.parts.snapshot.Load().Count(); return float64(suspected) })
	gauge("parts_known", func() float64 { return boolValue(g.suspects.parts.known.Load()) })
	gauge("parts_saved", func() float64 { saved, _ := g.crashStore.saved(); return boolValue(saved) })
	for _, f := range g.followers {
		gauge(fmt.Sprintf("store_up{table=%q}", f.Replica.Name()), func() float64 { return boolValue(f.Connection().Up) })
		gauge(fmt.Sprintf("store_since_seconds{table=%q}", f.Replica.Name()), func() float64 { return time.Since(f.Connection().Since).Seconds() })
	}
	gauge(`log_lines_left_out_total{class="ordinary"}`, func() float64 { return float64(g.requests.ordinary.Suppressed()) })
	gauge(`log_lines_left_out_total{class="failures"}`, func() float64 { return float64(g.requests.failures.Suppressed()) })
	gauge(`log_lines_left_out_total{class="broken-off"}`, func() float64 { return float64(g.requests.brokenOff.Suppressed()) })
	gauge(`log_lines_left_out_total{class="resends"}`, func() float64 { return float64(g.requests.resends.Suppressed()) })
}

// addServiceGauges adds the gauges of one service; they are 0 once the service is removed.
func (m *gatewayMetrics) addServiceGauges(g *Gateway, name ids.Service) {
	gauge := func(metric string, value func(s *service) float64) {
		m.set.GetOrCreateGauge(fmt.Sprintf("cardamomyoke_gateway_%s{service=%q}", metric, name), func() float64 {
			if s := g.view.Load().services[name]; s != nil {
				return value(s)
			}
			return 0
		})
	}
	gauge("requests_waiting", func(s *service) float64 { return float64(s.gate.Waiting()) })
	gauge("cold_upstreams", func(*service) float64 { return float64(g.cold.of(name).upstreams) })
	gauge("cold_allowed_per_second", func(*service) float64 { return g.cold.of(name).perSecond })
	usage := func(metric string, value func(u retry.Usage) float64) {
		gauge(metric, func(s *service) float64 { return value(s.budget.Usage(time.Now())) })
	}
	usage("retries_left", func(u retry.Usage) float64 { return float64(u.Earned + u.Granted) })
	usage("retries_spent", func(u retry.Usage) float64 { return float64(u.Sent) })
	usage("retries_first_attempts", func(u retry.Usage) float64 { return float64(u.First) })
	usage("retries_since_seconds", func(u retry.Usage) float64 { return float64(max(0, ageOf(u.Since, time.Now()))) / 1000 })
	gauge("retries_granted_to_all", func(s *service) float64 { return float64(s.grants.last().granted) })
	gauge("retries_grant_limit", func(s *service) float64 { return s.grants.last().limit })
	gauge("retries_grant_age_seconds", func(s *service) float64 { return float64(max(0, ageOf(s.grants.last().at, time.Now()))) / 1000 })
}

func boolValue(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

func (m *gatewayMetrics) requestDone(service ids.Service, err error, seconds float64) {
	code := "ok"
	if err != nil {
		code = string(failure.CodeOf(err))
	}
	m.set.GetOrCreateCounter(fmt.Sprintf("cardamomyoke_gateway_requests_total{service=%q,code=%q}", service, code)).Inc()
	m.set.GetOrCreateHistogram(fmt.Sprintf("cardamomyoke_gateway_answer_seconds{service=%q}", service)).Update(seconds)
}

// answerEnded counts answers by how they ended at the caller's connection.
func (m *gatewayMetrics) answerEnded(service ids.Service, e httpserver.AnswerEnd) {
	m.set.GetOrCreateCounter(fmt.Sprintf("cardamomyoke_gateway_answers_total{service=%q,whole=\"%t\",closed_by=%q}", service, e.Whole(), e.ClosedBy)).Inc()
}

// answerBrokenOff counts an answer that has begun and is broken off.
func (m *gatewayMetrics) answerBrokenOff(service ids.Service, end attemptEnd, because stopCause) {
	m.set.GetOrCreateCounter(fmt.Sprintf("cardamomyoke_gateway_answers_broken_off_total{service=%q,ended_by=%q,not_resumed_by=%q}", service, end, because)).Inc()
}

// endNotConfirmed counts the streams that end where an upstream has closed its connection, since nobody could be asked for their end.
func (m *gatewayMetrics) endNotConfirmed(service ids.Service, because stopCause) {
	m.set.GetOrCreateCounter(fmt.Sprintf("cardamomyoke_gateway_ends_not_confirmed_total{service=%q,because=%q}", service, because)).Inc()
}

// handedOver counts the handovers of a stream to another upstream by how they ended.
func (m *gatewayMetrics) handedOver(service ids.Service, reason moveReason, outcome string) {
	m.set.GetOrCreateCounter(fmt.Sprintf("cardamomyoke_gateway_handovers_total{service=%q,reason=%q,outcome=%q}", service, reason, outcome)).Inc()
}

func (m *gatewayMetrics) classDone(service ids.Service, class int, outcome string) {
	m.set.GetOrCreateCounter(fmt.Sprintf("cardamomyoke_gateway_class_requests_total{service=%q,class=\"%d\",outcome=%q}", service, class, outcome)).Inc()
}

// placedUnderOverload counts a placement that fair shares of accounts or the least part of a class have changed.
func (m *gatewayMetrics) placedUnderOverload(service ids.Service, class int, d dispatch.PlacementInputs) {
	if d.Yielded {
		m.set.GetOrCreateCounter(fmt.Sprintf("cardamomyoke_gateway_yielded_total{service=%q}", service)).Inc()
	}
	if d.Entitled {
		m.set.GetOrCreateCounter(fmt.Sprintf("cardamomyoke_gateway_entitled_total{service=%q,class=\"%d\"}", service, class)).Inc()
	}
}

func (m *gatewayMetrics) digestFailed() {
	m.set.GetOrCreateCounter("cardamomyoke_gateway_digests_failed_total").Inc()
}

func (m *gatewayMetrics) peerDead(byRumor bool) {
	m.set.GetOrCreateCounter(fmt.Sprintf("cardamomyoke_gateway_peers_ended_total{told_by_others=\"%t\"}", byRumor)).Inc()
}

// malformedResponse counts a response that was refused for its form.
func (m *gatewayMetrics) malformedResponse(service ids.Service, defect httpclient.Defect) {
	m.set.GetOrCreateCounter(fmt.Sprintf("cardamomyoke_gateway_malformed_responses_total{service=%q,defect=%q}", service, defect)).Inc()
}

// foreignResponse counts a response that is not the answer to the request that was sent last.
func (m *gatewayMetrics) foreignResponse(service ids.Service, status int, hasID bool) {
	m.set.GetOrCreateCounter(fmt.Sprintf("cardamomyoke_gateway_foreign_responses_total{service=%q,status=\"%d\",has_id=\"%t\"}", service, status, hasID)).Inc()
}

// requestRetried counts a further attempt, by the proof that the one before has not run; empty if the request may run again.
func (m *gatewayMetrics) requestRetried(service ids.Service, proof notrun.Proof) {
	m.set.GetOrCreateCounter(fmt.Sprintf("cardamomyoke_gateway_retries_total{service=%q,proof=%q}", service, proof)).Inc()
}

// outcomeUnproven counts a request that may run once and is given up because its attempt may have run.
func (m *gatewayMetrics) outcomeUnproven(service ids.Service) {
	m.set.GetOrCreateCounter(fmt.Sprintf("cardamomyoke_gateway_outcomes_unproven_total{service=%q}", service)).Inc()
}

func (m *gatewayMetrics) retryDenied(service ids.Service) {
	m.set.GetOrCreateCounter(fmt.Sprintf("cardamomyoke_gateway_retries_denied_total{service=%q}", service)).Inc()
}

func (m *gatewayMetrics) retriesGranted(service ids.Service, n int) {
	m.set.GetOrCreateCounter(fmt.Sprintf("cardamomyoke_gateway_retry_grant_requests_total{service=%q}", service)).Inc()
	m.set.GetOrCreateCounter(fmt.Sprintf("cardamomyoke_gateway_retries_granted_total{service=%q}", service)).Add(n)
}

func (m *gatewayMetrics) upstreamEjected(service ids.Service, cause dispatch.Outcome) {
	m.set.GetOrCreateCounter(fmt.Sprintf("cardamomyoke_gateway_ejections_total{service=%q,cause=%q}", service, cause)).Inc()
}

func (m *gatewayMetrics) evacuationRefused(service ids.Service) {
	m.set.GetOrCreateCounter(fmt.Sprintf("cardamomyoke_gateway_evacuation_refusals_total{service=%q}", service)).Inc()
}

func (m *gatewayMetrics) evacuationMoved(service ids.Service, n int) {
	if n == 0 {
		return
	}
	m.set.GetOrCreateCounter(fmt.Sprintf("cardamomyoke_gateway_evacuation_moves_total{service=%q}", service)).Add(n)
}

// addEvacuationGauges adds the gauges of one data centre; they are 0 while it is not evacuated.
func (m *gatewayMetrics) addEvacuationGauges(g *Gateway, d ids.DataCentre) {
	gauge := func(metric string, value func(s evacuationStatus) float64) {
		m.set.GetOrCreateGauge(fmt.Sprintf("cardamomyoke_gateway_%s{data_centre=%q}", metric, d), func() float64 {
			for _, s := range g.evacuations() {
				if s.DataCentre == d {
					return value(s)
				}
			}
			return 0
		})
	}
	gauge("evacuated_since_seconds", func(s evacuationStatus) float64 { return time.Since(s.Since).Seconds() })
	gauge("evacuated_requests_running", func(s evacuationStatus) float64 { return float64(s.running) })
}

func (m *gatewayMetrics) limitStated(service ids.Service) {
	m.set.GetOrCreateCounter(fmt.Sprintf("cardamomyoke_gateway_limit_answers_total{service=%q}", service)).Inc()
}

// coldSent counts a placement at a cold upstream.
func (m *gatewayMetrics) coldSent(service ids.Service, d dispatch.PlacementInputs) {
	if d.ColdPart > 0 {
		m.set.GetOrCreateCounter(fmt.Sprintf("cardamomyoke_gateway_cold_sent_total{service=%q}", service)).Inc()
	}
}

// coldRefused counts a refusal that a cold upstream has caused.
func (m *gatewayMetrics) coldRefused(service ids.Service, e *dispatch.RestrictedError) {
	if e.Cold > 0 {
		m.set.GetOrCreateCounter(fmt.Sprintf("cardamomyoke_gateway_cold_refused_total{service=%q}", service)).Inc()
	}
}

// partDecided counts a decision on a part under which upstreams crash, own or learned.
func (m *gatewayMetrics) partDecided(state string) {
	m.set.GetOrCreateCounter(fmt.Sprintf("cardamomyoke_gateway_part_decisions_total{state=%q}", state)).Inc()
}

// partRefused counts a request that is refused because of a part.
func (m *gatewayMetrics) partRefused(service ids.Service) {
	m.set.GetOrCreateCounter(fmt.Sprintf("cardamomyoke_gateway_part_refusals_total{service=%q}", service)).Inc()
}

// partsStoreFailed counts a failed call for the stored parts, partsRowInvalid stored parts that cannot be decoded.
func (m *gatewayMetrics) partsStoreFailed() {
	m.set.GetOrCreateCounter("cardamomyoke_gateway_parts_store_failed_total").Inc()
}

func (m *gatewayMetrics) partsRowInvalid() {
	m.set.GetOrCreateCounter("cardamomyoke_gateway_parts_row_invalid_total").Inc()
}

// crashProven counts a crash of an upstream under requests of this gateway.
func (m *gatewayMetrics) crashProven(proof string) {
	m.set.GetOrCreateCounter(fmt.Sprintf("cardamomyoke_gateway_crashes_total{proof=%q}", proof)).Inc()
}

// crashUnproven counts broken connections to an upstream that prove no crash.
func (m *gatewayMetrics) crashUnproven(service ids.Service, reason string) {
	m.set.GetOrCreateCounter(fmt.Sprintf("cardamomyoke_gateway_crashes_unproven_total{service=%q,reason=%q}", service, reason)).Inc()
}

func (m *gatewayMetrics) restRequested(service ids.Service) {
	m.set.GetOrCreateCounter(fmt.Sprintf("cardamomyoke_gateway_rests_total{service=%q}", service)).Inc()
}

func (m *gatewayMetrics) closeDelimited(service ids.Service, kind catalog.Kind, relayed bool) {
	m.set.GetOrCreateCounter(fmt.Sprintf("cardamomyoke_gateway_close_delimited_responses_total{service=%q,kind=%q,relayed=\"%t\"}", service, kind, relayed)).Inc()
}

func (m *gatewayMetrics) firstPiece(service ids.Service, seconds float64) {
	m.set.GetOrCreateHistogram(fmt.Sprintf("cardamomyoke_gateway_first_piece_seconds{service=%q}", service)).Update(seconds)
}

func (m *gatewayMetrics) mapSwitchPostponed(service ids.Service) {
	m.set.GetOrCreateCounter(fmt.Sprintf("cardamomyoke_gateway_map_switches_postponed_total{service=%q}", service)).Inc()
}

func (m *gatewayMetrics) mapSwitched(service ids.Service, before, after float64, copies int) {
	m.set.GetOrCreateCounter(fmt.Sprintf("cardamomyoke_gateway_map_switches_total{service=%q}", service)).Inc()
	m.set.GetOrCreateCounter(fmt.Sprintf("cardamomyoke_gateway_expert_copies_total{service=%q}", service)).Add(copies)
	m.set.GetOrCreateHistogram(fmt.Sprintf("cardamomyoke_gateway_skew_before{service=%q}", service)).Update(before)
	m.set.GetOrCreateHistogram(fmt.Sprintf("cardamomyoke_gateway_skew_after{service=%q}", service)).Update(after)
}
