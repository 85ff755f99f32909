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

// Ticket tracks one request in a pool.
type Ticket struct {
	request  Request
	state    ticketState
	assigned *upstreamState
	// upstream is the assigned upstream as it was listed at the time of placement.
	upstream  *catalog.Upstream
	placedAt  time.Time
	err       error
	responded bool
	done      bool
	// late is set if the request could no longer meet its target when it was placed.
	late bool
	// yielded is set once the request has left free slots to those of other accounts.
	yielded bool
	// accountLoad is the load of the request's account when the request would start; valid only during a sort.
	accountLoad float64
	inputs      PlacementInputs
	// decided is closed once the ticket is placed or refused. Only Gate uses it.
	decided chan struct{}
}

// Upstream returns the upstream that the request was assigned to, or nil if it was not placed.
func (t *Ticket) Upstream() *catalog.Upstream { return t.upstream }

// PlacementInputs returns the inputs of the ticket's placement; it is the zero value if the request was not placed.
func (t *Ticket) PlacementInputs() PlacementInputs { return t.inputs }

// PlacementInputs holds the inputs of a placement, for logs.
type PlacementInputs struct {
	// Load is the load of the chosen upstream: the fraction of its slots in use plus the number of passes needed for
	// the prefill of the waiting prompts.
	Load float64
	// Usable is the number of upstreams that could have taken the request.
	Usable int
	// Waiting is the number of requests that waited at this gateway.
	Waiting int
	// OthersAge is the age of the oldest digest that the other gateways' work was counted from; 0 if there is none.
	OthersAge time.Duration
	// OwnPart is this gateway's part of the chosen upstream's request limit, in requests per second; 0 if there is no limit.
	OwnPart float64
	// ColdPart is the same for the rate that the upstream takes while it is cold; 0 if it is warm.
	ColdPart float64
	// Reserved is the number of slots that were left free for more urgent requests; 0 if the service has one class.
	Reserved float64
	// AccountTokens is the work that all gateways had in flight for the request's account, in tokens for each unit of its
	// weight; 0 without fair shares.
	AccountTokens float64
	// Yielded is set if the request has left free slots to requests of other accounts that wait at other gateways.
	Yielded bool
	// Entitled is set if the request was started by the least part of its class.
	Entitled bool
}

// Err returns why the request was refused, or nil: *NoRegisteredUpstreamError, *OverloadedError, *RestrictedError,
// *EvacuatedError or *StoppingError.
func (t *Ticket) Err() error { return t.err }

func (t *Ticket) refuse(err error) {
	t.state = refused
	t.err = err
}

// NoRegisteredUpstreamError reports that the service has no registered upstream.
type NoRegisteredUpstreamError struct{ RetryAfter time.Duration }

// Error implements error.
func (e *NoRegisteredUpstreamError) Error() string { return "no upstream is registered" }

// noUpstreamRetry is the Retry-After of a service without upstreams. A new upstream becomes known to the gateways in
// half that time.
const noUpstreamRetry = 500 * time.Millisecond

// OverloadedError reports that the request cannot be started in time.
type OverloadedError struct {
	// Waiting is the number of waiting requests, PerSecond the recent number of requests that finished per second; 0 if
	// unknown.
	Waiting   int
	PerSecond float64
	// Waited is how long the request waited before it was refused; close to 0 if it was refused on arrival.
	Waited     time.Duration
	RetryAfter time.Duration
	// Classes is set if requests of several classes compete. Class is then that of the request, Ahead the number of waiting
	// requests that go ahead of it.
	Classes      bool
	Class, Ahead int
	// AccountTokens is the work in flight for the request's account for each unit of its weight, FairTokens the same for all
	// accounts together; both are 0 without fair shares.
	AccountTokens, FairTokens float64
}

// Error implements error.
func (e *OverloadedError) Error() string {
	text := fmt.Sprintf("no free slot in time: waited %d ms, %d requests waiting, %.0f finished per second", e.Waited.Milliseconds(), e.Waiting, e.PerSecond)
	if e.Classes {
		text = fmt.Sprintf("%s, %d ahead of class %d", text, e.Ahead, e.Class)
	}
	if e.AccountTokens > e.FairTokens {
		text = fmt.Sprintf("%s, its account has %.0f tokens in flight where the fair share is %.0f", text, e.AccountTokens, e.FairTokens)
	}
	return text
}
