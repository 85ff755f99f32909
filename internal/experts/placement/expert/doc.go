// Package expert defines the expert map of a model group as plain data: which ranks hold which expert of which layer,
// and what share of an expert's tokens each of its replicas takes.
//
// A Map is immutable. It is encoded as protobuf. Its Hash covers the version, the shape and the replicas, but not the
// encoded bytes. It therefore does not depend on the release of the encoder, and two processes that hold the same map
// compute the same hash.
package expert
