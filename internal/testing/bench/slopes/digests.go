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
	// datagramHeaderBytes is what IP and UDP add to a digest.
	datagramHeaderBytes = 28
	incarnation         = "01k9zq3v5c8d7e6f4g2h1j0k" // as long as those of ids.NewIncarnation

	exchangeStep   = 100 * time.Millisecond
	exchangeWarmup = 60 * time.Second
	exchangeSpan   = 20 * time.Second
)

// virtualStart is the virtual time at which exchanges start; only differences matter.
var virtualStart = time.Unix(1_800_000_000, 0)

// digestNode is one node of the exchange of digests.
type digestNode struct {
	id      membership.Identity
	members *membership.MemberList
	// sent and received count messages and their bytes in the measured span.
	sent, received, sentBytes, receivedBytes float64
	sequence                                 uint64
}

// identities returns so many entries and 13 slots for each 6 of them, over the target's data centres.
func identities(entries int) []membership.Identity {
	var all []membership.Identity
	add := func(role cardamomyokev1.NodeRole, kind string, n int) {
		for i := range n {
			dc := i % targetCentres
			all = append(all, membership.Identity{
				Name: ids.Node(fmt.Sprintf("%s-%04d", kind, i)), Role: role, DataCentre: ids.DataCentre(fmt.Sprintf("centre-%d", dc)),
				Digests: fmt.Sprintf("10.%d.%d.%d:7300", len(kind), i/250, i%250),
			})
		}
	}
	add(cardamomyokev1.NodeRole_NODE_ROLE_ENTRY, "entry", entries)
	add(cardamomyokev1.NodeRole_NODE_ROLE_SLOT, "slot", entries*targetSlots/targetEntries)
	return all
}

// newDigest is a digest as the processes fill it in.
func newDigest(id membership.Identity, sequence uint64) *cardamomyokev1.Digest {
	d := &cardamomyokev1.Digest{
		Node: string(id.Name), Incarnation: incarnation, Sequence: sequence, Role: id.Role,
		State: cardamomyokev1.NodeState_NODE_STATE_LIVE, DataCentre: string(id.DataCentre),
		HttpAddress: id.Digests, ControlAddress: id.Digests, DigestAddress: id.Digests, Revision: 657_000,
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

// exchangeDigests lets all nodes tell each other, on a virtual clock, until what is known is settled, and counts after that.
func exchangeDigests(entries int) []*digestNode {
	list := identities(entries)
	nodes := make([]*digestNode, len(list))
	at := map[string]*digestNode{}
	for i, id := range list {
		nodes[i] = &digestNode{id: id, members: membership.New(id, membership.Defaults(), virtualStart)}
		nodes[i].members.SetRoster(list, virtualStart)
		at[id.Digests] = nodes[i]
	}
	due := make([][]membership.Target, len(nodes))
	for step := 0; time.Duration(step)*exchangeStep < exchangeWarmup+exchangeSpan; step++ {
		now := virtualStart.Add(time.Duration(step) * exchangeStep)
		counted := time.Duration(step)*exchangeStep >= exchangeWarmup
		advance(nodes, due, step, now)
		for i, n := range nodes {
			n.sendDigest(at, due[i], now, counted)
		}
	}
	return nodes
}

// advance lets each table tick and say whom it tells. Each touches only its own state, so they run side by side.
func advance(nodes []*digestNode, due [][]membership.Target, step int, now time.Time) {
	const workers = 4
	var wait sync.WaitGroup
	for w := range workers {
		wait.Go(func() {
			for i := w; i < len(nodes); i += workers {
				// Less than a second apart, else a table takes the time between two ticks for a pause of its process.
				if (step+i)%5 == 0 {
					nodes[i].members.Tick(now)
				}
				due[i] = nodes[i].members.DueTargets(nil, now, false)
			}
		})
	}
	wait.Wait()
}

func (n *digestNode) sendDigest(at map[string]*digestNode, due []membership.Target, now time.Time, counted bool) {
	if len(due) == 0 {
		return
	}
	n.sequence++
	d := newDigest(n.id, n.sequence)
	size := float64(proto.Size(d) + datagramHeaderBytes)
	for _, to := range due {
		at[to.Address].members.Receive(d, now)
		if counted {
			n.sent++
			n.sentBytes += size
			at[to.Address].received++
			at[to.Address].receivedBytes += size
		}
	}
}

// exchangeFigures condenses one exchange.
func exchangeFigures(entries int) ([]float64, error) {
	nodes := exchangeDigests(entries)
	end := virtualStart.Add(exchangeWarmup + exchangeSpan)
	var f struct{ slotOut, slotIn, entryOut, entryIn, entryMost, heard, stale, others float64 }
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
		f.entryMost = max(f.entryMost, (n.sentBytes+n.receivedBytes)/seconds)
		heard, stale := n.countSlots(end)
		f.heard += heard / float64(entries)
		f.stale += stale / float64(entries)
		f.others += float64(n.members.Entries()) / float64(entries)
	}
	return []float64{f.slotOut, f.slotIn, f.entryOut, f.entryIn, f.entryMost, f.heard, f.stale, f.others}, nil
}

// countSlots counts the slots that an entry routes to: those heard within three seconds, and those heard once that it
// has not given up yet.
func (n *digestNode) countSlots(now time.Time) (fresh, stale float64) {
	const newest = 3 * time.Second
	for _, m := range n.members.Nodes() {
		if m.Role != cardamomyokev1.NodeRole_NODE_ROLE_SLOT || m.LastSeen.IsZero() || m.State == membership.StateDead {
			continue
		}
		if now.Sub(m.LastSeen) <= newest {
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
