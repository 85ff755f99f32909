// Package expertmap switches a lock-step group of ranks from one expert map to the next, so that in every step all
// ranks use the same map.
//
// Slot and Proposer are pure state machines that interpret the charts map_slot and map_proposer: messages, engine
// reports and time go in, messages, engine orders and results come out. docs/design/expert-map.md has the protocol,
// spec/expertmap.pml its specification.
package expertmap
