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

// announceStub sends digests of the stub to the entry until the returned function is called.
func announceStub(httpAddr, digestAddr, entryDigestAddr string, o Options) (func(), error) {
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
		HttpAddress:   httpAddr,
		DigestAddress: digestAddr,
		Slot:          &cardamomyokev1.SlotLoad{Service: serviceStub, Batch: uint32(4 * o.Workers)},
	}
	stop := make(chan struct{})
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		tick := time.NewTicker(announceInterval)
		defer tick.Stop()
		for {
			select {
			case <-stop:
				return
			case <-tick.C:
				d.Sequence++
				if _, err := sender.Send(entryDigestAddr, d); err != nil {
					fmt.Println("stub: send digest:", err)
				}
			}
		}
	}()
	return func() {
		close(stop)
		<-stopped
		_ = sender.Close()
	}, nil
}
