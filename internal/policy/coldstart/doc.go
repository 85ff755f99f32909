// Package coldstart keeps the rate of requests that a cold upstream takes from all gateways together.
//
// Book holds what is known about each incarnation of an upstream: cold until when, and by which statement. Bound decides how
// many gateways, its owners, send to a cold upstream and how much each of them may send. Roster decides which gateways count,
// and whether this one may send at all. The package has no I/O and no clock; docs/design/cold-upstreams.md has the argument for
// the sum.
package coldstart
