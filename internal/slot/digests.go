package slot

import (
	"context"
	"sync"
	"time"

	"github.com/go-kit/log/level"

	"github.com/cardamomyoke/cardamomyoke/internal/digest"
	cardamomyokev1 "github.com/cardamomyoke/cardamomyoke/internal/gen/cardamomyoke/v1"
	"github.com/cardamomyoke/cardamomyoke/internal/ids"
)

// defaultDigestEvery is the time between two digests to the same entry.
const defaultDigestEvery = 250 * time.Millisecond

// digests tells entries of the slot, and learns of entries from theirs.
type digests struct {
	slot     *Slot
	sender   *digest.Sender
	receiver *digest.Receiver
	cancel   context.CancelFunc
	mu       sync.Mutex
	sequence uint64
	// entries are known by digest address; the incarnation is empty until the entry's first digest.
	entries map[string]ids.Incarnation
}

func startDigests(s *Slot) (*digests, error) {
	sender, err := digest.NewSender()
	if err != nil {
		return nil, err
	}
	d := &digests{slot: s, sender: sender, entries: map[string]ids.Incarnation{}}
	for _, seed := range s.settings.Digests.Seeds {
		d.entries[seed] = ""
	}
	d.receiver, err = digest.Receive(s.settings.Digests.Address, d.take)
	if err != nil {
		_ = sender.Close()
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	d.cancel = cancel
	go d.run(ctx)
	return d, nil
}

func (d *digests) run(ctx context.Context) {
	tick := time.NewTicker(d.slot.settings.Digests.Every.Or(defaultDigestEvery))
	defer tick.Stop()
	d.sendAll()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			d.sendAll()
		}
	}
}

// take learns an entry's incarnation, so that the slot can tell the entry its own part of the load.
func (d *digests) take(in *cardamomyokev1.Digest) {
	if in.GetRole() != cardamomyokev1.NodeRole_NODE_ROLE_ENTRY {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.entries[in.GetDigestAddress()] = ids.Incarnation(in.GetIncarnation())
}

func (d *digests) sendAll() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.sequence++
	for address, entry := range d.entries {
		if _, err := d.sender.Send(address, d.slot.digestFor(entry, d.sequence, time.Now())); err != nil {
			_ = level.Debug(d.slot.logger).Log("msg", "digest not sent", "to", address, "err", err)
		}
	}
}

func (d *digests) stop() {
	d.cancel()
	_ = d.receiver.Stop(context.Background())
	_ = d.sender.Close()
}

// digestFor is what the slot tells the given entry.
func (s *Slot) digestFor(entry ids.Incarnation, sequence uint64, now time.Time) *cardamomyokev1.Digest {
	state := cardamomyokev1.NodeState_NODE_STATE_LIVE
	if s.leaving.Load() {
		state = cardamomyokev1.NodeState_NODE_STATE_LEAVING
	}
	total, yours := s.work.counts(entry, now)
	out := &cardamomyokev1.Digest{
		Node:           s.settings.Name,
		Incarnation:    string(s.incarnation),
		Sequence:       sequence,
		Role:           cardamomyokev1.NodeRole_NODE_ROLE_SLOT,
		State:          state,
		DataCentre:     string(s.settings.DataCentre),
		HttpAddress:    s.settings.HTTP.Address,
		ControlAddress: s.settings.Control.Address,
		DigestAddress:  s.settings.Digests.Address,
		Slot: &cardamomyokev1.SlotLoad{
			Service:    string(s.settings.Service),
			Batch:      uint32(s.settings.Upstream.Batch),
			Total:      countsProto(total),
			Yours:      countsProto(yours),
			StepTimeUs: uint32(s.speed.step.value().Microseconds()),
			Steps:      s.steps.Load(),
		},
	}
	if snap := s.config.Current(); snap != nil {
		out.Revision = uint64(snap.Revision())
	}
	return out
}
