// Package lockstep decides which ranks of a group hold which experts, and switches a group from one map to the next,
// for engines that keep the group in lock-step themselves.
//
// All ranks of such a group begin each pass together, and a pass takes as long as its slowest part. Within a set of
// layers the experts' work is done when the most loaded rank is done, and the ranks that hold an expert share its tokens
// evenly. So what counts is the load of the most loaded rank over the mean: the skew.
//
// Demand estimates which experts are in demand, Balance looks for a better placement, Policy decides whether it earns
// what moving weights costs, and Switch carries it out with the engines' own orders. They are pure: reports, answers and
// the time go in. Controller runs them against the ranks of one group.
package lockstep
