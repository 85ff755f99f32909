// Package entry implements the process that callers connect to.
//
// An entry lists the addresses that callers may use, admits their requests, routes each to a slot, retries or resumes
// failed attempts and streams the response back. A slot is the process on the host of an upstream that sends it the
// requests. All entries are equal; none is reserved for control.
//
// One goroutine, the control loop, owns the state of upstreams and other entries (state.go). It publishes an immutable
// view (view.go) that the request goroutines read without a lock.
package entry
