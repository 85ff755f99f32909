package expert

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"fmt"

	"google.golang.org/protobuf/proto"

	cardamomyokev1 "github.com/cardamomyoke/cardamomyoke/internal/gen/cardamomyoke/v1"
)

// Hash identifies a map by its version and content.
type Hash [sha256.Size]byte

// String formats the hash in hexadecimal.
func (h Hash) String() string { return hex.EncodeToString(h[:]) }

// EncodingError reports that a map cannot be encoded, or that bytes are not an encoded map.
type EncodingError struct{ Cause error }

// Error implements error.
func (e *EncodingError) Error() string { return fmt.Sprintf("expert map encoding: %v", e.Cause) }

// Unwrap returns the cause.
func (e *EncodingError) Unwrap() error { return e.Cause }

// Hash returns the SHA-256 of the version, the shape and all replicas, with each number as 64 bits in little-endian
// byte order.
func (m *Map) Hash() Hash {
	numbers := []uint64{m.version, uint64(m.shape.Ranks), uint64(m.shape.Experts), uint64(m.shape.Layers)}
	for _, list := range m.replicas {
		numbers = append(numbers, uint64(len(list)))
		for _, r := range list {
			numbers = append(numbers, uint64(r.Rank), uint64(r.Share))
		}
	}
	data := make([]byte, 0, 8*len(numbers))
	for _, n := range numbers {
		data = binary.LittleEndian.AppendUint64(data, n)
	}
	return sha256.Sum256(data)
}

// Proto returns the map in its stored form.
func (m *Map) Proto() *cardamomyokev1.ExpertPlacement {
	p := &cardamomyokev1.ExpertPlacement{
		Version: m.version,
		Ranks:   uint32(m.shape.Ranks),
		Experts: uint32(m.shape.Experts),
		Layers:  uint32(m.shape.Layers),
	}
	for _, list := range m.replicas {
		p.Replicas = append(p.Replicas, uint32(len(list)))
		for _, r := range list {
			p.Rank = append(p.Rank, uint32(r.Rank))
			p.Share = append(p.Share, uint32(r.Share))
		}
	}
	return p
}

// MarshalBinary implements encoding.BinaryMarshaler. Equal maps give equal bytes within one release of the program.
func (m *Map) MarshalBinary() ([]byte, error) {
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(m.Proto())
	if err != nil {
		return nil, &EncodingError{err}
	}
	return data, nil
}

// Decode decodes the output of MarshalBinary. It returns *EncodingError or *InvalidError on failure.
func Decode(data []byte) (*Map, error) {
	p := &cardamomyokev1.ExpertPlacement{}
	if err := proto.Unmarshal(data, p); err != nil {
		return nil, &EncodingError{err}
	}
	return FromProto(p)
}

// FromProto validates the stored form and returns its map. It returns *InvalidError if the form is not valid.
func FromProto(p *cardamomyokev1.ExpertPlacement) (*Map, error) {
	if len(p.GetRank()) != len(p.GetShare()) {
		return nil, &InvalidError{Reason: "lists of ranks and shares differ in length"}
	}
	remaining := len(p.GetRank())
	replicas := make([][]Replica, len(p.GetReplicas()))
	next := 0
	for cell, n := range p.GetReplicas() {
		if int64(n) > int64(remaining) {
			return nil, &InvalidError{Reason: "fewer replicas than counted"}
		}
		remaining -= int(n)
		for range n {
			replicas[cell] = append(replicas[cell], Replica{int(p.GetRank()[next]), int(p.GetShare()[next])})
			next++
		}
	}
	if remaining != 0 {
		return nil, &InvalidError{Reason: "more replicas than counted"}
	}
	shape := Shape{int(p.GetRanks()), int(p.GetExperts()), int(p.GetLayers())}
	return New(p.GetVersion(), shape, replicas)
}
