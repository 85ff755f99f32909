package admission

import (
	"cmp"
	"slices"
	"time"

	"github.com/cardamomyoke/cardamomyoke/internal/base/failure"
	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
)

// Class is a priority class of the configuration.
type Class struct {
	Name string
	// Rank 0 goes first.
	Rank int
	// QueueLimit is the most requests that may wait.
	QueueLimit int
}

// Capacity is what an entry may use of a pool of upstreams.
type Capacity struct {
	// Places is how many requests the entry may have started at once.
	Places int
	// TokensPerSecond is the work that the pool is expected to do for this entry; it is used until the queue has
	// measured its own rate.
	TokensPerSecond float64
}

// Options are the settings of a Queue.
type Options struct {
	Classes []Class
	// Reserve is the fraction of the places that only the first class may use. It is kept while that class is asked
	// for at all; a pool that serves other classes only has the use of all its places.
	Reserve float64
	// RateWindow is the time over which the rate of started work is measured.
	RateWindow time.Duration
	// MaxWait is the longest expected wait that a request is queued for; 0 means until its deadline. A queue takes up
	// bursts; under lasting overload a longer one serves no more requests, it only makes each of them wait.
	MaxWait time.Duration
	// Share returns a client's weight at this entry, above 0; nil means 1 for all.
	Share func(ids.Client) float64
}

// DefaultReserve leaves three places in ten to the first class. It costs up to an eighth of the goodput under overload
// and keeps the first class's time to the first token near what it is without; docs/measurements.md has the figures.
const DefaultReserve = 0.3

// DefaultMaxWait takes up bursts of half a second. What waits for longer gets its first token too late to be of use:
// the aim is 1.1 seconds, of which a prompt and the way through a busy batch take the rest.
const DefaultMaxWait = 500 * time.Millisecond

// DefaultRateWindow is long enough to even out single long requests.
const DefaultRateWindow = 2 * time.Second

// Request is what admission must know about a request.
type Request struct {
	// ID is unique within the entry's life.
	ID     uint64
	Client ids.Client
	Class  string
	// Tokens is the estimated work, prompt and output together.
	Tokens float64
	// Run is the expected time from the start to what the deadline is about.
	Run      time.Duration
	Deadline time.Time
}

// Outcome is what became of a request.
type Outcome struct {
	Request Request
	// Err is nil if the request may start now, else *failure.Error of a "not run" code.
	Err error
}

type item struct {
	req       Request
	submitted time.Time
}

// Queue admits the requests of one entry to one pool of upstreams. It belongs to one goroutine.
type Queue struct {
	opts     Options
	capacity Capacity
	classes  []*classQueue
	started  map[uint64]startedItem
	rate     rateMeter
	// firstAt is when the first class was last asked for.
	firstAt time.Time
	// busySince is when requests last began to wait without a pause; zero if none waits.
	busySince time.Time
}

type startedItem struct {
	req   Request
	class *classQueue
}

// NewQueue returns an empty queue. Classes are served by rank.
func NewQueue(opts Options, capacity Capacity) *Queue {
	if opts.RateWindow <= 0 {
		opts.RateWindow = DefaultRateWindow
	}
	q := &Queue{opts: opts, capacity: capacity, started: make(map[uint64]startedItem)}
	q.rate.window = opts.RateWindow
	sorted := slices.SortedFunc(slices.Values(opts.Classes), func(a, b Class) int { return cmp.Compare(a.Rank, b.Rank) })
	for _, c := range sorted {
		q.classes = append(q.classes, newClassQueue(c, opts.RateWindow))
	}
	return q
}

// SetCapacity changes the capacity, for example when upstreams leave or other entries need more.
func (q *Queue) SetCapacity(c Capacity) { q.capacity = c }

// Waiting returns how many requests wait.
func (q *Queue) Waiting() int {
	n := 0
	for _, c := range q.classes {
		n += c.waiting
	}
	return n
}

// Started returns how many requests were started and are not done.
func (q *Queue) Started() int { return len(q.started) }

