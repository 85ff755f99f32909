// Package entry is the process that callers connect to.
//
// It tells callers which addresses to use, admits their requests, routes each to a slot, retries or resumes what
// failed and streams the answer back. Any entry can do all of it; none is set aside for control.
//
// One goroutine, the control loop, owns what the entry knows of upstreams and other entries (state.go). It publishes
// an immutable view (view.go) that the goroutines of requests read without a lock.
package entry
