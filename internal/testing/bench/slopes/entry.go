package slopes

import (
	"context"
	"fmt"
	"time"

	"github.com/go-kit/log"

	"github.com/cardamomyoke/cardamomyoke/internal/base/control"
	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
	"github.com/cardamomyoke/cardamomyoke/internal/base/tracing"
	cardamomyokev1 "github.com/cardamomyoke/cardamomyoke/internal/gen/cardamomyoke/v1"
	"github.com/cardamomyoke/cardamomyoke/internal/node/entry"
	"github.com/cardamomyoke/cardamomyoke/internal/node/host"
	"github.com/cardamomyoke/cardamomyoke/internal/policy/routing"
	"github.com/cardamomyoke/cardamomyoke/internal/policy/routing/expectedwait"
	"github.com/cardamomyoke/cardamomyoke/internal/policy/routing/prefix"
	"github.com/cardamomyoke/cardamomyoke/internal/state/config"
	"github.com/cardamomyoke/cardamomyoke/internal/state/digest"
	"github.com/cardamomyoke/cardamomyoke/internal/state/membership"
	"github.com/cardamomyoke/cardamomyoke/internal/state/revision"
	"github.com/cardamomyoke/cardamomyoke/internal/testing/bench/meter"
)

// drivenEntry is a real entry whose control loop is driven by the experiment: ticks run only on request.
type drivenEntry struct {
	entry  *entry.Entry
	loop   *control.Loop
	sender *digest.Sender
	set    *entry.Settings
	cancel context.CancelFunc
}

