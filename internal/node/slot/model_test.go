package slot

import (
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/cardamomyoke/cardamomyoke/internal/base/failure"
)

// Guards against callers that come back before the time for which an engine asked.
func TestRefusalOfEngineKeepsItsRetryAfter(t *testing.T) {
	for value, want := range map[string]time.Duration{
		"":        0,
		"2":       2 * time.Second,
		" 0.25":   250 * time.Millisecond,
		"-1":      0,
		"NaN":     0,
		"soon":    0,
		"1e30":    maxRetryAfter,
		"999999h": 0,
	} {
		h := &fasthttp.ResponseHeader{}
		h.SetStatusCode(fasthttp.StatusServiceUnavailable)
		if value != "" {
			h.Set("Retry-After", value)
		}
		f := failure.From(engineStatus(h))
		if f.Code != failure.CodeOverloaded || f.Proof != failure.ProofRefusedBeforeStart || f.RetryAfter != want {
			t.Errorf("%q: got %v after %s, want %s", value, f, f.RetryAfter, want)
		}
	}
}
