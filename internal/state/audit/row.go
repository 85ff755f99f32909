package audit

import (
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"strconv"
	"strings"

	cardamomyokev1 "github.com/cardamomyoke/cardamomyoke/internal/gen/cardamomyoke/v1"
)

// Row is one recorded event.
type Row = cardamomyokev1.AuditRow

// Kinds of rows; before, after and actor are fields of the row.
const (
	// KindChange: an operator's change was committed; before and after hold the changed objects as JSON.
	KindChange = "change"
	// KindRoster: nodes joined or left.
	KindRoster = "roster"
	// KindInForce: the actor put a revision in force; the row proves that this node did so, and when.
	KindInForce = "in-force"
	// KindLeaseAcquired: the actor acquired the lease of a duty; after holds the fencing token.
	KindLeaseAcquired = "lease-taken"
	// KindLeaseReleased: an operator released the lease of a duty so that another node can acquire it.
	KindLeaseReleased = "lease-released"
	// KindOrder: an operator gave an order to an engine.
	KindOrder = "order"
	// KindUpstream: the actor's view of an upstream's state changed, for example to draining or ejected.
	KindUpstream = "upstream"
	// KindMapSwitched: a group's ranks switched to another expert map.
	KindMapSwitched = "map-switched"
	// KindQuarantined: a request that crashed its upstreams is refused from this time on.
	KindQuarantined = "quarantined"
	// KindOverflow: rows were lost because the table was unavailable for too long; after holds their number.
	KindOverflow = "overflow"
	// KindStarted: a node's chain begins; only in RegisterChain.
	KindStarted = "chain-started"
	// KindHead marks the head row of a chain, which records no event.
	KindHead = "head"
)

// Chain is the name of a chain of rows.
type Chain string

// Chains that all nodes share. Each other chain is named by the incarnation of its node.
const (
	ChangesChain  Chain = "changes"
	RegisterChain Chain = "register"
)

const (
	// Prefix is the prefix of all audit keys. Heads sort before rows, so that a reader that lists rows by key while
	// nodes write reads each chain at least up to the length in its head.
	Prefix     = "audit/"
	headPrefix = Prefix + "head/"
	// RowPrefix is the key prefix of all rows except heads.
	RowPrefix = Prefix + "row/"
	// seqDigits is the width of a zero-padded sequence number, so that keys sort by sequence number.
	seqDigits = 16
)

// HeadKey returns the key of the chain's head row.
func (c Chain) HeadKey() string { return headPrefix + string(c) }

// RowKey returns the key of the chain's row with sequence number seq; the first row has number 1.
func (c Chain) RowKey(seq uint64) string {
	return fmt.Sprintf("%s%s/%0*d", RowPrefix, c, seqDigits, seq)
}

// IsHead reports whether r is the head row of a chain.
func IsHead(r *Row) bool { return strings.HasPrefix(r.GetKey(), headPrefix) }

// KeyError reports that a key is not the key of an audit row.
type KeyError struct{ Key string }

// Error implements error.
func (e *KeyError) Error() string {
	return fmt.Sprintf("audit: key %q: want %sCHAIN/NUMBER", e.Key, RowPrefix)
}

// parseKey returns the chain and the sequence number of a row's key.
func parseKey(key string) (Chain, uint64, error) {
	rest, isRow := strings.CutPrefix(key, RowPrefix)
	chain, number, found := strings.Cut(rest, "/")
	seq, err := strconv.ParseUint(number, 10, 64)
	if !isRow || !found || err != nil || Chain(chain).RowKey(seq) != key {
		return "", 0, &KeyError{key}
	}
	return Chain(chain), seq, nil
}

// hashedFields is the input of a row's hash: every field of the row, in this order. It is encoded as JSON, so that
// third parties can compute the hash from an export.
type hashedFields struct {
	Key         string `json:"key"`
	UnixMS      int64  `json:"unix_ms"`
	Actor       string `json:"actor"`
	Reason      string `json:"reason"`
	Kind        string `json:"kind"`
	Subject     string `json:"subject"`
	Before      string `json:"before"`
	After       string `json:"after"`
	OperationID string `json:"operation_id"`
	Revision    uint64 `json:"revision"`
	Previous    []byte `json:"previous"`
}

// Hash returns the SHA-256 hash of a row. The next row of the chain holds it in its field previous.
func Hash(r *Row) []byte {
	text, err := json.Marshal(hashedFields{
		r.GetKey(), r.GetUnixMs(), r.GetActor(), r.GetReason(), r.GetKind(), r.GetSubject(), r.GetBefore(), r.GetAfter(),
		r.GetOperationId(), r.GetRevision(), r.GetPrevious(),
	})
	if err != nil {
		panic(err) // strings, numbers and bytes can always be encoded as JSON
	}
	sum := sha256.Sum256(text)
	return sum[:]
}
