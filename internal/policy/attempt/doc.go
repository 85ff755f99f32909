// Package attempt is the protocol between an entry and a slot for one attempt at one request.
//
// An attempt is a POST to PathRun with the Header fields below; its answer carries the attempt's id in HeaderAttempt.
// A model answers with server-sent events, one Event each; a plain service answers with its own status and body. A
// refusal carries failure.Code and the proof that nothing ran.
//
// An entry that does not know what became of an attempt asks the slot to fence it (PathFence). The slot either
// promises never to start it, which is proof of "not run", or says that it started. Table keeps that promise.
package attempt
