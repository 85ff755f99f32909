// Package faulttest is the harness of the joint tests of failures: real entries and slots in one process over loopback,
// with stand-ins for engines and plain services, a table in memory, and relays between them that freeze, cut, double or
// cross what passes.
//
// A Scenario sends requests while one or two faults come and go, and then checks the history of what each caller saw
// against what the stand-ins ran. The checks are of safety only: which requests are answered and which refused depends
// on the moment, whether one of them breaks a promise must not. Nothing is judged by a clock.
package faulttest
