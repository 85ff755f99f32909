package gateway

// stopCause is why no further attempt at a request is made. It is a label of metrics and a part of errors.
type stopCause string

// The values of stopCause.
const (
	// stopNone: another attempt may follow.
	stopNone           stopCause = ""
	stopStopping       stopCause = "the gateway stops"
	stopCaller         stopCause = "the caller disconnected"
	stopDeadline       stopCause = "the deadline passed"
	stopMayHaveRun     stopCause = "it may have run"
	stopBegun          stopCause = "the response has begun"
	stopAttempts       stopCause = "no attempt is left"
	stopCrashes        stopCause = "two upstreams crashed while they ran it"
	stopPartRefused    stopCause = "a part of its prompt is refused"
	stopTrialEnded     stopCause = "it was let through once"
	stopUnreached      stopCause = "no upstream can be reached"
	stopPartsSuspected stopCause = "upstreams may crash under a part of its prompt"
	stopBudget         stopCause = "the retry budget is used up"
	stopNoPlace        stopCause = "no upstream for another attempt"
)
