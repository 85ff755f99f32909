package gateway

import (
	"context"
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/cardamomyoke/cardamomyoke/internal/base/failure"
	"github.com/cardamomyoke/cardamomyoke/internal/state/catalog"
)

// Guards against a log that names the deadline as the reason for requests whose callers disconnected.
func TestStopReasonTellsCancellationFromDeadline(t *testing.T) {
	cancelled, cancel := context.WithCancel(t.Context())
	cancel()
	expired, cancelExpired := context.WithDeadline(t.Context(), time.Now().Add(-time.Second))
	defer cancelExpired()
	for name, tc := range map[string]struct {
		ctx    context.Context
		reason stopCause
		code   failure.Code
	}{
		"cancelled": {cancelled, "the caller disconnected", failure.CodeCancelled},
		"expired":   {expired, "the deadline passed", failure.CodeDeadlinePassed},
	} {
		t.Run(name, func(t *testing.T) {
			n := runOf("")
			n.r.route = &catalog.Route{Kind: catalog.KindSafe, Attempts: 2}
			n.mayHaveRun = true
			err := errors.New("connection closed")
			reason := n.stopReason(tc.ctx, err)
			if reason != tc.reason {
				t.Errorf("got reason %q, want %q", reason, tc.reason)
			}
			final := n.finalError(tc.ctx, err, reason)
			if failure.CodeOf(final) != tc.code || !strings.Contains(final.Error(), string(tc.reason)) {
				t.Errorf("got %v, want %s", final, tc.code)
			}
		})
	}
}
