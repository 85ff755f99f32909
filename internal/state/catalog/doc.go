// Package catalog holds what a gateway works from: the operators' configuration and the list of upstreams.
//
// Both are plain immutable data. A gateway publishes a new value when the platform's store tells of a change, and a
// request works from the values that were in force when it was read. Where they come from is not known here.
package catalog
