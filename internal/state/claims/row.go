package claims

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/cardamomyoke/cardamomyoke/internal/base/failure"
	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
	cardamomyokev1 "github.com/cardamomyoke/cardamomyoke/internal/gen/cardamomyoke/v1"
	"github.com/cardamomyoke/cardamomyoke/internal/state/platform"
)

// Prefixes of the table's keys that belong to this package.
const (
	// RowPrefix starts the key of each claim.
	RowPrefix = "claim/"
	// BatchPrefix starts the key of each list of claims; what follows sorts by the time of removal.
	BatchPrefix = "claim-batch/"
)

// RowKey returns the table's key of a claim. The caller's key is hashed, since it may be long and hold any byte.
func RowKey(client ids.Client, key string) string {
	sum := sha256.Sum256([]byte(key))
	return RowPrefix + string(client) + "/" + hex.EncodeToString(sum[:16])
}

func batchKey(expire time.Time, op ids.Operation) string {
	return fmt.Sprintf("%s%016x/%s", BatchPrefix, expire.UnixMilli(), op)
}

func newRow(r Request, slot ids.Incarnation, margin time.Duration) *cardamomyokev1.Claim {
	return &cardamomyokev1.Claim{
		Service:         string(r.Service),
		Client:          string(r.Client),
		BodyHash:        r.BodyHash[:],
		Attempt:         r.Attempt.String(),
		SlotIncarnation: string(slot),
		State:           cardamomyokev1.ClaimState_CLAIM_STATE_RUNNING,
		DeadlineMs:      r.Deadline.UnixMilli(),
		ExpireMs:        r.Deadline.Add(r.Keep + margin).UnixMilli(),
	}
}

func encode(m proto.Message) []byte {
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(m)
	if err != nil {
		panic(err) // Marshal fails only for a string that is not UTF-8, and config and entry refuse those.
	}
	return data
}

func decodeRow(row platform.Row) (*cardamomyokev1.Claim, error) {
	c := &cardamomyokev1.Claim{}
	if err := proto.Unmarshal(row.Value, c); err != nil {
		return nil, &RowError{row.Key, err}
	}
	return c, nil
}

// judge answers r from a row that another attempt holds. Margin covers the difference between the hosts' clocks.
func judge(now time.Time, r Request, row platform.Row, margin time.Duration) Verdict {
	c, err := decodeRow(row)
	if err != nil {
		return refusal(failure.CodeOutcomeUnknown, err)
	}
	if c.GetService() != string(r.Service) || !bytes.Equal(c.GetBodyHash(), r.BodyHash[:]) {
		return refusal(failure.CodeKeyReused, nil)
	}
	switch c.GetState() {
	case cardamomyokev1.ClaimState_CLAIM_STATE_DONE:
		return replay(c.GetOutcome())
	case cardamomyokev1.ClaimState_CLAIM_STATE_RUNNING:
		if now.Before(time.UnixMilli(c.GetDeadlineMs()).Add(margin)) {
			return refusal(failure.CodeRunning, nil)
		}
	}
	// A slot that died in the middle leaves its row as running: after the deadline nobody can tell what happened.
	return refusal(failure.CodeOutcomeUnknown, nil)
}

func replay(o *cardamomyokev1.ClaimOutcome) Verdict {
	if o.GetTooLarge() {
		return refusal(failure.CodeOutcomeUnknown, &TooLargeError{int(o.GetStatus())})
	}
	return Verdict{Outcome: &Outcome{
		Status:      int(o.GetStatus()),
		ContentType: o.GetContentType(),
		Body:        o.GetBody(),
	}}
}
