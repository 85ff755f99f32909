// Package expert holds the expert map of a model group as plain data: which ranks hold which expert of which layer, and
// which part of an expert's tokens each of its replicas takes.
//
// A Map is immutable. It is encoded as protobuf; its Hash covers the content alone, so that it does not depend on the
// release of the encoder, and two processes that hold the same map name it by the same hash.
package expert
