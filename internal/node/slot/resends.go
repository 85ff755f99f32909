package slot

import (
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/cardamomyoke/cardamomyoke/internal/base/failure"
	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
	"github.com/cardamomyoke/cardamomyoke/internal/base/logging"
)

// maxAttemptLines is how many lines a second are logged about failed attempts, for requests that may be repeated and for the others.
const maxAttemptLines = 50

// attemptLogs are the rate-limited logs of failed attempts. Those at requests that may run once, or of an unknown service, have a limit
// of their own, and so have fences.
type attemptLogs struct{ repeatable, once, fences *logging.RateLimited }

func newAttemptLogs(l log.Logger) *attemptLogs {
	limited := func() *logging.RateLimited { return logging.NewRateLimited(level.Info(l), maxAttemptLines, time.Now) }
	return &attemptLogs{limited(), limited(), limited()}
}

// logFailed logs an attempt that was refused, with the proof that its entry gets, or that failed after its start.
func (s *Slot) logFailed(j *incomingAttempt, err error) {
	out, f := s.attemptLogs.once, failure.From(err)
	if j.service.GetRepeatable() {
		out = s.attemptLogs.repeatable
	}
	msg := "attempt failed"
	if f.Code.Meaning().NotRun {
		msg = "attempt refused"
	}
	_ = out.Log("msg", msg, "attempt", j.Attempt, "service", j.Service, "client", j.Client, "revision", j.Revision,
		"for_incarnation", j.Incarnation, "repeatable", j.service.GetRepeatable(), "code", f.Code, "proof", f.Proof, "err", err)
}

// logFence logs whether this slot promised never to start an attempt. An attempt for another incarnation gets no promise.
func (s *Slot) logFence(a ids.Attempt, current, promised bool) {
	_ = s.attemptLogs.fences.Log("msg", "fence", "attempt", a, "current_incarnation", current, "promised", promised)
}
