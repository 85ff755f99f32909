package entry

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"github.com/cardamomyoke/cardamomyoke/internal/base/failure"
	cardamomyokev1 "github.com/cardamomyoke/cardamomyoke/internal/gen/cardamomyoke/v1"
)

// entryMetrics holds the metrics of one entry; see docs/OPERATIONS.md.
type entryMetrics struct {
	set           *metrics.Set
	mismatches    *metrics.Counter
	digestBytes   *metrics.Counter
	firstToken    *metrics.Histogram
	betweenTokens *metrics.Histogram
}

func newEntryMetrics() *entryMetrics {
	set := metrics.NewSet()
	return &entryMetrics{
		set:           set,
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

// retried counts a further attempt, by where the proof that the one before has not run comes from; empty for none.
func (m *entryMetrics) retried(s *cardamomyokev1.Service, source proofSource) {
	m.set.GetOrCreateCounter(fmt.Sprintf("cardamomyoke_entry_retries_total{service=%q,source=%q}", s.GetName(), source)).Inc()
}

// gaveUp counts a request that may run once and whose outcome is unknown.
func (m *entryMetrics) gaveUp(s *cardamomyokev1.Service, told *failure.Error) {
	if s.GetRepeatable() || told.Code.Meaning().NotRun {
		return
	}
	m.set.GetOrCreateCounter(fmt.Sprintf("cardamomyoke_entry_outcomes_unknown_total{service=%q}", s.GetName())).Inc()
}

// Metrics returns the entry's metrics.
func (e *Entry) Metrics() *metrics.Set { return e.metrics.set }
