// Package registry decodes the rows in which upstreams register, and decides which of them gateways may send requests
// to.
//
// Any client of the platform can write to the registry, upstreams update their registry entries some tenths of a second
// late, and a restarted upstream may keep its ID. The package does no I/O and reads no clock: the caller passes in rows
// and rejects registry entries whose address belongs to another upstream, and gets the list of upstreams and the
// findings to log.
package registry
