package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"fmt"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"

	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
)

// Fingerprint identifies a request by its client and its body. A repeated request has the same fingerprint.
type Fingerprint [16]byte

// FingerprintOf returns the fingerprint of a request. It takes the SHA-256 of the body, so that the caller computes it
// only once.
func FingerprintOf(client ids.Client, bodyHash [sha256.Size]byte) Fingerprint {
	h := sha256.New()
	h.Write(binary.AppendUvarint(nil, uint64(len(client))))
	h.Write([]byte(client))
	h.Write(bodyHash[:])
	var f Fingerprint
	copy(f[:], h.Sum(nil))
	return f
}

// String returns the fingerprint as hexadecimal digits, the form that operators use.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }

// FingerprintError reports a text or a message that is not a valid fingerprint.
type FingerprintError struct{ Text string }

// Error implements error.
func (e *FingerprintError) Error() string {
	return fmt.Sprintf("fingerprint %q: want %d bytes as hexadecimal", e.Text, len(Fingerprint{}))
}

// ParseFingerprint parses the output of String. Errors: *FingerprintError.
func ParseFingerprint(text string) (Fingerprint, error) {
	data, err := hex.DecodeString(text)
	if err != nil || len(data) != len(Fingerprint{}) {
		return Fingerprint{}, &FingerprintError{text}
	}
	return Fingerprint(data), nil
}

// CrashID identifies one crash of an upstream.
type CrashID uint64

// NewCrashID returns the id of the n-th crash that a slot process has recorded.
func NewCrashID(slot ids.Incarnation, n uint64) CrashID {
	return CrashID(xxhash.Sum64(binary.AppendUvarint([]byte(slot), n)))
}

// AssignedUpstream returns the upstream to which a suspect is sent. Every entry with the same list chooses the same
// one, so that copies that arrive at all entries concurrently reach the same slot, which runs one at a time. The
// sequence of the list does not matter; an empty list gives "".
func AssignedUpstream(f Fingerprint, upstreams []ids.Upstream) ids.Upstream {
	if len(upstreams) == 0 {
		return ""
	}
	names := make([]string, len(upstreams))
	for i, u := range upstreams {
		names[i] = string(u)
	}
	return ids.Upstream(rendezvous.New(names, xxhash.Sum64String).Lookup(string(f[:])))
}
