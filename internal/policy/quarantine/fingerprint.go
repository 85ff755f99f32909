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

// Fingerprint identifies a request by who sent it and what it says, so that a resend has the same one.
type Fingerprint [16]byte

// FingerprintOf returns the fingerprint of a request; the body's SHA-256 is taken so that it is computed once.
func FingerprintOf(client ids.Client, bodyHash [sha256.Size]byte) Fingerprint {
	h := sha256.New()
	h.Write(binary.AppendUvarint(nil, uint64(len(client))))
	h.Write([]byte(client))
	h.Write(bodyHash[:])
	var f Fingerprint
	copy(f[:], h.Sum(nil))
	return f
}

// String returns the fingerprint as operators write it.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }

// FingerprintError says that a text or a message holds no fingerprint.
type FingerprintError struct{ Text string }

// Error implements error.
func (e *FingerprintError) Error() string {
	return fmt.Sprintf("fingerprint %q: want %d bytes as hexadecimal", e.Text, len(Fingerprint{}))
}

// ParseFingerprint reads what String wrote. Errors: *FingerprintError.
func ParseFingerprint(text string) (Fingerprint, error) {
	data, err := hex.DecodeString(text)
	if err != nil || len(data) != len(Fingerprint{}) {
		return Fingerprint{}, &FingerprintError{text}
	}
	return Fingerprint(data), nil
}

// CrashID identifies one death of an upstream.
type CrashID uint64

// NewCrashID returns the id of the n-th crash that a slot process saw.
func NewCrashID(slot ids.Incarnation, n uint64) CrashID {
	return CrashID(xxhash.Sum64(binary.AppendUvarint([]byte(slot), n)))
}

// AssignedUpstream returns the upstream that a suspect is sent to: the same from every entry with the same list, so that copies
// which arrive through all entries at once meet in one slot, which lets in one. Order does not matter; nil gives "".
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
