package gateway

import (
	"time"

	"github.com/valyala/fasthttp"

	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
	"github.com/cardamomyoke/cardamomyoke/internal/policy/blame"
	"github.com/cardamomyoke/cardamomyoke/internal/state/catalog"
	"github.com/cardamomyoke/cardamomyoke/internal/state/platform"
)

// Call holds the fields of a caller's request header that the gateway interprets; the others are relayed unchanged.
type Call struct {
	// Attempt is the caller's id of this attempt; upstreams repeat it in their responses.
	Attempt string
	// Remaining is how long the caller will wait; valid only if HasRemaining is set.
	Remaining    time.Duration
	HasRemaining bool
	// Key is the API key that identifies the client account; empty if there is none.
	Key string
	// LastEvent is the id of the last event that the caller received of the stream to resume; empty for a new stream.
	LastEvent string
	// PromptTokens and MaxOutputTokens size a request to a model. OutputHint is the caller's estimate of the output
	// tokens, 0 for none.
	PromptTokens, MaxOutputTokens, OutputHint int
	// SharedParts are the parts of the prompt that other requests may have as well, in order; empty if they are not known.
	SharedParts blame.Parts
}

// UpstreamHeader holds the header fields that the gateway sets in a request to an upstream.
type UpstreamHeader struct {
	Upstream  ids.Upstream
	Client    ids.Client
	Remaining time.Duration
	// Priority orders the requests at the upstream; 0 goes first.
	Priority int
	// LastEvent is the id of the event after which the upstream should resume the stream; empty for a new stream.
	LastEvent string
}

// Load is the load that an upstream reports about itself in a response.
type Load struct{ Running, Waiting, Slots int }

// RequestLimit is the number of requests per second that an upstream states to accept from all gateways together.
type RequestLimit struct {
	// PerSecond is valid only if Stated is set.
	PerSecond float64
	Stated    bool
	// Malformed is set if the response has a limit that cannot be read.
	Malformed bool
}

// Rest is the time for which an upstream that refuses a request asks this gateway for no further ones.
type Rest struct {
	// Length is 0 if the upstream asks for no rest.
	Length time.Duration
	// Malformed is set if the refusal has a time that cannot be read.
	Malformed bool
}

// Cold is what an upstream states in a response about its start.
type Cold struct {
	// Remaining is how much longer the upstream stays cold, 0 if it is not; valid only if Stated is set.
	Remaining time.Duration
	Stated    bool
	// Malformed is set if the response has a time that cannot be read.
	Malformed bool
}

// ResponseInfo holds the fields of an upstream's response header that the gateway interprets; the others are relayed
// unchanged.
type ResponseInfo struct {
	// NotRun is the upstream's promise that the request did not run and never will.
	NotRun bool
	// Signed is set if the response carries the upstream's signature.
	Signed bool
	// FaultyUpstream is the upstream at fault, if it is not the responding one.
	FaultyUpstream ids.Upstream
	// Instance is the responding upstream; empty if the response does not name it.
	Instance ids.Upstream
	// Load is nil if the upstream does not report it.
	Load         *Load
	RequestLimit RequestLimit
	Rest         Rest
	// Leaving is set if the upstream will exit and must get no new requests.
	Leaving bool
	Cold    Cold
}

// Dialect maps the gateway's requests and responses to the header fields and paths of a platform.
type Dialect interface {
	// ReadCall decodes a caller's request header. It returns an error if a field is malformed.
	ReadCall(h *fasthttp.RequestHeader) (Call, error)
	// WriteUpstreamHeader turns a copy of the caller's request header into the header of a request to an upstream.
	WriteUpstreamHeader(h *fasthttp.RequestHeader, u UpstreamHeader)
	// ReadResponse decodes an upstream's response header.
	ReadResponse(h *fasthttp.ResponseHeader) ResponseInfo
	// ResponseAttempt returns the attempt's id that a response bears; empty if it bears none.
	ResponseAttempt(h *fasthttp.ResponseHeader) string
	// SingleResponseFields returns the names of the fields that decide what a response is, of which it may have one each.
	SingleResponseFields() []string
	// AttemptHeader returns the name of the response header field that carries the attempt's id.
	AttemptHeader() string
	// RetryAfter returns the header field that states when a caller may retry.
	RetryAfter(d time.Duration) (name, value string)
	// DirectoryPath is the path at which callers request gateway addresses, ReadinessPath that of the readiness check.
	DirectoryPath() string
	ReadinessPath() string
	// EncodeDirectory returns the JSON body of a directory response, which callers may cache for ttl.
	EncodeDirectory(addresses []string, ttl time.Duration) ([]byte, error)
}

// Decoder decodes the rows of the platform's store.
type Decoder interface {
	// ConfigurationTable is the name of the table with the operators' configuration, UpstreamTable that of the upstream
	// registry.
	ConfigurationTable() string
	UpstreamTable() string
	// Configuration decodes the configuration; it returns nil without an error if there is none yet.
	Configuration(rows []platform.Row) (*catalog.Configuration, error)
	// Upstream decodes one registry entry.
	Upstream(row platform.Row) (*catalog.Upstream, error)
	// Evacuation returns the data centre that a row of the configuration's table evacuates, from the row's key alone. is is
	// false if the row is about something else. It returns an error if such a row names no data centre.
	Evacuation(row platform.Row) (d ids.DataCentre, is bool, err error)
}
