// Package notrun names the proofs that a failed attempt has not run at its upstream and never will, so that a request that may run
// only once can be sent again.
package notrun

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
