// Package expertmap switches a group of ranks that run in lock-step from one expert map to the next, so that all
// ranks use the same map in every step.
//
// Slot and Proposer are pure state machines that follow the charts map_slot and map_proposer. Their inputs are
// messages, engine reports and the time; their outputs are messages, orders to the engine and results. The protocol
// is described in docs/design/expert-map.md and specified in spec/expertmap.pml.
package expertmap
