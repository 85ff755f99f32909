// Package faulttest runs entries and slots together under injected faults. They run in one process over loopback, with
// stand-ins for engines and plain services, an in-memory platform table, and relays between them that pause, break,
// duplicate or swap traffic.
//
// A Scenario sends requests while one or two faults are injected and reverted. It then compares the responses that each
// caller received with the runs that the stand-ins recorded. Only safety is checked: timing decides which requests are
// answered or refused, but no timing may violate a guarantee. No check depends on a clock.
//
// A chat is a streamed request to the model service. A slip is a request to the plain service to print a pick slip, which
// must be printed at most once.
package faulttest
