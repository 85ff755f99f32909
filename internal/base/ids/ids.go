// Package ids defines the types of the identifiers that the processes of the system exchange.
package ids

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/google/uuid"
)

// Node names a process of the system. The name stays the same when that process restarts.
type Node string

// DataCentre names a data centre.
type DataCentre string

// Client names a client account.
type Client string

// Service names a service.
type Service string

// Group names a model group.
type Group string

// Upstream names an upstream host.
type Upstream string

// UpstreamIncarnation identifies one run of an upstream, from its start to its exit. A restart may keep the upstream's id,
// but the load, failures, slowdown factor and copies of weights recorded for one incarnation do not apply to the next.
type UpstreamIncarnation struct {
	Upstream Upstream
	// StartedAtMS is the start time in Unix milliseconds by the upstream's own clock; 0 if the upstream does not report
	// it. The clock may be set back between two incarnations, so the value distinguishes them but does not order them.
	StartedAtMS int64
}

// String returns the upstream's id, followed by "@" and the start time if that is set.
func (i UpstreamIncarnation) String() string {
	if i.StartedAtMS == 0 {
		return string(i.Upstream)
	}
	return string(i.Upstream) + "@" + strconv.FormatInt(i.StartedAtMS, 10)
}

// Operation identifies one write of an operator or a node. After a lost response, the writer resolves the outcome by
// reading the operation back.
type Operation string

// Revision is the number of a configuration. It only increases; zero means none.
type Revision uint64

// Fence is a fencing token. Each new holder of a lease gets a larger one.
type Fence uint64

// Incarnation identifies one run of a node. A process generates a new one at each start.
type Incarnation string

// NewIncarnation generates an incarnation. Incarnations sort by the time they were generated.
func NewIncarnation() Incarnation {
	return Incarnation(uuid.Must(uuid.NewV7()).String())
}

// NewOperation generates an operation id.
func NewOperation() Operation {
	return Operation(uuid.Must(uuid.NewV7()).String())
}

// Attempt identifies one attempt to run a request by the entry's incarnation and a sequence number within it.
type Attempt struct {
	Entry Incarnation
	Seq   uint64
}

// AttemptError reports that a text is not an attempt id.
type AttemptError struct{ Text string }

// Error implements error.
func (e *AttemptError) Error() string {
	return fmt.Sprintf("attempt id %q: want ENTRY-INCARNATION/SEQUENCE", e.Text)
}

// String formats the attempt as it is sent in headers.
func (a Attempt) String() string {
	return string(a.Entry) + "/" + strconv.FormatUint(a.Seq, 10)
}

// ParseAttempt parses the format of String. Errors: *AttemptError.
func ParseAttempt(text string) (Attempt, error) {
	entry, seq, found := strings.Cut(text, "/")
	if !found || entry == "" {
		return Attempt{}, &AttemptError{text}
	}
	n, err := strconv.ParseUint(seq, 10, 64)
	if err != nil {
		return Attempt{}, &AttemptError{text}
	}
	return Attempt{Entry: Incarnation(entry), Seq: n}, nil
}
