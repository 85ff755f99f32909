// Package engine is a small stand-in for a model engine. It has continuous batching with a fixed step time, a prefix cache
// of limited size, cache events that are delayed and partly lost, and load reports that lag. Requests have priorities and
// can be resumed and cancelled.
//
// Its completions depend only on the prompt (see Token), so a caller can verify that a response is complete and belongs to
// its own request.
package engine
