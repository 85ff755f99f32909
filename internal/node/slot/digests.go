package slot

import (
	"context"
	"sync"
	"time"

	"github.com/go-kit/log/level"

	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
	cardamomyokev1 "github.com/cardamomyoke/cardamomyoke/internal/gen/cardamomyoke/v1"
	"github.com/cardamomyoke/cardamomyoke/internal/policy/quarantine"
	"github.com/cardamomyoke/cardamomyoke/internal/state/digest"
	"github.com/cardamomyoke/cardamomyoke/internal/state/membership"
	"github.com/cardamomyoke/cardamomyoke/internal/state/revision"
)

// digestTick is the interval at which the slot checks which entries are due for a digest.
const digestTick = 50 * time.Millisecond

// digests sends the slot's digests to the entries, and maintains the list of entries from their digests and the roster.
type digests struct {
	slot     *Slot
	sender   *digest.Sender
	receiver *digest.Receiver
	cancel   context.CancelFunc
	mu       sync.Mutex
	sequence uint64
	members  *membership.MemberList
	roster   *revision.Roster
}

func startDigests(s *Slot) (*digests, error) {
	sender, err := digest.NewSender()
	if err != nil {
		return nil, err
	}
	self := membership.Identity{
		Name:          ids.Node(s.settings.Name),
		Role:          cardamomyokev1.NodeRole_NODE_ROLE_SLOT,
		DataCentre:    s.settings.DataCentre,
		DigestAddress: s.settings.Digests.Address,
	}
	d := &digests{slot: s, sender: sender, members: membership.New(self, membership.Defaults(), time.Now())}
	d.receiver, err = digest.Receive(s.settings.Digests.Address, d.receive)
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
	tick := time.NewTicker(digestTick)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			d.send(false)
		}
	}
}

// receive processes an entry's digest. It records the entry's incarnation, so that the slot can report to the entry its
// own share of the load, and merges the suspects.
func (d *digests) receive(in *cardamomyokev1.Digest) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.members.Receive(in, time.Now()) {
		return
	}
	d.slot.quarantineGate.Merge(quarantine.FromDigest(in)...)
}

// send sends a digest to the targets that are due, or to all targets if all is set, for an urgent change.
func (d *digests) send(all bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	d.slot.quarantineGate.SetPeriod(quarantinePeriod(d.slot.config))
	d.applyRoster(now)
	d.members.Tick(now)
	for _, to := range d.members.DueTargets(d.slot.settings.Digests.Seeds, now, all) {
		d.sequence++
		n, err := d.sender.Send(to.Address, d.slot.digestFor(to.Incarnation, d.sequence, now))
		d.slot.metrics.digestBytes.Add(n)
		if err != nil {
			_ = level.Debug(d.slot.logger).Log("msg", "digest not sent", "to", to.Address, "err", err)
		}
	}
}

func (d *digests) applyRoster(now time.Time) {
	if d.slot.roster == nil {
		return
	}
	r := d.slot.roster()
	if r == nil || r == d.roster {
		return
	}
	d.roster = r
	d.members.SetRoster(membership.FromRevision(r.Members()), now)
}

func (d *digests) stop() {
	d.cancel()
	_ = d.receiver.Stop(context.Background())
	_ = d.sender.Close()
}

// digestFor returns the slot's digest for the given entry.
func (s *Slot) digestFor(entry ids.Incarnation, sequence uint64, now time.Time) *cardamomyokev1.Digest {
	state := cardamomyokev1.NodeState_NODE_STATE_LIVE
	if s.draining.Load() {
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
			StepTimeUs: uint32(s.speed.tokenTime.value().Microseconds()),
			Steps:      s.progress.Load(),

			UpstreamDown: s.upstream.down.Load(),
		},
	}
	out.Suspects = quarantine.ToDigest(s.quarantineGate.Digest(now, maxDigestSuspects))
	if snap := s.config.Current(); snap != nil {
		out.Revision = uint64(snap.Revision())
	}
	return out
}
