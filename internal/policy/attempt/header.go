package attempt

import (
	"fmt"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
)

// Paths that a slot serves to entries.
const (
	PathRun   = "/v1/run"
	PathFence = "/v1/fence"
)

// Names of the header fields.
const (
	HeaderAttempt     = "Cardamomyoke-Attempt"
	HeaderIncarnation = "Cardamomyoke-Slot-Incarnation"
	HeaderService     = "Cardamomyoke-Service"
	HeaderClient      = "Cardamomyoke-Client"
	HeaderRevision    = "Cardamomyoke-Revision"
	HeaderRemaining   = "Cardamomyoke-Remaining-Ms"
	HeaderRank        = "Cardamomyoke-Class-Rank"
	HeaderKey         = "Idempotency-Key"
	HeaderResume      = "Cardamomyoke-Resume-Tokens"
	HeaderOutput      = "Cardamomyoke-Output-Tokens"
	HeaderSuspicion   = "Cardamomyoke-Suspicion"
	HeaderMethod      = "Cardamomyoke-Method"
	HeaderTarget      = "Cardamomyoke-Target"
	HeaderTrace       = "Traceparent"
	// HeaderFence is the id of the attempt in a slot's answer to a fence request. No request and no other answer has the field: an
	// answer to the attempt itself, or a peer that repeats what it got, must not pass for the promise.
	HeaderFence = "Cardamomyoke-Fence"
	// HeaderEndUnproven is set in a slot's response if only the close of the upstream's connection tells that it is complete.
	HeaderEndUnproven = "Cardamomyoke-End-Unproven"
)

// Header holds the metadata of an attempt that an entry sends to a slot.
type Header struct {
	Attempt ids.Attempt
	// Incarnation is the incarnation of the slot that the attempt is meant for. A slot that has restarted no longer has
	// its promises and refuses attempts meant for an earlier incarnation.
	Incarnation ids.Incarnation
	Service     ids.Service
	Client      ids.Client
	// Revision is the configuration revision that the entry used.
	Revision ids.Revision
	// Remaining is the time left until the caller's deadline. It is a duration and not a time of day because clocks
	// differ.
	Remaining time.Duration
	// Priority is the priority of the request's class; 0 is served first.
	Priority uint32
	// Key is the caller's idempotency key; empty for repeatable requests.
	Key string
	// Resume is how many tokens the caller already has.
	Resume int
	// Output is the expected number of tokens in the response; 0 for plain services.
	Output int
	// Suspicion is the level at which the request is suspected of crashing its upstreams, a quarantine.Level.
	Suspicion int
	// Method and Target are those of the caller's request, for plain services.
	Method string
	Target string
	// Trace is the W3C trace context.
	Trace string
}

// FieldError reports that a header field of an attempt is invalid.
type FieldError struct {
	Field string
	Value string
	Cause error
}

// Error implements error.
func (e *FieldError) Error() string {
	return fmt.Sprintf("header field %s: invalid value %q", e.Field, e.Value)
}

// Unwrap returns the cause, which may be nil.
func (e *FieldError) Unwrap() error { return e.Cause }

// Set writes h to the header of a request.
func (h Header) Set(out *fasthttp.RequestHeader) {
	out.Set(HeaderAttempt, h.Attempt.String())
	out.Set(HeaderIncarnation, string(h.Incarnation))
	out.Set(HeaderService, string(h.Service))
	out.Set(HeaderClient, string(h.Client))
	out.Set(HeaderRevision, strconv.FormatUint(uint64(h.Revision), 10))
	out.Set(HeaderRemaining, strconv.FormatInt(h.Remaining.Milliseconds(), 10))
	out.Set(HeaderRank, strconv.FormatUint(uint64(h.Priority), 10))
	out.Set(HeaderResume, strconv.Itoa(h.Resume))
	if h.Output > 0 {
		out.Set(HeaderOutput, strconv.Itoa(h.Output))
	}
	setNonEmpty(out, HeaderKey, h.Key)
	setNonEmpty(out, HeaderMethod, h.Method)
	setNonEmpty(out, HeaderTarget, h.Target)
	setNonEmpty(out, HeaderTrace, h.Trace)
	if h.Suspicion > 0 {
		out.Set(HeaderSuspicion, strconv.Itoa(h.Suspicion))
	}
}

func setNonEmpty(out *fasthttp.RequestHeader, name, value string) {
	if value != "" {
		out.Set(name, value)
	}
}

// Read reads the fields that Set writes. Errors: *FieldError, *ids.AttemptError.
func Read(in *fasthttp.RequestHeader) (Header, error) {
	r := fieldReader{in: in}
	h := Header{
		Incarnation: ids.Incarnation(r.text(HeaderIncarnation)),
		Service:     ids.Service(r.text(HeaderService)),
		Client:      ids.Client(r.text(HeaderClient)),
		Revision:    ids.Revision(r.number(HeaderRevision)),
		Remaining:   time.Duration(r.number(HeaderRemaining)) * time.Millisecond,
		Priority:    uint32(r.number(HeaderRank)),
		Resume:      int(r.number(HeaderResume)),
		Key:         r.text(HeaderKey),
		Method:      r.text(HeaderMethod),
		Target:      r.text(HeaderTarget),
		Trace:       r.text(HeaderTrace),
		Output:      int(r.optional(HeaderOutput)),
		Suspicion:   int(r.optional(HeaderSuspicion)),
	}
	if r.err != nil {
		return Header{}, r.err
	}
	id, err := ids.ParseAttempt(r.text(HeaderAttempt))
	if err != nil {
		return Header{}, err
	}
	h.Attempt = id
	return h, nil
}

// fieldReader reads header fields and keeps the first error.
type fieldReader struct {
	in  *fasthttp.RequestHeader
	err error
}

func (r *fieldReader) text(name string) string { return string(r.in.Peek(name)) }

// optional returns 0 for a missing field.
func (r *fieldReader) optional(name string) uint64 {
	if r.text(name) == "" {
		return 0
	}
	return r.number(name)
}

func (r *fieldReader) number(name string) uint64 {
	text := r.text(name)
	n, err := strconv.ParseUint(text, 10, 63)
	if err != nil && r.err == nil {
		r.err = &FieldError{name, text, err}
	}
	return n
}
