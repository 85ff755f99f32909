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

// Key prefixes of this package in the platform's table.
const (
	// RowPrefix is the key prefix of claims.
	RowPrefix = "claim/"
	// BatchPrefix is the key prefix of lists of claims. The rest of the key sorts by expiry time.
	BatchPrefix = "claim-batch/"
)

// RowKey returns the table key of a claim. The client's idempotency key is hashed, because it may be long and may hold
// any byte.
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
		ExpireMs:        r.Deadline.Add(r.Retention + margin).UnixMilli(),
	}
}

func encode(m proto.Message) []byte {
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(m)
	if err != nil {
		// Marshal fails only for strings that are not valid UTF-8. Submit refuses requests with such strings, and
		// storedOutcome replaces such bytes of a Content-Type.
		panic(err)
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

// verdictFromRow returns the verdict on r from the existing row of its key. Margin is the tolerated clock difference
// between the hosts.
func verdictFromRow(now time.Time, r Request, row platform.Row, margin time.Duration) Verdict {
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
	// A slot that crashed during the request leaves its row as running. After the deadline the outcome cannot be
	// determined any more.
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
		EndUnproven: o.GetEndUnproven(),
	}}
}
