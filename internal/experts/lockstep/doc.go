// Package lockstep decides which ranks of a group hold which experts and switches a group from one expert map to the
// next. Gateways use it, for engines that keep their group in lockstep themselves and take orders per pass. Entries use
// packages placement, rebalance and expertmap instead, where slots control each engine's steps.
//
// A rank is an upstream that is a member of a group, and a pass is one scheduling iteration of the group's engines. All
// ranks begin each pass together, and a pass takes as long as its slowest rank. The leader of a group is the gateway
// that controls it. A rank that holds a pass keeps the group from beginning it, and a rank that is armed for a pass
// switches to its prepared map at that pass.
//
// A placement lists the experts of each rank, by set of layers. Within a set of layers the experts' work is done when
// the most loaded rank is done, and the ranks that hold an expert share its tokens evenly. The cost of a placement is
// therefore its skew, the load of the most loaded rank divided by the mean load.
//
// Demand estimates which experts are in demand, Balance searches for a better placement, Decide checks whether it is
// worth the cost of moving weights, and Switch carries it out with the engines' own orders. All four are pure: their
// inputs are reports, replies and the time. Controller runs them for one group, ServiceController for all groups of a
// service.
package lockstep
