package dispatch

import (
	"fmt"
	"time"

	"github.com/cardamomyoke/cardamomyoke/internal/catalog"
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
	// settled is closed once the ticket is placed or refused; it is the Gate's.
	settled chan struct{}
}

// Upstream returns where the request was placed, or nil.
func (t *Ticket) Upstream() *catalog.Upstream { return t.up }

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
	Waiting    int
	RetryAfter time.Duration
}

// Error implements error.
func (e *OverloadedError) Error() string { return fmt.Sprintf("no slot in time, %d wait", e.Waiting) }
