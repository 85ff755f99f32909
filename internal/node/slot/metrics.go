package slot

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"github.com/cardamomyoke/cardamomyoke/internal/base/failure"
	"github.com/cardamomyoke/cardamomyoke/internal/base/httpclient"
)

// slotMetrics holds the metrics of one slot; see docs/OPERATIONS.md.
type slotMetrics struct {
	set         *metrics.Set
	fences      *metrics.Counter
	digestBytes *metrics.Counter
	crashes     *metrics.Counter
	// outcomesLost counts requests that may run once and whose outcome is unknown.
	outcomesLost *metrics.Counter
	// closeDelimited counts responses whose end only the close of their connection tells.
	closeDelimited *metrics.Counter
}

func newSlotMetrics() *slotMetrics {
	set := metrics.NewSet()
	return &slotMetrics{
		set:          set,
		fences:       set.NewCounter("cardamomyoke_slot_fences_total"),
		digestBytes:  set.NewCounter("cardamomyoke_slot_digest_bytes_total"),
		outcomesLost: set.NewCounter("cardamomyoke_slot_outcomes_unknown_total"),
		crashes:      set.NewCounter("cardamomyoke_slot_upstream_crashes_total"),

		closeDelimited: set.NewCounter("cardamomyoke_slot_close_delimited_responses_total"),
	}
}

func (m *slotMetrics) countAttempt(err error) {
	code := "ok"
	if err != nil {
		code = string(failure.CodeOf(err))
	}
	m.set.GetOrCreateCounter(fmt.Sprintf("cardamomyoke_slot_attempts_total{code=%q}", code)).Inc()
	if defect := httpclient.DefectOf(err); defect != "" {
		m.set.GetOrCreateCounter(fmt.Sprintf("cardamomyoke_slot_malformed_responses_total{defect=%q}", defect)).Inc()
	}
}

// Metrics returns the slot's metrics.
func (s *Slot) Metrics() *metrics.Set { return s.metrics.set }
