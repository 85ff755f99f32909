// Package rebalance measures the placement policy and its baselines on traces of drifting expert popularity.
//
// A trace is generated from a seed before any policy runs, and all policies of a table run on the same traces.
// Popularity follows the requests: each request belongs to a topic, and each topic prefers its own experts with
// Zipf-like weights. The experts' ranking is correlated between neighbouring layers, the mix of topics drifts through
// the day, and each window samples a finite number of requests. Step times have no component that is independent of the
// expert's load, because it would reduce all skews alike.
package rebalance
