package digest_test

import (
	"testing"

	"google.golang.org/protobuf/proto"

	cardamomyokev1 "github.com/cardamomyoke/cardamomyoke/internal/gen/cardamomyoke/v1"
	"github.com/cardamomyoke/cardamomyoke/internal/state/digest"
)

func FuzzDecode(f *testing.F) {
	good, err := proto.Marshal(&cardamomyokev1.Digest{
		Node: "n", Incarnation: "i", Role: cardamomyokev1.NodeRole_NODE_ROLE_SLOT, Slot: &cardamomyokev1.SlotLoad{Batch: 3},
	})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(good)
	f.Add([]byte{0xff})
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, data []byte) {
		d, err := digest.Decode(data)
		if err == nil && (d.GetNode() == "" || d.GetIncarnation() == "") {
			t.Fatalf("accepted a digest without node or incarnation: %v", d)
		}
	})
}
