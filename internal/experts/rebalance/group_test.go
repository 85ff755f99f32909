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

// bed is a group of ranks in lock-step with a slot beside each, and whoever leads it.
type bed struct {
	group   *group.Group
	store   *platform.Store
	mu      sync.Mutex
	members []*cardamomyokev1.Member
}

// roster returns the members as the slots and leaders know them now.
func (b *bed) roster() []*cardamomyokev1.Member {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.Clone(b.members)
}

func startBed(t *testing.T) *bed {
	t.Helper()
	b := &bed{store: platform.NewStore(platform.Limits{WeightBytesPerSecond: 1 << 30})}
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

func (b *bed) directory() *rebalance.Directory {
	return &rebalance.Directory{Members: b.roster, Client: http.DefaultClient, Scheme: "http"}
}

// serve starts a process with a control loop and an RPC port, and adds it to the roster.
func (b *bed) serve(t *testing.T, m *cardamomyokev1.Member, mux *http.ServeMux) *control.Loop {
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

func (b *bed) startSlot(t *testing.T, i int, engineAddress string) {
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

// startLeader starts an entry that leads the group.
func (b *bed) startLeader(t *testing.T, name string) *rebalance.Group {
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
		Ranks: b.directory(), Proposer: proposer, Objects: b.store, Weights: b.store, Logger: log.NewNopLogger(),
	})
}

func (b *bed) checkOneMap(t *testing.T, version uint64) {
	t.Helper()
	_, maps := b.group.Steps()
	for r, m := range maps {
		if m.Version != version || m != maps[0] {
			t.Fatalf("rank %d runs map %s, want version %d of one name: %v", r, m, version, maps)
		}
	}
	if mixed := b.group.Mixed(); len(mixed) > 0 {
		t.Fatalf("steps %v ran under two maps", mixed)
	}
}

// An operator sees a group without a map start to step as soon as a holder of its lease takes a turn, and switch again
// when popularity shifts for good, while it goes on stepping; in every step all ranks use one and the same map.
func TestAGroupGetsItsFirstMapAndFollowsAShift(t *testing.T) {
	b := startBed(t)
	leader := b.startLeader(t, "entry-1")
	if _, err := leader.Turn(t.Context(), time.Now(), 1); err != nil {
		t.Fatal(err)
	}
	b.checkOneMap(t, 1)
	b.group.SetWeights(hot())
	now := time.Now()
	before, _ := b.group.Steps()
	for turn := 0; version(b) < 2; turn++ {
		if turn == 600 {
			t.Fatal("the map never followed the shift")
		}
		waitForWindow(b)
		now = now.Add(2 * time.Second)
		if _, err := leader.Turn(t.Context(), now, 1); err != nil {
			t.Fatal(err)
		}
	}
	b.checkOneMap(t, version(b))
	if after, _ := b.group.Steps(); after == before {
		t.Fatal("the group stood still")
	}
}

// hot sends most tokens to the two last experts of each layer; the first map, which takes all for equal, gives the room
// for replicas to the first ones.
func hot() []uint32 {
	w := make([]uint32, experts*layers)
	for i := range w {
		w[i] = 2_000
		if i%experts >= experts-2 {
			w[i] = 60_000
		}
	}
	return w
}

func version(b *bed) uint64 {
	_, maps := b.group.Steps()
	return maps[0].Version
}

// waitForWindow lets the group run on until its next window is whole.
func waitForWindow(b *bed) {
	from, _ := b.group.Steps()
	for {
		if at, _ := b.group.Steps(); at/20 > from/20 {
			return
		}
		time.Sleep(time.Millisecond)
	}
}

// Nothing is seen outside when the holder of the lease ends and another entry takes over: it learns the map in force
// from the ranks and the object store, and does not start the group from its first map again.
func TestASuccessorTakesTheMapFromTheRanks(t *testing.T) {
	b := startBed(t)
	if _, err := b.startLeader(t, "entry-1").Turn(t.Context(), time.Now(), 1); err != nil {
		t.Fatal(err)
	}
	successor := b.startLeader(t, "entry-2")
	if _, err := successor.Turn(t.Context(), time.Now(), 2); err != nil {
		t.Fatal(err)
	}
	b.checkOneMap(t, 1)
}

// The group keeps its map when the object store is down: no new map is started, and the turn says why.
func TestNoNewMapWithoutTheObjectStore(t *testing.T) {
	b := startBed(t)
	b.store.SetFaults(platform.PartObjects, platform.Faults{Outage: true})
	_, err := b.startLeader(t, "entry-1").Turn(t.Context(), time.Now(), 1)
	if err == nil {
		t.Fatal("a map was started that nobody else could read")
	}
	if version(b) != 0 {
		t.Fatal("the group runs a map that is not stored")
	}
}

// A rank whose slot is not known keeps the switch from beginning, and the others keep their map: without all
// acknowledgements there is no certificate.
func TestNoSwitchWithoutEveryRank(t *testing.T) {
	b := startBed(t)
	b.mu.Lock()
	b.members = b.members[1:]
	b.mu.Unlock()
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	_, err := b.startLeader(t, "entry-1").Turn(ctx, time.Now(), 1)
	if !errors.Is(err, context.DeadlineExceeded) || version(b) != 0 {
		t.Fatalf("got %v, map version %d", err, version(b))
	}
}

var _ rebalance.Ranks = (*rebalance.Directory)(nil)
