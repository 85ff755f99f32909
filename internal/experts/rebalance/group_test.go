package rebalance_test

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/go-kit/log"

	"github.com/cardamomyoke/cardamomyoke/internal/base/control"
	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
	"github.com/cardamomyoke/cardamomyoke/internal/experts/expertmap"
	"github.com/cardamomyoke/cardamomyoke/internal/experts/expertmap/node"
	"github.com/cardamomyoke/cardamomyoke/internal/experts/rebalance"
	cardamomyokev1 "github.com/cardamomyoke/cardamomyoke/internal/gen/cardamomyoke/v1"
	"github.com/cardamomyoke/cardamomyoke/internal/gen/cardamomyoke/v1/cardamomyokev1connect"
	"github.com/cardamomyoke/cardamomyoke/internal/node/rank"
	"github.com/cardamomyoke/cardamomyoke/internal/testing/loopback"
	"github.com/cardamomyoke/cardamomyoke/internal/testing/standin/group"
	"github.com/cardamomyoke/cardamomyoke/internal/testing/standin/platform"
)

const (
	ranks   = 4
	experts = 8
	layers  = 2
)

// testbed is a group of ranks in lockstep with one slot per rank. Entries that hold its lease are started with
// startHolder.
type testbed struct {
	group   *group.Group
	store   *platform.Store
	mu      sync.Mutex
	members []*cardamomyokev1.Member
}

// roster returns the members that slots and leaders see now.
func (b *testbed) roster() []*cardamomyokev1.Member {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.Clone(b.members)
}

func startTestbed(t *testing.T) *testbed {
	t.Helper()
	b := &testbed{store: platform.NewStore(platform.Limits{WeightBytesPerSecond: 1 << 30})}
	var addresses []string
	for range ranks {
		addresses = append(addresses, loopback.Address())
	}
	var err error
	b.group, err = group.Start(group.Options{Addresses: addresses, Step: 2 * time.Millisecond, Cells: experts * layers, Window: 20})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(b.group.Stop)
	for i, address := range addresses {
		b.startSlot(t, i, address)
	}
	return b
}

func (b *testbed) directory() *rebalance.Directory {
	return &rebalance.Directory{Members: b.roster, Client: http.DefaultClient, Scheme: "http"}
}

// serve starts a process with a control loop and a control port, and adds it to the roster.
func (b *testbed) serve(t *testing.T, m *cardamomyokev1.Member, mux *http.ServeMux) *control.Loop {
	t.Helper()
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	m.Address = server.Listener.Addr().String()
	b.mu.Lock()
	b.members = append(b.members, m)
	b.mu.Unlock()
	loop := control.New()
	go loop.Run(t.Context(), time.Second, func(time.Time) {})
	return loop
}

func (b *testbed) startSlot(t *testing.T, i int, engineAddress string) {
	t.Helper()
	mux := http.NewServeMux()
	loop := b.serve(t, &cardamomyokev1.Member{Name: fmt.Sprintf("slot-%d", i), Group: "g", Rank: uint32(i)}, mux)
	engine := rank.NewEngine(engineAddress, "g", expertmap.Rank(i))
	slot := node.NewSlot(node.SlotOptions{
		Group: "g",
		Config: expertmap.SlotConfig{
			Rank: expertmap.Rank(i), Ranks: ranks, Incarnation: node.NewIncarnation(), Timing: expertmap.DefaultSlotTiming(),
		},
		Engine:    engine,
		Loop:      loop,
		Transport: node.NewTransport(t.Context(), http.DefaultClient, b.directory().Resolve),
		Logger:    log.NewNopLogger(),
	})
	hub := node.NewHub()
	hub.AddSlot("g", slot)
	mux.Handle(cardamomyokev1connect.NewExpertMapServiceHandler(hub))
	mux.Handle(cardamomyokev1connect.NewRankServiceHandler(engine))
	go slot.Run(t.Context())
}

// startHolder starts an entry that acts as the holder of the group's lease.
func (b *testbed) startHolder(t *testing.T, name string) *rebalance.GroupRebalancer {
	t.Helper()
	mux := http.NewServeMux()
	hub := node.NewHub()
	mux.Handle(cardamomyokev1connect.NewExpertMapServiceHandler(hub))
	loop := b.serve(t, &cardamomyokev1.Member{Name: name}, mux)
	proposer := node.NewProposer(node.ProposerOptions{
		Group: "g", Node: ids.Node(name),
		Config:    expertmap.ProposerConfig{ID: uint64(len(b.roster())), Ranks: ranks, Timing: expertmap.DefaultProposerTiming()},
		Loop:      loop,
		Transport: node.NewTransport(t.Context(), http.DefaultClient, b.directory().Resolve),
	})
	hub.AddProposer("g", proposer)
	go proposer.Run(t.Context())
	return rebalance.New(t.Context(), rebalance.Options{
		Group: "g",
		Config: &cardamomyokev1.ModelGroup{
			Name: "g", Ranks: ranks, Experts: experts, Layers: layers,
			Rebalancing: &cardamomyokev1.Rebalancing{MoveWeight: 0.001, HorizonS: 3600, Hysteresis: 0.01, MaxBytesPerMinute: 1 << 40},
		},
		RankClient: b.directory(), Proposer: proposer, Objects: b.store, Weights: b.store, Logger: log.NewNopLogger(),
	})
}

