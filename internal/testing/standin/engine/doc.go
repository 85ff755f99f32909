// Package engine is a small stand-in for a model engine: a continuous batch with a step time, a prefix cache with a
// memory limit, late and gappy cache events, a lagging load report, priorities, resume and cancel.
//
// Its answers are a function of the prompt alone (Token), so that a caller can tell a whole answer to its own request
// from any other.
package engine
