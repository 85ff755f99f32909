// Package attempt implements the protocol between an entry, which receives a caller's request, and a slot, the process
// that runs it on an upstream, for one attempt at one request.
//
// An attempt is a POST to PathRun with the fields of Header; its response carries the attempt's id in HeaderAttempt. A
// model responds with a stream of Events, one per token; a plain service with its own status and body. A refusal
// carries a failure.Code and the proof that nothing ran.
//
// An entry that does not know the outcome of an attempt asks the slot to fence it (PathFence). The slot either promises
// never to start the attempt, which proves "not run", or reports that it was started. Tracker keeps that promise.
package attempt