func (b *testbed) checkOneMap(t *testing.T, version uint64) {
	t.Helper()
	_, maps := b.group.Steps()
	for r, m := range maps {
		if m.Version != version || m != maps[0] {
			t.Fatalf("rank %d runs map %s, want version %d of one name: %v", r, m, version, maps)
		}
	}
	if mixed := b.group.MismatchedSteps(); len(mixed) > 0 {
		t.Fatalf("steps %v ran under two maps", mixed)
	}
}

// Guards against a group that never gets a map, or keeps it when popularity shifts permanently. It must run steps as
// soon as a holder of its lease has run a round, and must continue while it switches to another map; in each step all
// ranks use the same map.
func TestGroupGetsFirstMapAndFollowsShift(t *testing.T) {
	b := startTestbed(t)
	leader := b.startHolder(t, "entry-1")
	if _, err := leader.RunRound(t.Context(), time.Now(), 1); err != nil {
		t.Fatal(err)
	}
	b.checkOneMap(t, 1)
	b.group.SetWeights(skewedWeights())
	now := time.Now()
	before, _ := b.group.Steps()
	for round := 0; version(b) < 2; round++ {
		if round == 600 {
			t.Fatal("the map did not follow the shift")
		}
		waitForWindow(b)
		now = now.Add(2 * time.Second)
		if _, err := leader.RunRound(t.Context(), now, 1); err != nil {
			t.Fatal(err)
		}
	}
	b.checkOneMap(t, version(b))
	if after, _ := b.group.Steps(); after == before {
		t.Fatal("the group made no progress")
	}
}

// skewedWeights sends most tokens to the two last experts of each layer. The first map assumes equal popularity and
// gives the additional replicas to the first experts.
func skewedWeights() []uint32 {
	w := make([]uint32, experts*layers)
	for i := range w {
		w[i] = 2_000
		if i%experts >= experts-2 {
			w[i] = 60_000
		}
	}
	return w
}

func version(b *testbed) uint64 {
	_, maps := b.group.Steps()
	return maps[0].Version
}

// waitForWindow waits until the group completes its next window.
func waitForWindow(b *testbed) {
	from, _ := b.group.Steps()
	for {
		if at, _ := b.group.Steps(); at/20 > from/20 {
			return
		}
		time.Sleep(time.Millisecond)
	}
}

// Guards against a group that is switched back to a first map when the holder of the lease dies and another entry takes
// over. The successor must read the map in force from the ranks and the object store.
func TestSuccessorReadsMapFromRanks(t *testing.T) {
	b := startTestbed(t)
	if _, err := b.startHolder(t, "entry-1").RunRound(t.Context(), time.Now(), 1); err != nil {
		t.Fatal(err)
	}
	successor := b.startHolder(t, "entry-2")
	if _, err := successor.RunRound(t.Context(), time.Now(), 2); err != nil {
		t.Fatal(err)
	}
	b.checkOneMap(t, 1)
}

// Guards against a switch to a map that the object store does not have because it is down. The group must keep its map,
// and the round returns the error.
func TestNoNewMapWithoutObjectStore(t *testing.T) {
	b := startTestbed(t)
	b.store.SetFaults(platform.PartObjects, platform.Faults{Outage: true})
	_, err := b.startHolder(t, "entry-1").RunRound(t.Context(), time.Now(), 1)
	if err == nil {
		t.Fatal("a map was started that no other node could read")
	}
	if version(b) != 0 {
		t.Fatal("the group runs a map that is not stored")
	}
}

// Guards against a switch of a group of which one rank has no slot in the roster. The other ranks must keep their map:
// without all acknowledgements there is no certificate.
func TestNoSwitchWithoutEveryRank(t *testing.T) {
	b := startTestbed(t)
	b.mu.Lock()
	b.members = b.members[1:]
	b.mu.Unlock()
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	_, err := b.startHolder(t, "entry-1").RunRound(ctx, time.Now(), 1)
	if !errors.Is(err, context.DeadlineExceeded) || version(b) != 0 {
		t.Fatalf("got %v, map version %d", err, version(b))
	}
}

var _ rebalance.RankClient = (*rebalance.Directory)(nil)
