package faulttest

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/go-kit/log"

	"github.com/cardamomyoke/cardamomyoke/internal/base/tracing"
	cardamomyokev1 "github.com/cardamomyoke/cardamomyoke/internal/gen/cardamomyoke/v1"
	"github.com/cardamomyoke/cardamomyoke/internal/node/entry"
	"github.com/cardamomyoke/cardamomyoke/internal/node/slot"
	"github.com/cardamomyoke/cardamomyoke/internal/state/config"
	"github.com/cardamomyoke/cardamomyoke/internal/testing/faulttest/memtable"
	"github.com/cardamomyoke/cardamomyoke/internal/testing/standin/engine"
	"github.com/cardamomyoke/cardamomyoke/internal/testing/standin/plain"
)

// Sizes and timings of a cluster. The deadlines are in milliseconds.
const (
	entries       = 2
	modelSlots    = 3
	plainSlots    = 2
	engineBatch   = 16
	engineStep    = 2 * time.Millisecond
	plainDelay    = 5 * time.Millisecond
	modelDeadline = 3000
	plainDeadline = 1500
	stopAfter     = 300 * time.Millisecond

	modelService = "desk-model"
	plainService = "ledger-bridge"
	clientName   = "arriaga"
)

// DisabledSafeguards selects safeguards to turn off, to show that the checks can fail.
type DisabledSafeguards struct {
	// SeparateTables gives each slot its own platform table, so that no slot sees the claims of another.
	SeparateTables bool
}

// Host is an upstream host: a slot, its engine or plain service, and the relay between the two.
type Host struct {
	name     string
	set      slot.Settings
	deps     slot.Deps
	slot     *slot.Slot
	engine   *engine.Engine
	plain    *plain.Service
	upstream *Relay
	address  string
	links    []*Link
}

// EntryHost is an entry and its links to the slots.
type EntryHost struct {
	set   entry.Settings
	deps  entry.Deps
	entry *entry.Entry
	links []*Link
}

// Cluster is a small deployment in one process.
type Cluster struct {
	Entries []*EntryHost
	Models  []*Host
	Plains  []*Host
	Table   *memtable.Table
	tracer  *tracing.Tracer
	// faultMu is held while a fault is injected or reverted.
	faultMu sync.Mutex
	mu      sync.Mutex
	reached map[string]bool
	// stoppedServices holds the plain services that were stopped; their runs still count.
	stoppedServices []*plain.Service
}

// configuration returns the operators' configuration of the deployment.
func configuration() (*config.Snapshot, error) {
	return config.NewSnapshot(&cardamomyokev1.Configuration{
		Revision: 1,
		Classes:  []*cardamomyokev1.PriorityClass{{Name: "first", QueueLimit: 1000}},
		Services: []*cardamomyokev1.Service{
			{
				Name: modelService, Kind: cardamomyokev1.ServiceKind_SERVICE_KIND_MODEL, Class: "first", Repeatable: true,
				DeadlineMs: modelDeadline, MaxBodyBytes: 1 << 16, RetryBudgetPercent: 100,
			},
			{
				Name: plainService, Kind: cardamomyokev1.ServiceKind_SERVICE_KIND_PLAIN, Class: "first",
				DeadlineMs: plainDeadline, MaxBodyBytes: 1 << 16, OutcomeKeptS: 3600, RetryBudgetPercent: 100,
			},
		},
		Clients:  []*cardamomyokev1.ClientAccount{{Name: clientName, Share: 1}},
		Policies: &cardamomyokev1.Policies{AddressKeepMs: 100, EjectionPercent: 50, QuarantineS: 60},
	})
}

// NewCluster starts all entries, slots, stand-ins and relays; Close stops them.
func NewCluster(disabled DisabledSafeguards) (*Cluster, error) {
	snap, err := configuration()
	if err != nil {
		return nil, err
	}
	tracer, err := tracing.New(context.Background(), "faulttest", tracing.Options{})
	if err != nil {
		return nil, fmt.Errorf("tracer: %w", err)
	}
	c := &Cluster{Table: memtable.New(nil), tracer: tracer, reached: map[string]bool{}}
	alloc := newAddresses()
	source := config.Static{Snapshot: snap}
	for i := range entries {
		e := &EntryHost{deps: entry.Deps{Config: source, Logger: log.NewNopLogger(), Tracer: tracer}}
		e.set.Name = fmt.Sprintf("entry-%d", i)
		e.set.DataCentre = "churubusco"
		e.set.HTTP.Address = alloc.allocate()
		e.set.Control.Address = alloc.allocate()
		e.set.Digests.Address = alloc.allocate()
		c.Entries = append(c.Entries, e)
	}
	c.Entries[0].set.Digests.Seeds = []string{c.Entries[1].set.Digests.Address}
	c.Entries[1].set.Digests.Seeds = []string{c.Entries[0].set.Digests.Address}
	for i := range modelSlots + plainSlots {
		if err := c.addHost(alloc, i, source, disabled); err != nil {
			return nil, err
		}
	}
	return c, c.startAll()
}

