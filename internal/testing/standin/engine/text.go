package engine

import (
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Token returns the i-th token of the completion of a prompt.
func Token(prompt []byte, i int) string {
	return fmt.Sprintf("%08x ", uint32(xxhash.Sum64(prompt)+uint64(i)*0x9e3779b97f4a7c15>>7))
}

// Completion returns the complete text of n tokens for a prompt.
func Completion(prompt []byte, n int) string {
	var b strings.Builder
	for i := range n {
		b.WriteString(Token(prompt, i))
	}
	return b.String()
}
