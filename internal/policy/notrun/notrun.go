// Package notrun decides whether a failed attempt is proven not to have run at its upstream, so that a request that may run only once
// can be sent again. docs/design/answers.md lists the proofs and what makes each of them true.
package notrun

import (
	"net/http"

	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
)

// Proof is why a failed attempt cannot have run and never will.
type Proof string

// The proofs.
const (
	// None means that the attempt may have run.
	None Proof = ""
	// NoConnection means that no connection was established, or that it could not be used before the request was written.
	NoConnection Proof = "no-connection"
	// NotWritten means that the request was withdrawn from its upstream before it was written.
	NotWritten Proof = "not-written"
	// OtherInstance means that another process than the addressed one has its address.
	OtherInstance Proof = "other-instance"
	// Refused means that the addressed upstream promised not to run the request.
	Refused Proof = "refused"
)

// Response is what is known of a response to an attempt, and of the connection that it came on.
type Response struct {
	Status int
	// Promised is set if the response says that the request did not run and never will.
	Promised bool
	// Signed is set if the response carries the signature of an upstream that ran a request.
	Signed bool
	// Identified is set if the response bears the attempt's id, which no other request on its connection had.
	Identified bool
	// First is set if the connection had carried nothing before the attempt and its response.
	First bool
	// Addressed is the upstream that the attempt was meant for, Responder the one that the response names; empty if it names none.
	Addressed, Responder ids.Upstream
}

// Proof returns the proof that the response gives.
func (r Response) Proof() Proof {
	switch {
	case r.Signed:
		return None
	case r.Status == http.StatusMisdirectedRequest:
		return r.proofOfOtherInstance()
	case r.Promised && r.Identified && isRefusal(r.Status) && !r.namesOther():
		return Refused
	}
	return None
}

// proofOfOtherInstance requires that the response names another upstream, since a process that has replaced one may send copies of its
// refusals after requests that are meant for itself, and that it is the first on its connection, since the addressed upstream may have
// received the request where it has answered before.
func (r Response) proofOfOtherInstance() Proof {
	if r.First && r.namesOther() {
		return OtherInstance
	}
	return None
}

// namesOther reports whether the response names another upstream than the addressed one.
func (r Response) namesOther() bool { return r.Responder != "" && r.Responder != r.Addressed }

// Foreign reports whether the response cannot be the answer to the attempt: the addressed upstream says that it is not the addressed one.
func (r Response) Foreign() bool {
	return r.Status == http.StatusMisdirectedRequest && r.Responder != "" && r.Responder == r.Addressed
}

// isRefusal reports whether an upstream that has not run a request may respond with the status.
func isRefusal(status int) bool {
	switch status {
	case http.StatusBadRequest, http.StatusRequestTimeout, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}
