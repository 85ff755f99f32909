package claims

import (
	"errors"

	"github.com/VictoriaMetrics/metrics"

	"github.com/cardamomyoke/cardamomyoke/internal/state/platform"
)

func (o *Options) counter(name string) *metrics.Counter {
	if o.Metrics == nil {
		return metrics.GetOrCreateCounter(name)
	}
	return o.Metrics.GetOrCreateCounter(name)
}

// countVerdict counts a verdict by its result: start, replay or the code of the refusal.
func (o *Options) countVerdict(v Verdict) {
	kind := "start"
	switch {
	case v.Outcome != nil:
		kind = "replay"
	case v.Refusal != nil:
		kind = string(v.Refusal.Code)
	}
	o.counter(`cardamomyoke_claim_verdicts_total{verdict="` + kind + `"}`).Inc()
}

func (o *Options) countTransaction(err error) {
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
	o.counter(`cardamomyoke_claim_transactions_total{result="` + result + `"}`).Inc()
}

func (o *Options) countSwept(result SweepResult, err error) {
	o.counter(`cardamomyoke_claims_swept_total`).Add(result.Claims)
	if err != nil {
		o.counter(`cardamomyoke_claim_sweep_errors_total`).Inc()
	}
}
