// Package mapswitch measures the switch of a group's expert map: real slots and a real proposer over connect-go on
// loopback, before engines that run in lock-step.
package mapswitch
