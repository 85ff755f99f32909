package limits_test

import (
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"
	"google.golang.org/protobuf/proto"

	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
	"github.com/cardamomyoke/cardamomyoke/internal/policy/admission/limits"
)

func TestReportsRoundTrip(t *testing.T) {
	records := []limits.Record{
		{Client: "a", Demand: limits.Usage{Requests: 1.25, Tokens: 300}},
		{Client: "removed", Demand: limits.Usage{Requests: 1}},
		{Client: "b", Demand: limits.Usage{Requests: 1e12, Tokens: -1}},
	}
	got := limits.NewClientsByHash([]ids.Client{"a", "b"}).Decode(limits.Encode(records))
	want := []limits.Record{records[0], {Client: "b", Demand: limits.Usage{Requests: 42949672.95}}}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Fatal(diff)
	}
}

// Guards against a report that is too large for its datagram: with the rest of a digest, which takes up to 190 bytes,
// it must fit into 1,400.
func TestLargestReportFitsADatagram(t *testing.T) {
	var records []limits.Record
	for i := range limits.Defaults().MaxRecords {
		records = append(records, limits.Record{
			Client: ids.Client(fmt.Sprintf("client-with-a-long-name-%05d", i)), Demand: limits.Usage{Requests: 5000, Tokens: 5e6},
		})
	}
	if n := proto.Size(limits.Encode(records)); n > 1400-190 {
		t.Fatalf("%d records take %d bytes", len(records), n)
	}
}
