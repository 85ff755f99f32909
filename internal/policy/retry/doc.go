// Package retry decides what follows a failed attempt: try again, resume the stream elsewhere, or give up.
//
// An attempt is repeated only if it is proved that it did not run, or if the service's requests may be repeated. Each
// retry is paid from the service's Budget, which first attempts fill by a fixed fraction, so that retries cannot
// multiply the load when many upstreams fail at once. The caller's deadline holds over all attempts together. Stream
// keeps the books of a streamed answer over its attempts, so that no token is lost or delivered twice.
package retry
