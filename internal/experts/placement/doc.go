// Package placement decides which ranks of a model group hold which experts, and when moving experts earns its cost.
//
// A Policy takes reports of tokens and step times, which come late and with gaps, and answers Decide with a Plan (a new
// map and the moves that lead to it) or a Reason to stay. It is pure: time is passed in, and equal inputs give equal
// decisions. Weights are loaded as package staging allows; the map itself is in package expert.
//
// Skew is the time of a step over that of a perfectly balanced one. Ranks meet in every layer, so the time of a step is
// the sum, over layers, of the slowest rank's time, and a rank's time is its tokens over its speed.
package placement
