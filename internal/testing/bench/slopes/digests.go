package slopes

import (
	"fmt"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
	cardamomyokev1 "github.com/cardamomyoke/cardamomyoke/internal/gen/cardamomyoke/v1"
	"github.com/cardamomyoke/cardamomyoke/internal/state/membership"
)

const (
	// datagramHeaderBytes is the size of the IP and UDP headers of a digest.
	datagramHeaderBytes = 28
	incarnation         = "01k9zq3v5c8d7e6f4g2h1j0k" // has the length of an incarnation from ids.NewIncarnation

	exchangeStep   = 100 * time.Millisecond
	exchangeWarmup = 60 * time.Second
	exchangeSpan   = 20 * time.Second
)

// virtualStart is the start of the virtual clock; only times relative to it matter.
var virtualStart = time.Unix(1_800_000_000, 0)

// digestNode is a node that sends and receives digests.
type digestNode struct {
	id      membership.Identity
	members *membership.MemberList
	// Messages and bytes sent and received during exchangeSpan.
	sent, received, sentBytes, receivedBytes float64
	sequence                                 uint64
}

// identities returns the given number of entries and 13 slots for every 6 entries, spread over the target's number of
// data centres.
func identities(entries int) []membership.Identity {
	var all []membership.Identity
	add := func(role cardamomyokev1.NodeRole, kind string, n int) {
		for i := range n {
			dc := i % targetCentres
			all = append(all, membership.Identity{
				Name: ids.Node(fmt.Sprintf("%s-%04d", kind, i)), Role: role, DataCentre: ids.DataCentre(fmt.Sprintf("centre-%d", dc)),
				DigestAddress: fmt.Sprintf("10.%d.%d.%d:7300", len(kind), i/250, i%250),
			})
		}
	}
	add(cardamomyokev1.NodeRole_NODE_ROLE_ENTRY, "entry", entries)
	add(cardamomyokev1.NodeRole_NODE_ROLE_SLOT, "slot", entries*targetSlots/targetEntries)
	return all
}

// newDigest returns a digest of the node with all fields filled in as by its process.
func newDigest(id membership.Identity, sequence uint64) *cardamomyokev1.Digest {
	d := &cardamomyokev1.Digest{
		Node: string(id.Name), Incarnation: incarnation, Sequence: sequence, Role: id.Role,
		State: cardamomyokev1.NodeState_NODE_STATE_LIVE, DataCentre: string(id.DataCentre),
		HttpAddress: id.DigestAddress, ControlAddress: id.DigestAddress, DigestAddress: id.DigestAddress, Revision: 657_000,
	}
	if id.Role == cardamomyokev1.NodeRole_NODE_ROLE_SLOT {
		counts := &cardamomyokev1.WorkCounts{Waiting: 12, Running: 48, PromptTokens: 40_000, OutputTokens: 12_000}
		d.Slot = &cardamomyokev1.SlotLoad{
			Service: "language-model", Batch: 64, Total: counts, Yours: counts, StepTimeUs: 20_000, PromptTokenNs: 30_000,
			Steps: 4_000_000, Versions: []string{"language-model@2026-11-30"}, Adapters: []string{"grants"},
		}
	}
	return d
}

// exchangeDigests simulates the digest exchange between all nodes on a virtual clock. It counts messages only after a
// warm-up, when the nodes' state for each other has become stable.
func exchangeDigests(entries int) []*digestNode {
	identityList := identities(entries)
	nodes := make([]*digestNode, len(identityList))
	byAddress := map[string]*digestNode{}
	for i, id := range identityList {
		nodes[i] = &digestNode{id: id, members: membership.New(id, membership.Defaults(), virtualStart)}
		nodes[i].members.SetRoster(identityList, virtualStart)
		byAddress[id.DigestAddress] = nodes[i]
	}
	due := make([][]membership.Target, len(nodes))
	for step := 0; time.Duration(step)*exchangeStep < exchangeWarmup+exchangeSpan; step++ {
		now := virtualStart.Add(time.Duration(step) * exchangeStep)
		measuring := time.Duration(step)*exchangeStep >= exchangeWarmup
		advance(nodes, due, step, now)
		for i, n := range nodes {
			n.sendDigest(byAddress, due[i], now, measuring)
		}
	}
	return nodes
}

