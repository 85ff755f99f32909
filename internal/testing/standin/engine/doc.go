// Package engine is a small stand-in for a model engine. It has continuous batching with a fixed step time, a prefix cache
// of limited size, cache events that are delayed and partly lost, load reports that lag, priorities, resume and cancel.
//
// Its completions depend only on the prompt (see Token), so a caller can verify that a response is complete and belongs to
// its own request.
package engine
