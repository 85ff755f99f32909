package gateway

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"github.com/cardamomyoke/cardamomyoke/internal/failure"
	"github.com/cardamomyoke/cardamomyoke/internal/ids"
)

// gatewayMetrics are the counters of one gateway; docs/operations.md explains them.
type gatewayMetrics struct{ set *metrics.Set }

func newMetrics() *gatewayMetrics { return &gatewayMetrics{metrics.NewSet()} }

func (m *gatewayMetrics) answered(service ids.Service, err error) {
	code := "ok"
	if err != nil {
		code = string(failure.CodeOf(err))
	}
	m.set.GetOrCreateCounter(fmt.Sprintf("cardamomyoke_gateway_requests_total{service=%q,code=%q}", service, code)).Inc()
}

func (m *gatewayMetrics) repeated(service ids.Service) {
	m.set.GetOrCreateCounter(fmt.Sprintf("cardamomyoke_gateway_retries_total{service=%q}", service)).Inc()
}

func (m *gatewayMetrics) first(service ids.Service, seconds float64) {
	m.set.GetOrCreateHistogram(fmt.Sprintf("cardamomyoke_gateway_first_piece_seconds{service=%q}", service)).Update(seconds)
}

func (m *gatewayMetrics) switched(service ids.Service, before, after float64, copies int) {
	m.set.GetOrCreateCounter(fmt.Sprintf("cardamomyoke_gateway_map_switches_total{service=%q}", service)).Inc()
	m.set.GetOrCreateCounter(fmt.Sprintf("cardamomyoke_gateway_expert_copies_total{service=%q}", service)).Add(copies)
	m.set.GetOrCreateHistogram(fmt.Sprintf("cardamomyoke_gateway_skew_before{service=%q}", service)).Update(before)
	m.set.GetOrCreateHistogram(fmt.Sprintf("cardamomyoke_gateway_skew_after{service=%q}", service)).Update(after)
}
