package limits

import (
	"math"

	"github.com/cespare/xxhash/v2"

	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
	cardamomyokev1 "github.com/cardamomyoke/cardamomyoke/internal/gen/cardamomyoke/v1"
)

const centi = 100

// Encode turns records into the message that goes between entries.
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

// Names finds accounts by the hash that stands for them in messages. It is immutable and belongs to a configuration.
type Names map[uint64]ids.Client

// NewNames returns the names of the given accounts. Of two accounts with the same hash, which is not to be expected
// among millions, one would be counted as the other.
func NewNames(clients []ids.Client) Names {
	names := make(Names, len(clients))
	for _, c := range clients {
		names[hashOf(c)] = c
	}
	return names
}

// Decode turns a message into records. Accounts that this configuration does not know are left out.
func (n Names) Decode(report *cardamomyokev1.UsageReport) []Record {
	var records []Record
	for _, r := range report.GetRecords() {
		if client, ok := n[r.GetClient()]; ok {
			records = append(records, Record{client, Usage{float64(r.GetCentirequests()) / centi, float64(r.GetTokens())}})
		}
	}
	return records
}
