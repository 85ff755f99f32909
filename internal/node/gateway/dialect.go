package gateway

import (
	"time"

	"github.com/valyala/fasthttp"

	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
	"github.com/cardamomyoke/cardamomyoke/internal/state/catalog"
	"github.com/cardamomyoke/cardamomyoke/internal/state/platform"
)

// Call is what a caller's request says in its header, beside what the upstream gets unchanged.
type Call struct {
	// Attempt is the caller's id of this attempt; upstreams repeat it in their answers.
	Attempt string
	// Remaining is how long the caller waits, if HasRemaining is set.
	Remaining    time.Duration
	HasRemaining bool
	// Key names the client account; empty if there is none.
	Key string
	// LastEvent is the id of the last event that the caller has of a stream that it goes on with; empty for a new one.
	LastEvent string
	// PromptTokens and MaxOutputTokens size a request to a model; OutputHint is the caller's guess of the output, 0 for
	// none.
	PromptTokens, MaxOutputTokens, OutputHint int
}

// UpstreamHeader is what the gateway tells an upstream.
type UpstreamHeader struct {
	Upstream  ids.Upstream
	Client    ids.Client
	Remaining time.Duration
	// Priority is the rank among requests at the upstream; 0 goes first.
	Priority int
	// LastEvent is set if the upstream is to go on with a stream after that event.
	LastEvent string
}

// Load is what an upstream says of itself in an answer.
type Load struct{ Running, Waiting, Slots int }

// Reply is what an upstream's answer says in its header, beside what the caller gets unchanged.
type Reply struct {
	// Attempt is the id of the attempt that is answered.
	Attempt string
	// NotRun promises that the request did not run and never will.
	NotRun bool
	// Sealed says that the answer bears the upstream's signature.
	Sealed bool
	// Culprit is the upstream whose fault it is, if it is another.
	Culprit ids.Upstream
	// Instance is the upstream that answered, where it says so.
	Instance ids.Upstream
	// Load is nil if the upstream does not tell.
	Load *Load
}

// Dialect reads and writes header fields by their names on the wire.
type Dialect interface {
	// ReadCall decodes a caller's header. An error means that a field cannot be read.
	ReadCall(h *fasthttp.RequestHeader) (Call, error)
	// WriteUpstreamHeader turns a copy of the caller's header into that of a request to an upstream.
	WriteUpstreamHeader(h *fasthttp.RequestHeader, u UpstreamHeader)
	// ReadReply decodes an upstream's header.
	ReadReply(h *fasthttp.ResponseHeader) Reply
	// AttemptHeader is the field that carries an attempt's id in answers.
	AttemptHeader() string
	// RetryAfter is the field that tells a caller when to come back.
	RetryAfter(d time.Duration) (name, value string)
	// DirectoryPath and ReadinessPath are what callers and the platform ask for.
	DirectoryPath() string
	ReadinessPath() string
	// EncodeDirectory is the body that answers callers who ask for addresses; it is JSON.
	EncodeDirectory(addresses []string, keep time.Duration) ([]byte, error)
}

// Decoder reads the rows that the platform's store keeps for others.
type Decoder interface {
	// ConfigurationTable names the table of the operators' configuration, UpstreamTable that of the registry.
	ConfigurationTable() string
	UpstreamTable() string
	// Configuration decodes the configuration; nil without an error if there is none yet.
	Configuration(rows []platform.Row) (*catalog.Configuration, error)
	// Upstream decodes one entry of the registry.
	Upstream(row platform.Row) (*catalog.Upstream, error)
}