// Submit takes in a request. It returns the outcomes that follow at once: the request's own, if it may start or is
// refused, and none if it waits.
func (q *Queue) Submit(req Request, now time.Time) []Outcome {
	c := q.class(req.Class)
	if c == nil {
		return []Outcome{{req, failure.New(failure.CodeInternal, &ClassError{req.Class})}}
	}
	if c == q.classes[0] {
		q.firstAt = now
	}
	it := &item{req: req, submitted: now}
	if err := q.refusal(c, it, now); err != nil {
		return []Outcome{{req, err}}
	}
	c.push(it, q.share(req.Client))
	outcomes := q.start(now)
	if c.waiting > c.class.QueueLimit {
		outcomes = append(outcomes, q.crowdOut(c, now))
	}
	q.markBusy(now)
	return outcomes
}

// crowdOut refuses the newest request of the client that has most waiting for its share. Were the newcomer refused
// instead, one client that floods would fill the queue and keep all others out of it.
func (q *Queue) crowdOut(c *classQueue, now time.Time) Outcome {
	f := c.longest()
	it := f.items[len(f.items)-1]
	c.remove(it.req.ID)
	wait := q.wait(q.schedule(c, now), f, f.backlog, now)
	return Outcome{it.req, failure.New(failure.CodeOverloaded, nil).WithRetryAfter(atLeastSecond(wait))}
}

// Done frees the place of a request that was started. used is the work that it really took, in tokens; what was
// estimated wrongly is settled with the client's share.
func (q *Queue) Done(id uint64, used float64, now time.Time) []Outcome {
	s, ok := q.started[id]
	if !ok {
		return nil
	}
	delete(q.started, id)
	s.class.adjust(s.req.Client, used-s.req.Tokens, q.share(s.req.Client))
	return q.start(now)
}

// Cancel takes back a request whose caller went away; it reports whether the request was waiting.
func (q *Queue) Cancel(id uint64) bool {
	for _, c := range q.classes {
		if c.remove(id) {
			return true
		}
	}
	return false
}

// Tick starts what can be started and refuses whatever can no longer be done in time.
func (q *Queue) Tick(now time.Time) []Outcome {
	outcomes := q.start(now)
	for _, c := range q.classes {
		outcomes = append(outcomes, q.sweep(c, now)...)
		c.forget(now)
	}
	q.markBusy(now)
	return outcomes
}

func (q *Queue) markBusy(now time.Time) {
	switch {
	case q.Waiting() == 0:
		q.busySince = time.Time{}
	case q.busySince.IsZero():
		q.busySince = now
	}
}

func (q *Queue) class(name string) *classQueue {
	for _, c := range q.classes {
		if c.class.Name == name {
			return c
		}
	}
	return nil
}

func (q *Queue) share(client ids.Client) float64 {
	if q.opts.Share == nil {
		return 1
	}
	return max(minShare, q.opts.Share(client))
}

// minShare is the weight of a client that has none, for example because its account was just removed.
const minShare = 0.001

// reserveFor is how long places are kept free after the first class was last asked for.
const reserveFor = 30 * time.Second

// start takes requests out of the queue, best class first, as long as there is a place for them.
func (q *Queue) start(now time.Time) []Outcome {
	var outcomes []Outcome
	for i, c := range q.classes {
		for c.waiting > 0 && len(q.started) < q.places(i, now) {
			it := c.pop(now)
			q.started[it.req.ID] = startedItem{it.req, c}
			q.rate.add(it.req.Tokens, now)
			outcomes = append(outcomes, Outcome{Request: it.req})
		}
	}
	return outcomes
}

// places is how many places a class may fill. All but the first leave the reserve free: if they filled the pool, a
// request of the first class would wait for a whole answer to end, however high its priority.
func (q *Queue) places(index int, now time.Time) int {
	if index == 0 || q.firstAt.IsZero() || now.Sub(q.firstAt) > reserveFor {
		return q.capacity.Places
	}
	return q.capacity.Places - int(q.opts.Reserve*float64(q.capacity.Places))
}

// ClassError says that a request names a class that is not configured.
type ClassError struct{ Class string }

// Error implements error.
func (e *ClassError) Error() string { return "priority class " + e.Class + " is not configured" }
