package audit

import (
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"strconv"
	"strings"

	cardamomyokev1 "github.com/cardamomyoke/cardamomyoke/internal/gen/cardamomyoke/v1"
)

// Row is one fact.
type Row = cardamomyokev1.AuditRow

// Kinds of rows.
const (
	// KindChange: an operator's change was committed; before and after are its objects as JSON.
	KindChange = "change"
	// KindRoster: nodes joined or left.
	KindRoster = "roster"
	// KindInForce: the actor put a revision in force; the row is the proof for that node, with its time.
	KindInForce = "in-force"
	// KindLeaseAcquired: the actor took a duty; after is the fencing number.
	KindLeaseAcquired = "lease-taken"
	// KindLeaseReleased: an operator let another node take a duty.
	KindLeaseReleased = "lease-released"
	// KindOrder: an operator ordered an engine to do something.
	KindOrder = "order"
	// KindUpstream: the actor judged an upstream to be in another state, for example draining or ejected.
	KindUpstream = "upstream"
	// KindMapSwitched: a group's ranks go by another expert map.
	KindMapSwitched = "map-switched"
	// KindQuarantined: a request that crashed its upstreams is refused from now on.
	KindQuarantined = "quarantined"
	// KindOverflow: rows were lost because the table was down for too long; after says how many.
	KindOverflow = "overflow"
	// KindStarted: a node's chain begins; only in RegisterChain.
	KindStarted = "chain-started"
	// KindHead marks a chain's head row, which is no fact.
	KindHead = "head"
)

// Chain names a chain of rows.
type Chain string

// Chains that all nodes share; all others are named by a node's incarnation.
const (
	ChangesChain  Chain = "changes"
	RegisterChain Chain = "register"
)

const (
	// Prefix is common to all keys of the audit. Heads sort before rows: a reader that lists in key order finds each
	// chain at least as long as its head said.
	Prefix     = "audit/"
	headPrefix = Prefix + "head/"
	// RowPrefix is common to the keys of rows.
	RowPrefix = Prefix + "row/"
	// seqDigits makes keys sort by number.
	seqDigits = 16
)

// HeadKey is the key of the chain's head row.
func (c Chain) HeadKey() string { return headPrefix + string(c) }

// RowKey is the key of the chain's row seq, from 1.
func (c Chain) RowKey(seq uint64) string {
	return fmt.Sprintf("%s%s/%0*d", RowPrefix, c, seqDigits, seq)
}

// IsHead reports whether a row is a chain's head.
func IsHead(r *Row) bool { return strings.HasPrefix(r.GetKey(), headPrefix) }

// KeyError says that a key is not one of the audit.
type KeyError struct{ Key string }

// Error implements error.
func (e *KeyError) Error() string {
	return fmt.Sprintf("audit: key %q: want %sCHAIN/NUMBER", e.Key, RowPrefix)
}

// parseKey returns the chain and number of a row's key.
func parseKey(key string) (Chain, uint64, error) {
	rest, isRow := strings.CutPrefix(key, RowPrefix)
	chain, number, found := strings.Cut(rest, "/")
	seq, err := strconv.ParseUint(number, 10, 64)
	if !isRow || !found || err != nil || Chain(chain).RowKey(seq) != key {
		return "", 0, &KeyError{key}
	}
	return Chain(chain), seq, nil
}

// hashed is what a row's hash covers: every field of it, in this order. encoding/json fixes the form, so that others
// can compute it from an export.
type hashed struct {
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

// Hash is a row's hash (SHA-256), which the next row of its chain carries.
func Hash(r *Row) []byte {
	text, err := json.Marshal(hashed{
		r.GetKey(), r.GetUnixMs(), r.GetActor(), r.GetReason(), r.GetKind(), r.GetSubject(), r.GetBefore(), r.GetAfter(),
		r.GetOperationId(), r.GetRevision(), r.GetPrevious(),
	})
	if err != nil {
		panic(err) // strings, numbers and bytes always have a JSON form
	}
	sum := sha256.Sum256(text)
	return sum[:]
}
