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

// Sizes and times of a cluster.
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

// Sabotage turns safeguards off, to show that the checks can fail.
type Sabotage struct {
	// OwnTables gives each slot a table of its own, so that claims do not bind the others.
	OwnTables bool
}

// Host is an upstream host: a slot with an engine or a plain service beside it, and the relay between the two.
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

// EntryHost is an entry with the addresses of its links.
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
	// control is held while a fault begins or ends.
	control sync.Mutex
	mu      sync.Mutex
	reached map[string]bool
	// past are plain services that were stopped; their runs still count.
	past []*plain.Service
}

// Configuration is what operators of the small deployment decided.
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

// NewCluster starts everything; Close stops it.
func NewCluster(sab Sabotage) (*Cluster, error) {
	snap, err := configuration()
	if err != nil {
		return nil, err
	}
	tracer, err := tracing.New(context.Background(), "faulttest", tracing.Options{})
	if err != nil {
		return nil, fmt.Errorf("tracer: %w", err)
	}
	c := &Cluster{Table: memtable.New(nil), tracer: tracer, reached: map[string]bool{}}
	at := newAddresses()
	source := config.Static{Snapshot: snap}
	for i := range entries {
		e := &EntryHost{deps: entry.Deps{Config: source, Logger: log.NewNopLogger(), Tracer: tracer}}
		e.set.Name = fmt.Sprintf("entry-%d", i)
		e.set.DataCentre = "churubusco"
		e.set.HTTP.Address = at.take()
		e.set.Control.Address = at.take()
		e.set.Digests.Address = at.take()
		c.Entries = append(c.Entries, e)
	}
	c.Entries[0].set.Digests.Seeds = []string{c.Entries[1].set.Digests.Address}
	c.Entries[1].set.Digests.Seeds = []string{c.Entries[0].set.Digests.Address}
	for i := range modelSlots + plainSlots {
		if err := c.addHost(at, i, source, sab); err != nil {
			return nil, err
		}
	}
	return c, c.startAll()
}

func (c *Cluster) addHost(at *addresses, i int, source config.Source, sab Sabotage) error {
	h := &Host{name: fmt.Sprintf("host-%d", i), address: at.take()}
	h.deps = slot.Deps{Config: source, Table: c.Table, Logger: log.NewNopLogger(), Tracer: c.tracer}
	if sab.OwnTables {
		h.deps.Table = memtable.New(nil)
	}
	h.set.Name = h.name
	h.set.DataCentre = "churubusco"
	h.set.HTTP.Address = at.take()
	h.set.Control.Address = at.take()
	h.set.Digests.Address = at.take()
	h.set.Upstream.Address = at.take()
	h.set.Upstream.Batch = engineBatch
	h.set.Upstream.StopAfter = setting(stopAfter)
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
	h.upstream, err = NewRelay(h.set.Upstream.Address, h.address, c.noteReached)
	if err != nil {
		return err
	}
	return c.addLinks(at, h)
}

func (c *Cluster) addLinks(at *addresses, h *Host) error {
	for _, e := range c.Entries {
		a := linkAddresses{
			work:       at.take(),
			slotWork:   h.set.HTTP.Address,
			fromSlot:   at.take(),
			fromEntry:  at.take(),
			slotDigest: h.set.Digests.Address,
			entDigst:   e.set.Digests.Address,
		}
		l, err := newLink(a)
		if err != nil {
			return err
		}
		h.set.Digests.Seeds = append(h.set.Digests.Seeds, a.fromSlot)
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

func (c *Cluster) noteReached(mark string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reached[mark] = true
}

// Evidence returns what the stand-ins know.
func (c *Cluster) Evidence() Evidence {
	c.mu.Lock()
	defer c.mu.Unlock()
	ev := Evidence{Ran: map[string]int{}, Reached: map[string]bool{}}
	for m := range c.reached {
		ev.Reached[m] = true
	}
	services := c.past
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

// Close stops everything, side by side, since each listener takes half a second to end.
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
