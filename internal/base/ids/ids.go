// Package ids holds the identifiers that processes of the system exchange.
package ids

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/google/uuid"
)

// Node names a process of the system; it is stable over restarts of the same host's process.
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

// UpstreamIncarnation is one life of an upstream, from a start to its end. A restart may keep the upstream's id; nothing that was known of
// an ended life, its load, failures, pace or copies of weights, holds for the next.
type UpstreamIncarnation struct {
	Upstream Upstream
	// StartedAtMS is the start's Unix time in milliseconds by the upstream's own clock, which may be set back between two lives: it
	// tells lives apart and does not order them. 0 if the upstream does not say.
	StartedAtMS int64
}

// String returns the id, with the start after it if that is known.
func (i UpstreamIncarnation) String() string {
	if i.StartedAtMS == 0 {
		return string(i.Upstream)
	}
	return string(i.Upstream) + "@" + strconv.FormatInt(i.StartedAtMS, 10)
}

// Operation identifies one write of an operator or a node, so that a lost answer is settled by reading it back.
type Operation string

// Revision numbers configurations; it only grows. Zero means none.
type Revision uint64

// Fence is a fencing number; each new holder of a lease gets a larger one.
type Fence uint64

// Incarnation tells two lives of the same node apart. A process draws a new one at each start.
type Incarnation string

// NewIncarnation draws an incarnation; it sorts by time of birth.
func NewIncarnation() Incarnation {
	return Incarnation(uuid.Must(uuid.NewV7()).String())
}

// NewOperation draws an operation id.
func NewOperation() Operation {
	return Operation(uuid.Must(uuid.NewV7()).String())
}

// Attempt identifies one try of one request: the entry's incarnation and a sequence number of that life.
type Attempt struct {
	Entry Incarnation
	Seq   uint64
}

// AttemptError says that a text is not an attempt id.
type AttemptError struct{ Text string }

// Error implements error.
func (e *AttemptError) Error() string {
	return fmt.Sprintf("attempt id %q: want ENTRY-INCARNATION/SEQUENCE", e.Text)
}

// String formats the attempt as it stands in headers.
func (a Attempt) String() string {
	return string(a.Entry) + "/" + strconv.FormatUint(a.Seq, 10)
}

// ParseAttempt reads what String wrote; it returns *AttemptError for anything else.
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
