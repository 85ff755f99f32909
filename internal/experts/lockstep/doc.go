// Package lockstep decides which ranks of a group hold which experts and switches a group from one map to the next.
// It serves engines that keep their group in lock-step themselves.
//
// All ranks of such a group begin each pass together, and a pass takes as long as its slowest rank. Within a set of
// layers the experts' work is done when the most loaded rank is done, and the ranks that hold an expert share its
// tokens evenly. The cost of a placement is therefore its skew, the load of the most loaded rank divided by the mean
// load.
//
// Demand estimates which experts are in demand, Balance searches for a better placement, Decide checks whether it is
// worth the cost of moving weights, and Switch carries it out with the engines' own orders. All four are pure: their
// inputs are reports, replies and the time. Controller runs them for one group, ServiceController for all groups of a
// service.
package lockstep
