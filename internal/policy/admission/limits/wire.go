package limits

import (
	"math"

	"github.com/cespare/xxhash/v2"

	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
	cardamomyokev1 "github.com/cardamomyoke/cardamomyoke/internal/gen/cardamomyoke/v1"
)

// centi is the number of centirequests in a request: demand is sent in hundredths.
const centi = 100

// Encode converts records to the message that entries exchange.
func Encode(records []Record) *cardamomyokev1.UsageReport {
	report := &cardamomyokev1.UsageReport{}
	for _, r := range records {
		report.Records = append(report.Records, &cardamomyokev1.UsageRecord{
			Client:        hashOf(r.Client),
			Centirequests: clamp(centi * r.Demand.Requests),
			Tokens:        clamp(r.Demand.Tokens),
		})
	}
	return report
}

func clamp(v float64) uint32 { return uint32(min(math.MaxUint32, max(0, math.Round(v)))) }

func hashOf(c ids.Client) uint64 { return xxhash.Sum64String(string(c)) }

// ClientsByHash maps the hashes in messages to clients. It is immutable and built for one configuration.
type ClientsByHash map[uint64]ids.Client

// NewClientsByHash returns the index of the given clients. If two clients have the same hash, one is counted as the
// other; this is not expected even among millions.
func NewClientsByHash(clients []ids.Client) ClientsByHash {
	byHash := make(ClientsByHash, len(clients))
	for _, c := range clients {
		byHash[hashOf(c)] = c
	}
	return byHash
}

// Decode converts a message to records. Clients that are not in this configuration are skipped.
func (c ClientsByHash) Decode(report *cardamomyokev1.UsageReport) []Record {
	var records []Record
	for _, r := range report.GetRecords() {
		if client, ok := c[r.GetClient()]; ok {
			records = append(records, Record{client, Usage{float64(r.GetCentirequests()) / centi, float64(r.GetTokens())}})
		}
	}
	return records
}