// advance ticks the member lists and collects the targets to which each node has to send a digest. Each list changes
// only its own state, so the workers run concurrently.
func advance(nodes []*digestNode, due [][]membership.Target, step int, now time.Time) {
	const workers = 4
	var wg sync.WaitGroup
	for w := range workers {
		wg.Go(func() {
			for i := w; i < len(nodes); i += workers {
				// Ticks are less than a second apart; a longer gap would be mistaken for a pause of the process.
				if (step+i)%5 == 0 {
					nodes[i].members.Tick(now)
				}
				due[i] = nodes[i].members.DueTargets(nil, now, false)
			}
		})
	}
	wg.Wait()
}

func (n *digestNode) sendDigest(byAddress map[string]*digestNode, due []membership.Target, now time.Time, measuring bool) {
	if len(due) == 0 {
		return
	}
	n.sequence++
	d := newDigest(n.id, n.sequence)
	size := float64(proto.Size(d) + datagramHeaderBytes)
	for _, to := range due {
		byAddress[to.Address].members.Receive(d, now)
		if measuring {
			n.sent++
			n.sentBytes += size
			byAddress[to.Address].received++
			byAddress[to.Address].receivedBytes += size
		}
	}
}

// exchangeFigures returns the figures of one exchange, in the order of its metrics.
func exchangeFigures(entries int) ([]float64, error) {
	nodes := exchangeDigests(entries)
	end := virtualStart.Add(exchangeWarmup + exchangeSpan)
	var f struct{ slotOut, slotIn, entryOut, entryIn, entryBusiest, fresh, stale, entriesCounted float64 }
	slots := float64(len(nodes) - entries)
	seconds := exchangeSpan.Seconds()
	for _, n := range nodes {
		if n.id.Role == cardamomyokev1.NodeRole_NODE_ROLE_SLOT {
			f.slotOut += n.sentBytes / seconds / slots
			f.slotIn += n.receivedBytes / seconds / slots
			continue
		}
		f.entryOut += n.sentBytes / seconds / float64(entries)
		f.entryIn += n.receivedBytes / seconds / float64(entries)
		f.entryBusiest = max(f.entryBusiest, (n.sentBytes+n.receivedBytes)/seconds)
		fresh, stale := n.countSlots(end)
		f.fresh += fresh / float64(entries)
		f.stale += stale / float64(entries)
		f.entriesCounted += float64(n.members.EntryCount()) / float64(entries)
	}
	return []float64{f.slotOut, f.slotIn, f.entryOut, f.entryIn, f.entryBusiest, f.fresh, f.stale, f.entriesCounted}, nil
}

// countSlots counts the slots that an entry can route to: fresh ones, whose last digest is at most three seconds old,
// and stale ones, whose last digest is older but which are not declared dead yet.
func (n *digestNode) countSlots(now time.Time) (fresh, stale float64) {
	const maxFreshAge = 3 * time.Second
	for _, m := range n.members.Nodes() {
		if m.Role != cardamomyokev1.NodeRole_NODE_ROLE_SLOT || m.LastSeen.IsZero() || m.State == membership.StateDead {
			continue
		}
		if now.Sub(m.LastSeen) <= maxFreshAge {
			fresh++
		} else {
			stale++
		}
	}
	return fresh, stale
}

func digestExperiments() []Experiment {
	return []Experiment{
		{
			Driver: "entries, with 780 slots for 360 entries", Sizes: []int{6, 30, 90, 360}, Target: targetEntries,
			Metrics: []Metric{
				{"digests.slot.sent", "slot", "B/s", Exact}, {"digests.slot.received", "slot", "B/s", Exact},
				{"digests.entry.sent", "entry control", "B/s", Exact}, {"digests.entry.received", "entry control", "B/s", Exact},
				{"digests.entry.busiest", "entry control", "B/s both ways", Exact},
				{"digests.entry.slots-fresh", "entry control", "slots", Exact}, {"digests.entry.slots-stale", "entry control", "slots", Exact},
				{"digests.entry.entries-counted", "entry control", "entries", Exact},
			},
			Run: exchangeFigures,
		},
		{
			Driver: "versions and adapters at one engine", Sizes: []int{1, 2, 4, 8, 16}, Target: 3,
			Metrics: []Metric{{"digests.slot.size", "slot", "B on the wire", Exact}},
			Run: func(size int) ([]float64, error) {
				d := newDigest(identities(6)[6], 1000)
				d.Slot.Versions, d.Slot.Adapters = nil, nil
				for i := range size {
					d.Slot.Versions = append(d.Slot.Versions, fmt.Sprintf("language-model-%d@2026-11-30", i%10))
				}
				return []float64{float64(proto.Size(d) + datagramHeaderBytes)}, nil
			},
		},
	}
}
