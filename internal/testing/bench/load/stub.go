package load

import (
	"fmt"
	"time"

	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
	cardamomyokev1 "github.com/cardamomyoke/cardamomyoke/internal/gen/cardamomyoke/v1"
	"github.com/cardamomyoke/cardamomyoke/internal/state/digest"
)

// announceInterval is the time between two digests of the stub.
const announceInterval = 250 * time.Millisecond

// announce tells the entry of the stub until the returned function is called.
func announce(address, digests, entry string, o Options) (func(), error) {
	sender, err := digest.NewSender()
	if err != nil {
		return nil, err
	}
	d := &cardamomyokev1.Digest{
		Node:          serviceStub,
		Incarnation:   string(ids.NewIncarnation()),
		Role:          cardamomyokev1.NodeRole_NODE_ROLE_SLOT,
		State:         cardamomyokev1.NodeState_NODE_STATE_LIVE,
		DataCentre:    "here",
		HttpAddress:   address,
		DigestAddress: digests,
		Slot:          &cardamomyokev1.SlotLoad{Service: serviceStub, Batch: uint32(4 * o.Workers)},
	}
	done := make(chan struct{})
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		tick := time.NewTicker(announceInterval)
		defer tick.Stop()
		for {
			select {
			case <-done:
				return
			case <-tick.C:
				d.Sequence++
				if _, err := sender.Send(entry, d); err != nil {
					fmt.Println("stub:", err)
				}
			}
		}
	}()
	return func() {
		close(done)
		<-ended
		_ = sender.Close()
	}, nil
}
