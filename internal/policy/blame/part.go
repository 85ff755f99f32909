package blame

import (
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Part identifies a part of prompts that several requests may share.
type Part uint64

// PartOf returns the part with an id as callers write it: hexadecimal digits. Any other id is hashed.
func PartOf(id string) Part {
	n, err := strconv.ParseUint(id, 16, 64)
	if err != nil {
		return Part(xxhash.Sum64String(id))
	}
	return Part(n)
}

// String returns the part as hexadecimal digits, the form that operators use.
func (p Part) String() string { return strconv.FormatUint(uint64(p), 16) }

// Parts are the parts of one prompt, in order.
type Parts []Part

// String returns the parts separated by commas, as in log lines.
func (p Parts) String() string {
	texts := make([]string, len(p))
	for i, part := range p {
		texts[i] = part.String()
	}
	return strings.Join(texts, ",")
}
