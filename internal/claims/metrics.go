package claims

import (
	"errors"

	"github.com/VictoriaMetrics/metrics"

	"github.com/cardamomyoke/cardamomyoke/internal/platform"
)

// countVerdict counts a verdict by what the caller gets: start, replay or the code of the refusal.
func countVerdict(v Verdict) {
	kind := "start"
	switch {
	case v.Outcome != nil:
		kind = "replay"
	case v.Refusal != nil:
		kind = string(v.Refusal.Code)
	}
	metrics.GetOrCreateCounter(`cardamomyoke_claim_verdicts_total{verdict="` + kind + `"}`).Inc()
}

func countTransaction(err error) {
	var conflict *platform.ConflictError
	var unavailable *platform.UnavailableError
	result := "unknown"
	switch {
	case err == nil:
		result = "applied"
	case errors.As(err, &conflict):
		result = "conflict"
	case errors.As(err, &unavailable):
		result = "unavailable"
	}
	metrics.GetOrCreateCounter(`cardamomyoke_claim_transactions_total{result="` + result + `"}`).Inc()
}
