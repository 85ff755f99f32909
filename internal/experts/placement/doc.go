// Package placement decides which ranks of a model group hold which experts, and when moving experts is worth its
// cost. Entries use it with packages rebalance and expertmap, for groups whose slots control each engine's steps;
// gateways use package lockstep, for engines that keep their group in lockstep themselves and take orders per pass.
//
// A Policy processes reports of tokens and step times, which arrive late and with gaps. Decide returns either a Plan (a
// new expert map and the moves that produce it) or the Reason to keep the current map. The package is pure: the caller
// passes in the time, and equal inputs give equal decisions. Package staging paces the loading of weights; package
// expert holds the map itself.
//
// Skew is the time of a step divided by that of a perfectly balanced step. Ranks synchronise in every layer, so the
// time of a step is the sum, over layers, of the slowest rank's time. A rank's time is its tokens divided by its
// speed.
package placement
