// Package prefix remembers which prompt blocks an upstream has probably cached.
//
// Prompts are cut into blocks whose hashes are chained, so that a hash names the whole prefix up to its block.
// Engines publish what they store and evict late and with gaps, so a Table is a belief and not a copy: it is bounded,
// it takes in what the entry has just sent before any event tells, and it is corrected by what answers report.
package prefix

import (
	"encoding/binary"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"
)

// Hash cuts prompt into whole blocks of size bytes and returns the chained hash of each. A last block that is not
// full is left out, because engines cache whole blocks only.
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

const ways = 8

// Table is a bounded set of block hashes. All methods are safe for concurrent use and none blocks; two writers at the
// same place may lose one entry, which costs a cache hit and nothing else.
type Table struct {
	slots []atomic.Uint64
	next  []atomic.Uint32
	mask  uint64
}

// NewTable returns a table for at least the given number of blocks; it takes 8 bytes a block and half a byte more.
func NewTable(blocks int) *Table {
	sets := 1
	for sets*ways < blocks {
		sets *= 2
	}
	return &Table{slots: make([]atomic.Uint64, sets*ways), next: make([]atomic.Uint32, sets), mask: uint64(sets - 1)}
}

// Add puts blocks into the table; each set drops its oldest entry when it is full.
func (t *Table) Add(blocks ...uint64) {
	for _, b := range blocks {
		if t.find(b) >= 0 {
			continue
		}
		set := b & t.mask
		way := uint64(t.next[set].Add(1)) % ways
		t.slots[set*ways+way].Store(b)
	}
}

// Remove takes blocks out of the table.
func (t *Table) Remove(blocks ...uint64) {
	for _, b := range blocks {
		if i := t.find(b); i >= 0 {
			t.slots[i].CompareAndSwap(b, 0)
		}
	}
}

// Clear empties the table.
func (t *Table) Clear() {
	for i := range t.slots {
		t.slots[i].Store(0)
	}
}

// Match returns how many leading blocks are in the table. A nil table holds nothing.
func (t *Table) Match(blocks []uint64) int {
	if t == nil {
		return 0
	}
	for i, b := range blocks {
		if t.find(b) < 0 {
			return i
		}
	}
	return len(blocks)
}

func (t *Table) find(block uint64) int {
	base := int(block&t.mask) * ways
	for i := range ways {
		if t.slots[base+i].Load() == block {
			return base + i
		}
	}
	return -1
}
