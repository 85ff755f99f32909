package revision

import "math/bits"

// bitset holds one bit for each member of a roster, in the roster's order.
type bitset []byte

const bitsPerByte = 8

func newBitset(n int) bitset { return make(bitset, (n+bitsPerByte-1)/bitsPerByte) }

func (b bitset) has(i int) bool {
	return i/bitsPerByte < len(b) && b[i/bitsPerByte]&(1<<(i%bitsPerByte)) != 0
}

func (b bitset) set(i int) { b[i/bitsPerByte] |= 1 << (i % bitsPerByte) }

// or adds the members of o, which must refer to the same roster.
func (b bitset) or(o bitset) {
	for i := range min(len(b), len(o)) {
		b[i] |= o[i]
	}
}

func (b bitset) count() int {
	n := 0
	for _, v := range b {
		n += bits.OnesCount8(v)
	}
	return n
}
