package node

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
	"github.com/cardamomyoke/cardamomyoke/internal/experts/expertmap"
)

// Loop is a control loop, such as control.Loop. It runs posted functions one after the other.
type Loop interface {
	Post(f func(now time.Time))
}

// SlotOptions configures a Slot.
type SlotOptions struct {
	Group     ids.Group
	Config    expertmap.SlotConfig
	Engine    Engine
	Loop      Loop
	Transport Transport
	Logger    log.Logger
	// Poll is the interval of reports from the engine; 0 means DefaultPoll.
	Poll time.Duration
}

// DefaultPoll is the default interval of the engine's reports and of the state machines' ticks.
const DefaultPoll = 20 * time.Millisecond

// Slot runs an expertmap.Slot on the process's control loop.
type Slot struct {
	opts    SlotOptions
	rank    expertmap.Rank
	machine *expertmap.Slot
	worker  *engineWorker
	status  atomic.Pointer[expertmap.SlotStatus]
}

// NewSlot returns a slot that does nothing before Run.
func NewSlot(o SlotOptions) *Slot {
	if o.Poll == 0 {
		o.Poll = DefaultPoll
	}
	s := &Slot{opts: o, rank: o.Config.Rank, machine: expertmap.NewSlot(o.Config)}
	s.worker = newEngineWorker(o.Engine, o.Poll, func(r expertmap.EngineReport) {
		s.post(func(now time.Time) []expertmap.Effect { return s.machine.ReceiveReport(now, r) })
	})
	s.publish()
	return s
}

// Run polls the engine and ticks the slot until ctx is done.
func (s *Slot) Run(ctx context.Context) {
	go s.worker.run(ctx)
	tick(ctx, s.opts.Poll, func() { s.post(s.machine.Tick) })
}

func tick(ctx context.Context, period time.Duration, f func()) {
	ticker := time.NewTicker(period)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			f()
		}
	}
}

func (s *Slot) receive(from expertmap.Addr, m expertmap.Message) {
	s.post(func(now time.Time) []expertmap.Effect { return s.machine.Receive(now, from, m) })
}

func (s *Slot) post(f func(now time.Time) []expertmap.Effect) {
	s.opts.Loop.Post(func(now time.Time) {
		s.execute(f(now))
		s.publish()
	})
}

func (s *Slot) execute(effects []expertmap.Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case expertmap.Send:
			s.opts.Transport.Send(s.opts.Group, expertmap.Addr{Rank: s.rank}, e.To, e.Message)
		case expertmap.Order:
			s.worker.push(e)
		case expertmap.Alarm:
			level.Error(s.opts.Logger).Log("msg", "expert map alarm", "group", s.opts.Group, "rank", s.rank, "err", e.Err)
		}
	}
}

func (s *Slot) publish() {
	st := s.machine.Status()
	s.status.Store(&st)
}

// Status returns the slot's state. It is safe for concurrent use.
func (s *Slot) Status() expertmap.SlotStatus { return *s.status.Load() }