func (c *Cluster) addHost(alloc *addresses, i int, source config.Source, disabled DisabledSafeguards) error {
	h := &Host{name: fmt.Sprintf("host-%d", i), address: alloc.allocate()}
	h.deps = slot.Deps{Config: source, Table: c.Table, Logger: log.NewNopLogger(), Tracer: c.tracer}
	if disabled.SeparateTables {
		h.deps.Table = memtable.New(nil)
	}
	h.set.Name = h.name
	h.set.DataCentre = "churubusco"
	h.set.HTTP.Address = alloc.allocate()
	h.set.Control.Address = alloc.allocate()
	h.set.Digests.Address = alloc.allocate()
	h.set.Upstream.Address = alloc.allocate()
	h.set.Upstream.Batch = engineBatch
	h.set.Upstream.StopAfter = settingsDuration(stopAfter)
	if i < modelSlots {
		h.set.Service = modelService
		h.set.Upstream.Kind = slot.KindModel
		c.Models = append(c.Models, h)
	} else {
		h.set.Service = plainService
		h.set.Upstream.Kind = slot.KindPlain
		c.Plains = append(c.Plains, h)
	}
	var err error
	h.upstream, err = NewRelay(h.set.Upstream.Address, h.address, c.recordReached)
	if err != nil {
		return err
	}
	return c.addLinks(alloc, h)
}

func (c *Cluster) addLinks(alloc *addresses, h *Host) error {
	for _, e := range c.Entries {
		a := linkAddresses{
			requests:         alloc.allocate(),
			slotHTTP:         h.set.HTTP.Address,
			digestsFromSlot:  alloc.allocate(),
			digestsFromEntry: alloc.allocate(),
			slotDigest:       h.set.Digests.Address,
			entryDigest:      e.set.Digests.Address,
		}
		l, err := newLink(a)
		if err != nil {
			return err
		}
		h.set.Digests.Seeds = append(h.set.Digests.Seeds, a.digestsFromSlot)
		h.links = append(h.links, l)
		e.links = append(e.links, l)
	}
	return nil
}

func (c *Cluster) startAll() error {
	for _, h := range c.hosts() {
		if err := h.startUpstream(); err != nil {
			return err
		}
		if err := h.startSlot(); err != nil {
			return err
		}
	}
	for _, e := range c.Entries {
		if err := e.start(); err != nil {
			return err
		}
	}
	return nil
}

func (c *Cluster) hosts() []*Host { return append(append([]*Host{}, c.Models...), c.Plains...) }

func (c *Cluster) recordReached(mark string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reached[mark] = true
}

// Evidence returns what the stand-ins and relays have recorded.
func (c *Cluster) Evidence() Evidence {
	c.mu.Lock()
	defer c.mu.Unlock()
	ev := Evidence{Ran: map[string]int{}, Reached: map[string]bool{}}
	for m := range c.reached {
		ev.Reached[m] = true
	}
	services := c.stoppedServices
	for _, h := range c.Plains {
		if h.plain != nil {
			services = append(services, h.plain)
		}
	}
	for _, s := range services {
		for key, n := range s.Runs() {
			ev.Ran[key] += n
		}
	}
	return ev
}

// Close stops all components in parallel, since each listener takes half a second to close.
func (c *Cluster) Close() {
	var wg sync.WaitGroup
	for _, e := range c.Entries {
		wg.Go(func() { e.kill() })
	}
	for _, h := range c.hosts() {
		wg.Go(func() { h.killSlot() })
		wg.Go(func() { c.killUpstream(h) })
		for _, l := range h.links {
			l.Close()
		}
	}
	wg.Wait()
	_ = c.tracer.Close(context.Background())
}
