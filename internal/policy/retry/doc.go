// Package retry decides for an entry what follows a failed attempt: another attempt, resuming the stream at another
// upstream, or an error for the caller.
//
// An attempt is repeated only if it is proved not to have run, or if the service's requests are repeatable. Each retry
// is paid from the service's Budget, which first attempts fill by a fixed fraction, so that retries cannot multiply the
// load when many upstreams fail together. The caller's deadline covers all attempts. Stream tracks a streamed response
// over its attempts, so that no token is lost or delivered twice.
package retry
