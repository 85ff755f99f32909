// Package rebalance measures the placement policy and its baselines on traces of drifting expert popularity.
//
// A trace is made from a seed before any policy runs, and every policy of a table runs on the same traces. Popularity
// follows the requests: each request belongs to a topic, each topic prefers its own experts in a Zipf-like order, the
// order of neighbouring layers is correlated, the mix of topics drifts through the day, and each window's mix is that
// of a finite number of requests. Step times have no part that is independent of the expert's load, since such a part
// would shrink every skew alike.
package rebalance
