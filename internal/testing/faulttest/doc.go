// Package faulttest runs entries and slots together under injected faults. They run in one process over loopback, with
// stand-ins for engines and plain services, an in-memory platform table, and relays between them that pause, break,
// duplicate or swap traffic.
//
// A Scenario sends requests while one or two faults are injected and reverted. It then compares the responses that each
// caller received with the runs that the stand-ins recorded. Only safety is checked: timing decides which requests are
// answered or refused, but no timing may violate a guarantee. No check depends on a clock.
package faulttest
