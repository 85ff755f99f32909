// Package expertmap switches a group of ranks that run in lockstep from one expert map to the next, so that all ranks
// use the same map in every step. An expert map assigns the experts of a model to the ranks, the members of the group.
// Entries propose switches (see package rebalance); slots control the steps of each rank's engine.
//
// A slot caps a proposal when its engine has confirmed a limit at the proposal's first step; from then on the rank
// cannot run that step under the old map. Once every slot has acknowledged its cap, the acknowledgements are the
// certificate with which each slot may switch.
//
// Slot and Proposer are pure state machines that follow the charts map_slot and map_proposer. Their inputs are
// messages, engine reports and the time; their outputs are messages, orders to the engine and results. The protocol
// is described in docs/design/expert-map.md and specified in spec/expertmap.pml.
package expertmap
