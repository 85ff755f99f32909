package dispatch

import (
	"fmt"
	"time"

	"github.com/cardamomyoke/cardamomyoke/internal/state/catalog"
)

type ticketState int

const (
	waiting ticketState = iota
	placed
	refused
)

// Ticket is a request in a pool.
type Ticket struct {
	request Request
	state   ticketState
	target  *target
	// up is the target's upstream when the request was placed.
	up       *catalog.Upstream
	placedAt time.Time
	err      error
	answered bool
	done     bool
	// late says that it could no longer be answered in time when it was placed.
	late     bool
	decision Decision
	// decided is closed once the ticket is placed or refused; it is the Gate's.
	decided chan struct{}
}

// Upstream returns where the request was placed, or nil.
func (t *Ticket) Upstream() *catalog.Upstream { return t.up }

// Decision returns what the ticket's placement rested on; its zero value if it was not placed.
func (t *Ticket) Decision() Decision { return t.decision }

// Decision is what a placement rested on.
type Decision struct {
	// Load is the chosen upstream's: the part of its slots in use, and the passes that reading waiting prompts takes.
	Load float64
	// Usable is how many upstreams could have taken the request.
	Usable int
	// Waiting is how many requests waited at this gateway.
	Waiting int
	// OthersAge is how old the oldest digest was by which the other gateways' requests were counted; 0 if there is none.
	OthersAge time.Duration
}

// Err returns why the request was refused, or nil: *NoUpstreamError or *OverloadedError.
func (t *Ticket) Err() error { return t.err }

func (t *Ticket) refuse(err error) {
	t.state = refused
	t.err = err
}

// NoUpstreamError says that the service has no upstream that could take the request.
type NoUpstreamError struct{ RetryAfter time.Duration }

// Error implements error.
func (e *NoUpstreamError) Error() string { return "no upstream is registered" }

// noUpstreamRetry is when a caller may come back whose service has no upstream: news of a new one take half of it.
const noUpstreamRetry = 500 * time.Millisecond

// OverloadedError says that the request cannot be started in time.
type OverloadedError struct {
	// Waiting is how many requests wait, PerSecond how many ended a second lately; 0 if that is not known.
	Waiting   int
	PerSecond float64
	// Waited is for how long the request waited before it was refused; 0 if it was refused at once.
	Waited     time.Duration
	RetryAfter time.Duration
}

// Error implements error.
func (e *OverloadedError) Error() string {
	return fmt.Sprintf("no slot in time: waited %d ms, %d wait, %.0f end a second", e.Waited.Milliseconds(), e.Waiting, e.PerSecond)
}
