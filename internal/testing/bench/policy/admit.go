package policy

import (
	"time"

	"github.com/cardamomyoke/cardamomyoke/internal/base/failure"
	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
	"github.com/cardamomyoke/cardamomyoke/internal/policy/admission"
)

// The admission variants that the tables compare.
const (
	admitNone  = "none"
	admitLimit = "per-entry-limit"
	admitFair  = "fair-queue"
)

// queueLimit bounds the waiting requests of a fixedLimit, and of each class of a fairQueue.
const queueLimit = 2000

// admitter decides when an entry starts a request.
type admitter interface {
	submit(req *request, now time.Time)
	done(req *request, now time.Time)
	tick(now time.Time)
}

func newAdmitter(s setup, e *entry) admitter {
	switch s.admit {
	case admitNone:
		return &noAdmission{entry: e}
	case admitLimit:
		return &fixedLimit{entry: e, limit: entryLimit}
	default:
		return newFairQueue(e)
	}
}

// entryLimit is each entry's equal share of the batch slots of all runners.
const entryLimit = runners * batchSize / entries

// noAdmission starts every request immediately.
type noAdmission struct{ entry *entry }

func (d *noAdmission) submit(req *request, _ time.Time) { d.entry.start(req.id, nil) }
func (d *noAdmission) done(*request, time.Time)         {}
func (d *noAdmission) tick(time.Time)                   {}

// fixedLimit is the common baseline: each entry runs a fixed number of requests concurrently and queues the others in
// FIFO order.
type fixedLimit struct {
	entry    *entry
	limit    int
	inFlight int
	queue    []uint64
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
	l.inFlight--
	l.next()
}

func (l *fixedLimit) next() {
	for l.inFlight < l.limit && len(l.queue) > 0 {
		id := l.queue[0]
		l.queue = l.queue[1:]
		l.inFlight++
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

// fairQueue wraps admission.Queue, the admission of the entry process.
type fairQueue struct {
	entry   *entry
	queue   *admission.Queue
	runTime admission.RunTime
}

// promptWeight is the cost of a prompt token relative to an output token.
const promptWeight = 0.1

// workTokens returns the cost of a request with the given number of output tokens, in output tokens.
func workTokens(output int) float64 { return promptWeight*promptTokens + float64(output) }

func newFairQueue(e *entry) *fairQueue {
	classes := []admission.Class{{Name: classFirst, Priority: 0, QueueLimit: queueLimit}, {Name: classSecond, Priority: 1, QueueLimit: queueLimit}}
	share := func(c ids.Client) float64 { return max(minClientShare, e.usage.LocalShare(c, e.world.clock.now)) }
	opts := admission.Options{Classes: classes, Reserve: admission.DefaultReserve, MaxWait: admission.DefaultMaxWait, Share: share}

	return &fairQueue{entry: e, queue: admission.NewQueue(opts, admission.Capacity{Concurrency: entryLimit, TokensPerSecond: expectedTokenRate})}
}

const (
	// expectedTokenRate is the assumed throughput in tokens per second. The queue uses it until it has measured its own.
	expectedTokenRate = 10_000
	// minClientShare keeps the weight of a client above 0 when this entry has seen almost none of its demand.
	minClientShare = 0.01
)

func (f *fairQueue) submit(req *request, now time.Time) {
	f.handleOutcomes(f.queue.Submit(admission.Request{
		ID: req.id, Client: req.client, Class: req.class, Tokens: workTokens(outputMean),
		Run: f.runTime.Estimate(), Deadline: f.entry.deadline(req),
	}, now))
}

func (f *fairQueue) done(req *request, now time.Time) {
	f.runTime.Observe(now.Sub(req.startedAt))
	f.handleOutcomes(f.queue.Done(req.id, workTokens(req.stream.Delivered()), now))
}

func (f *fairQueue) tick(now time.Time) {
	even := func(ids.Client) float64 { return 1 }
	quota := f.entry.usage.Quota(entries*expectedTokenRate, even, now)
	f.queue.SetCapacity(admission.Capacity{
		Concurrency:     int(quota * float64(f.entry.maxInFlight())),
		TokensPerSecond: expectedTokenRate,
	})
	f.handleOutcomes(f.queue.Tick(now))
}

func (f *fairQueue) handleOutcomes(outcomes []admission.Outcome) {
	for _, o := range outcomes {
		f.entry.start(o.Request.ID, o.Err)
	}
}
