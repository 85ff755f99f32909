package gateway

import (
	"fmt"

	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
)

// RefusedError says that an upstream refused an attempt and promised that it did not run.
type RefusedError struct {
	Upstream ids.Upstream
	Status   int
	// Culprit is the upstream at fault, if it is another.
	Culprit ids.Upstream
	// Instance is the upstream that answered; empty if it did not say.
	Instance ids.Upstream
}

// otherInstance reports whether another upstream than the one that was asked for answered.
func (e *RefusedError) otherInstance() bool {
	return e.Status == statusOtherInstance && e.Instance != "" && e.Instance != e.Upstream
}

// Error implements error.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("%s refused before the start with %d", e.Upstream, e.Status)
}

// AnswerError says that an upstream's answer cannot be given to the caller.
type AnswerError struct {
	Upstream ids.Upstream
	Status   int
	Reason   string
}

// Error implements error.
func (e *AnswerError) Error() string {
	return fmt.Sprintf("%s answered %d: %s", e.Upstream, e.Status, e.Reason)
}

// FailedError says that an upstream ran the request and answered with a failure of its own.
type FailedError struct {
	Upstream ids.Upstream
	Status   int
}

// Error implements error.
func (e *FailedError) Error() string { return fmt.Sprintf("%s failed with %d", e.Upstream, e.Status) }
