package entry

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"github.com/cardamomyoke/cardamomyoke/internal/base/failure"
)

// entryMetrics holds the metrics of one entry; see docs/OPERATIONS.md.
type entryMetrics struct {
	set           *metrics.Set
	retries       *metrics.Counter
	mismatches    *metrics.Counter
	digestBytes   *metrics.Counter
	firstToken    *metrics.Histogram
	betweenTokens *metrics.Histogram
}

func newEntryMetrics() *entryMetrics {
	set := metrics.NewSet()
	return &entryMetrics{
		set:           set,
		retries:       set.NewCounter("cardamomyoke_entry_retries_total"),
		mismatches:    set.NewCounter("cardamomyoke_entry_mismatched_answers_total"),
		digestBytes:   set.NewCounter("cardamomyoke_entry_digest_bytes_total"),
		firstToken:    set.NewHistogram("cardamomyoke_entry_first_token_seconds"),
		betweenTokens: set.NewHistogram("cardamomyoke_entry_between_tokens_seconds"),
	}
}

func (m *entryMetrics) countResponse(service string, err error) {
	code := "ok"
	if err != nil {
		code = string(failure.CodeOf(err))
	}
	m.set.GetOrCreateCounter(fmt.Sprintf("cardamomyoke_entry_requests_total{service=%q,code=%q}", service, code)).Inc()
}

// Metrics returns the entry's metrics.
func (e *Entry) Metrics() *metrics.Set { return e.metrics.set }