// startDrivenEntry starts an entry with the given number of client accounts and a roster of memberCount other members.
func startDrivenEntry(clients, memberCount int) (*drivenEntry, error) {
	snap, err := config.NewSnapshot(configuration(clients))
	if err != nil {
		return nil, fmt.Errorf("validate configuration: %w", err)
	}
	c := &drivenEntry{loop: control.New(), set: &entry.Settings{Settings: host.Settings{Name: "entry-self", DataCentre: "centre-0"}}}
	for _, address := range []*string{&c.set.HTTP.Address, &c.set.Control.Address, &c.set.Digests.Address, &c.set.Platform} {
		if *address, err = meter.FreePort(); err != nil {
			return nil, err
		}
	}
	tracer, err := tracing.New(context.Background(), "slopes", tracing.Options{})
	if err != nil {
		return nil, fmt.Errorf("create tracer: %w", err)
	}
	if c.sender, err = digest.NewSender(); err != nil {
		return nil, fmt.Errorf("create digest sender: %w", err)
	}
	// No processes run as these members: the entry's digests to them go to a free port on which nothing listens.
	sink, err := meter.FreePort()
	if err != nil {
		return nil, err
	}
	list := members(memberCount)
	for _, m := range list {
		m.DigestAddress = sink
	}
	roster := revision.NewRoster(list)
	c.entry, err = entry.Start(c.set, entry.Deps{
		Config: config.Static{Snapshot: snap}, Loop: c.loop, Roster: func() *revision.Roster { return roster },
		Logger: log.NewNopLogger(), Tracer: tracer,
	})
	if err != nil {
		return nil, fmt.Errorf("start entry: %w", err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	c.cancel = cancel
	go c.loop.Run(ctx, time.Hour, func(time.Time) {})
	return c, nil
}

func (c *drivenEntry) stop() {
	c.entry.Kill()
	c.cancel()
	_ = c.sender.Close()
}

// runOnLoop runs f on the control loop and waits until it returns.
func (c *drivenEntry) runOnLoop(f func(now time.Time)) {
	done := make(chan struct{})
	c.loop.Post(func(now time.Time) {
		f(now)
		close(done)
	})
	<-done
}

// sendSlotDigests sends digests of the given number of slots to the entry and waits for their delivery.
func (c *drivenEntry) sendSlotDigests(slots int, sequence uint64) error {
	sink := c.set.Platform
	for i := range slots {
		id := membership.Identity{
			Name: ids.Node(fmt.Sprintf("runner-%04d", i)), Role: cardamomyokev1.NodeRole_NODE_ROLE_SLOT,
			DataCentre: "centre-0", DigestAddress: sink,
		}
		d := newDigest(id, sequence)
		d.Slot.Service = fmt.Sprintf("language-model-%d", i%3)
		if _, err := c.sender.Send(c.set.Digests.Address, d); err != nil {
			return fmt.Errorf("send digest: %w", err)
		}
	}
	const deliveryTime = 30 * time.Millisecond // for datagrams on loopback and the control loop's mailbox
	time.Sleep(deliveryTime)
	return nil
}

// tickTime returns the time of one tick of the entry's control loop in microseconds and the heap in bytes of an entry
// with the given sizes.
func tickTime(clients, memberCount, slots int) (micros, heap float64, err error) {
	before := heapBytes()
	c, err := startDrivenEntry(clients, memberCount)
	if err != nil {
		return 0, 0, err
	}
	defer c.stop()
	for sequence := range uint64(3) {
		if err := c.sendSlotDigests(slots, sequence+1); err != nil {
			return 0, 0, err
		}
		c.runOnLoop(c.entry.Tick)
	}
	heap = heapBytes() - before
	c.runOnLoop(func(now time.Time) { micros = c.measureTicks(now) })
	return micros, heap, nil
}

const (
	tickPeriod    = 25 * time.Millisecond // tick interval of the daemons
	ticksPerRound = 40                    // one second of ticks, including the views built in it
	tickRounds    = 7                     // in seconds; ends before slots without new digests become suspect
)

// measureTicks advances a virtual clock by tickRounds seconds and returns the mean time of a tick in microseconds, from
// the second with the lowest mean, which other load on the machine disturbed least.
func (c *drivenEntry) measureTicks(now time.Time) float64 {
	best := 0.0
	for round := range tickRounds {
		began := time.Now()
		for range ticksPerRound {
			now = now.Add(tickPeriod)
			c.entry.Tick(now)
		}
		each := float64(time.Since(began).Nanoseconds()) / 1e3 / ticksPerRound
		if round == 0 || each < best {
			best = each
		}
	}
	return best
}

func pickFigures(upstreams int) ([]float64, error) {
	var list []*routing.Upstream
	for i := range upstreams {
		list = append(list, &routing.Upstream{
			ID: ids.Upstream(fmt.Sprint(i)), DataCentre: "centre-0", Address: "10.0.0.1:7100", Weight: 1, Batch: 64,
			Load: routing.Load{TakenAt: virtualStart, StepTime: 20 * time.Millisecond}, Work: &routing.Work{}, Cached: prefix.NewBlockSet(1024),
		})
	}
	picker := expectedwait.New(list, expectedwait.Defaults())
	var pickErr error
	n := uint64(0)
	micros := minCallMicros(func() {
		n++
		if _, err := picker.Pick(&routing.Request{Rand: n}, virtualStart); err != nil {
			pickErr = err
		}
	})
	return []float64{micros}, pickErr
}

func entryExperiments() []Experiment {
	base := []Metric{{"entry.tick", "entry control", "µs a tick", Timed}, {"entry.heap", "entry control", "B of heap", Counted}}
	tickMetrics := func(driver string) []Metric {
		out := append([]Metric{}, base...)
		for i := range out {
			out[i].Name += ".by-" + driver
		}
		return out
	}
	figures := func(micros, heap float64, err error) ([]float64, error) { return []float64{micros, heap}, err }
	return []Experiment{
		{
			Driver: "members, 17 slots heard, 1,000 clients", Sizes: []int{19, 142, 285, 570, 1140}, Target: targetMembers,
			Metrics: tickMetrics("members"),
			Run:     func(n int) ([]float64, error) { return figures(tickTime(1000, n, 17)) },
		},
		{
			Driver: "slots heard, 19 members, 1,000 clients", Sizes: []int{4, 8, 16, 32, 64}, Target: 64,
			Metrics: tickMetrics("slots"),
			Run:     func(n int) ([]float64, error) { return figures(tickTime(1000, 19, n)) },
		},
		{
			Driver: "client accounts, 19 members, 17 slots", Sizes: []int{10, 1000, 10_000, 30_000}, Target: targetClients,
			Metrics: tickMetrics("clients"),
			Run:     func(n int) ([]float64, error) { return figures(tickTime(n, 19, 17)) },
		},
		{
			Driver: "upstreams in a picker", Sizes: []int{4, 8, 16, 32, 64}, Target: 64,
			Metrics: []Metric{{"entry.pick", "entry traffic", "µs a request", Timed}},
			Run:     pickFigures,
		},
	}
}
