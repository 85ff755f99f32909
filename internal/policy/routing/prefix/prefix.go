// Package prefix tracks which prompt blocks an upstream has probably cached.
//
// Prompts are split into blocks whose hashes are chained, so that a hash identifies the complete prefix up to and
// including its block. Engines report stored and evicted blocks late and with gaps, so a BlockSet is an estimate and
// not an exact copy. It is bounded, the entry adds the blocks that it has just sent before any event reports them, and
// the cached tokens in responses correct it.
package prefix

import (
	"encoding/binary"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"
)

// Hash splits prompt into blocks of size bytes and returns the chained hash of each. An incomplete last block is
// skipped because engines cache complete blocks only.
func Hash(prompt []byte, size int) []uint64 {
	if size <= 0 {
		return nil
	}
	hashes := make([]uint64, 0, len(prompt)/size)
	var chained [8]byte
	d := xxhash.New()
	for ; len(prompt) >= size; prompt = prompt[size:] {
		d.Reset()
		_, _ = d.Write(chained[:])
		_, _ = d.Write(prompt[:size])
		sum := d.Sum64()
		binary.LittleEndian.PutUint64(chained[:], sum)
		hashes = append(hashes, sum)
	}
	return hashes
}

// ways is the number of blocks in an associative set.
const ways = 8

// BlockSet is a bounded set of block hashes, organised as a set-associative cache. It is safe for concurrent use
// without locks. Two concurrent writers may lose one block, which only costs a cache hit.
type BlockSet struct {
	hashes []atomic.Uint64
	next   []atomic.Uint32
	mask   uint64
}

// NewBlockSet returns a set for at least the given number of blocks. It uses 8.5 bytes per block.
func NewBlockSet(blocks int) *BlockSet {
	sets := 1
	for sets*ways < blocks {
		sets *= 2
	}
	return &BlockSet{hashes: make([]atomic.Uint64, sets*ways), next: make([]atomic.Uint32, sets), mask: uint64(sets - 1)}
}

// Add adds blocks. Within an associative set, the positions are overwritten in turn.
func (s *BlockSet) Add(blocks ...uint64) {
	for _, b := range blocks {
		if s.find(b) >= 0 {
			continue
		}
		set := b & s.mask
		way := uint64(s.next[set].Add(1)) % ways
		s.hashes[set*ways+way].Store(b)
	}
}

// Remove removes blocks.
func (s *BlockSet) Remove(blocks ...uint64) {
	for _, b := range blocks {
		if i := s.find(b); i >= 0 {
			s.hashes[i].CompareAndSwap(b, 0)
		}
	}
}

// Clear removes all blocks.
func (s *BlockSet) Clear() {
	for i := range s.hashes {
		s.hashes[i].Store(0)
	}
}

// Match returns how many leading blocks are in the set. It returns 0 for a nil set.
func (s *BlockSet) Match(blocks []uint64) int {
	if s == nil {
		return 0
	}
	for i, b := range blocks {
		if s.find(b) < 0 {
			return i
		}
	}
	return len(blocks)
}

func (s *BlockSet) find(block uint64) int {
	base := int(block&s.mask) * ways
	for i := range ways {
		if s.hashes[base+i].Load() == block {
			return base + i
		}
	}
	return -1
}
