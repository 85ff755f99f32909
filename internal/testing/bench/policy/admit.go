package policy

import (
	"time"

	"github.com/cardamomyoke/cardamomyoke/internal/base/failure"
	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
	"github.com/cardamomyoke/cardamomyoke/internal/policy/admission"
)

// The ways of admission of the tables.
const (
	admitNone  = "none"
	admitLimit = "per-entry-limit"
	admitFair  = "fair-queue"
)

const queueLimit = 2000

// admitter stands before the attempts of an entry.
type admitter interface {
	submit(req *request, now time.Time)
	done(req *request, now time.Time)
	tick(now time.Time)
}

func newAdmitter(s setup, e *entry) admitter {
	switch s.admit {
	case admitNone:
		return &openDoor{entry: e}
	case admitLimit:
		return &fixedLimit{entry: e, places: places}
	default:
		return newFairQueue(e)
	}
}

// places is an even part of all places for each entry.
const places = runners * batchPlaces / entries

// openDoor admits everything.
type openDoor struct{ entry *entry }

func (d *openDoor) submit(req *request, _ time.Time) { d.entry.start(req.id, nil) }
func (d *openDoor) done(*request, time.Time)         {}
func (d *openDoor) tick(time.Time)                   {}

// fixedLimit is the usual limit of each entry: so many requests at once, the rest waits in one queue, in order.
type fixedLimit struct {
	entry   *entry
	places  int
	started int
	queue   []uint64
}

func (l *fixedLimit) submit(req *request, _ time.Time) {
	if len(l.queue) >= queueLimit {
		l.entry.start(req.id, failure.New(failure.CodeOverloaded, nil))
		return
	}
	l.queue = append(l.queue, req.id)
	l.next()
}

func (l *fixedLimit) done(*request, time.Time) {
	l.started--
	l.next()
}

func (l *fixedLimit) next() {
	for l.started < l.places && len(l.queue) > 0 {
		id := l.queue[0]
		l.queue = l.queue[1:]
		l.started++
		l.entry.start(id, nil)
	}
}

func (l *fixedLimit) tick(now time.Time) {
	for len(l.queue) > 0 && l.entry.deadline(l.entry.waiting[l.queue[0]]).Before(now) {
		id := l.queue[0]
		l.queue = l.queue[1:]
		l.entry.start(id, failure.New(failure.CodeDeadlinePassed, nil))
	}
}

// fairQueue is admission as the entry process uses it.
type fairQueue struct {
	entry *entry
	queue *admission.Queue
	run   admission.RunTime
}

// promptWeight is the work of a prompt token, in tokens of output.
const promptWeight = 0.1

func workOf(output int) float64 { return promptWeight*promptTokens + float64(output) }

func newFairQueue(e *entry) *fairQueue {
	classes := []admission.Class{{Name: classFirst, Rank: 0, QueueLimit: queueLimit}, {Name: classSecond, Rank: 1, QueueLimit: queueLimit}}
	share := func(c ids.Client) float64 { return max(minWeight, e.usage.LocalShare(c, e.world.clock.now)) }
	opts := admission.Options{Classes: classes, Reserve: admission.DefaultReserve, MaxWait: admission.DefaultMaxWait, Share: share}

	return &fairQueue{entry: e, queue: admission.NewQueue(opts, admission.Capacity{Concurrency: places, TokensPerSecond: expectedRate})}
}

const (
	// expectedRate stands in until the queue has measured its own, in tokens a second.
	expectedRate = 10_000
	// minWeight keeps the weight of a client above 0 where next to none of its demand was seen.
	minWeight = 0.01
)

func (f *fairQueue) submit(req *request, now time.Time) {
	f.settle(f.queue.Submit(admission.Request{
		ID: req.id, Client: req.client, Class: req.class, Tokens: workOf(outputMean),
		Run: f.run.Estimate(), Deadline: f.entry.deadline(req),
	}, now))
}

func (f *fairQueue) done(req *request, now time.Time) {
	f.run.Observe(now.Sub(req.startedAt))
	f.settle(f.queue.Done(req.id, workOf(req.stream.Delivered()), now))
}

func (f *fairQueue) tick(now time.Time) {
	even := func(ids.Client) float64 { return 1 }
	quota := f.entry.usage.Quota(entries*expectedRate, even, now)
	f.queue.SetCapacity(admission.Capacity{
		Concurrency:     int(quota * float64(f.entry.places())),
		TokensPerSecond: expectedRate,
	})
	f.settle(f.queue.Tick(now))
}

func (f *fairQueue) settle(outcomes []admission.Outcome) {
	for _, o := range outcomes {
		f.entry.start(o.Request.ID, o.Err)
	}
}
