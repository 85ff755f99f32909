// Package catalog defines the data that a gateway needs to handle requests: the operators' configuration and the list
// of upstreams.
//
// Both are plain immutable data. A gateway publishes a new value when the platform's store reports a change, and a
// request uses the values that were in force when it was read. The package does not know where the data come from.
//
// Package config has the same configuration in another form, for the processes that get it from the configuration log
// and take new work only while it is fresh.
package catalog
