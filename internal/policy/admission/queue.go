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
	// Priority orders the classes; 0 is served first.
	Priority int
	// QueueLimit is the maximum number of waiting requests.
	QueueLimit int
}

// Capacity is the share of a pool of upstreams that an entry may use.
type Capacity struct {
	// Concurrency is the maximum number of started requests that are not done.
	Concurrency int
	// TokensPerSecond is the expected throughput of the pool for this entry. It is used until the queue has measured
	// its own rate.
	TokensPerSecond float64
}

// Options configures a Queue.
type Options struct {
	Classes []Class
	// Reserve is the fraction of the concurrency that only the first class may use. It applies only while requests of
	// that class arrive, so that a pool that serves other classes only can use its full capacity.
	Reserve float64
	// RateWindow is the time over which the rate of started work is measured.
	RateWindow time.Duration
	// MaxWait is the maximum expected wait of a queued request; 0 means that only its deadline counts. A queue absorbs
	// bursts. Under lasting overload a longer queue serves no more requests; each of them just waits longer.
	MaxWait time.Duration
	// Share returns a client's share at this entry, above 0; nil means 1 for every client. Clients are served in
	// proportion to their shares.
	Share func(ids.Client) float64
}

// DefaultReserve reserves three tenths of the concurrency for the first class. It costs up to an eighth of the goodput
// under overload and keeps the first class's time to the first token close to that without overload;
// docs/measurements.md has the figures.
const DefaultReserve = 0.3

// DefaultMaxWait lets the queue absorb bursts of half a second. A request that waits longer gets its first token too
// late to be of use: the target is 1.1 seconds, and the rest of it is needed for the prefill and for the steps of a
// busy batch.
const DefaultMaxWait = 500 * time.Millisecond

// DefaultRateWindow is long enough to even out single long requests.
const DefaultRateWindow = 2 * time.Second

// Request is the input of an admission decision.
type Request struct {
	// ID is unique within the incarnation of the entry.
	ID     uint64
	Client ids.Client
	Class  string
	// Tokens is the estimated work: prompt and output tokens.
	Tokens float64
	// Run is the expected time from the start of the request to the end of its response.
	Run      time.Duration
	Deadline time.Time
}

// Outcome is the decision on a request.
type Outcome struct {
	Request Request
	// Err is nil if the request may start now, else a *failure.Error with a "not run" code.
	Err error
}

type item struct {
	req       Request
	submitted time.Time
}

// Queue admits the requests of one entry to one pool of upstreams. It is not safe for concurrent use.
type Queue struct {
	opts     Options
	capacity Capacity
	classes  []*classQueue
	started  map[uint64]startedItem
	rate     rateMeter
	// lastFirstClassArrival is when the last request of the first class arrived.
	lastFirstClassArrival time.Time
	// busySince is the start of the current period with waiting requests; zero if none waits.
	busySince time.Time
}

type startedItem struct {
	req   Request
	class *classQueue
}

// NewQueue returns an empty queue. Classes are served by Priority.
func NewQueue(opts Options, capacity Capacity) *Queue {
	if opts.RateWindow <= 0 {
		opts.RateWindow = DefaultRateWindow
	}
	q := &Queue{opts: opts, capacity: capacity, started: make(map[uint64]startedItem)}
	q.rate.window = opts.RateWindow
	sorted := slices.SortedFunc(slices.Values(opts.Classes), func(a, b Class) int { return cmp.Compare(a.Priority, b.Priority) })
	for _, c := range sorted {
		q.classes = append(q.classes, newClassQueue(c, opts.RateWindow))
	}
	return q
}

// SetCapacity changes the capacity, for example when upstreams drain or other entries need more.
func (q *Queue) SetCapacity(c Capacity) { q.capacity = c }

// Waiting returns the number of waiting requests.
func (q *Queue) Waiting() int {
	n := 0
	for _, c := range q.classes {
		n += c.waiting
	}
	return n
}

// Started returns the number of started requests that are not done.
func (q *Queue) Started() int { return len(q.started) }

// Submit adds a request. It returns the outcomes that are decided immediately: the request's own if it may start or is
// refused, that of a request it displaces from a full queue, and none if it just waits.
func (q *Queue) Submit(req Request, now time.Time) []Outcome {
	c := q.class(req.Class)
	if c == nil {
		return []Outcome{{req, failure.New(failure.CodeInternal, &ClassError{req.Class})}}
	}
	if c == q.classes[0] {
		q.lastFirstClassArrival = now
	}
	it := &item{req: req, submitted: now}
	if err := q.refusal(c, it, now); err != nil {
		return []Outcome{{req, err}}
	}
	c.push(it, q.share(req.Client))
	outcomes := q.start(now)
	if c.waiting > c.class.QueueLimit {
		outcomes = append(outcomes, q.displace(c, now))
	}
	q.markBusy(now)
	return outcomes
}

// displace refuses the newest request of the client with the most waiting work relative to its share. If the arriving
// request were refused instead, a single flooding client could fill the queue and lock out all others.
func (q *Queue) displace(c *classQueue, now time.Time) Outcome {
	f := c.longest()
	it := f.items[len(f.items)-1]
	c.remove(it.req.ID)
	wait := q.wait(q.schedule(c, now), f, f.backlog, now)
	return Outcome{it.req, failure.New(failure.CodeOverloaded, nil).WithRetryAfter(atLeastSecond(wait))}
}

// Done frees the capacity of a started request. used is the work that it really took, in tokens; the client is charged
// for the difference from the estimate.
func (q *Queue) Done(id uint64, used float64, now time.Time) []Outcome {
	s, ok := q.started[id]
	if !ok {
		return nil
	}
	delete(q.started, id)
	s.class.adjust(s.req.Client, used-s.req.Tokens, q.share(s.req.Client))
	return q.start(now)
}

// Cancel removes a waiting request whose caller has disconnected. It reports whether the request was waiting.
func (q *Queue) Cancel(id uint64) bool {
	for _, c := range q.classes {
		if c.remove(id) {
			return true
		}
	}
	return false
}

// Tick starts the requests that can be started and refuses those that can no longer be done in time.
func (q *Queue) Tick(now time.Time) []Outcome {
	outcomes := q.start(now)
	for _, c := range q.classes {
		outcomes = append(outcomes, q.refuseLate(c, now)...)
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

// minShare is the share of a client that has none, for example because its account was just removed.
const minShare = 0.001

// reserveFor is how long the reserve is kept after the last request of the first class.
const reserveFor = 30 * time.Second

// start starts waiting requests, those of the first class first, while there is capacity for them.
func (q *Queue) start(now time.Time) []Outcome {
	var outcomes []Outcome
	for i, c := range q.classes {
		for c.waiting > 0 && len(q.started) < q.concurrency(i, now) {
			it := c.pop(now)
			q.started[it.req.ID] = startedItem{it.req, c}
			q.rate.add(it.req.Tokens, now)
			outcomes = append(outcomes, Outcome{Request: it.req})
		}
	}
	return outcomes
}

// concurrency returns the number of started requests up to which a class may start more. All classes but the first
// leave the reserve free. If they used the complete pool, a request of the first class would wait until some response
// ends, however high its priority.
func (q *Queue) concurrency(index int, now time.Time) int {
	if index == 0 || q.lastFirstClassArrival.IsZero() || now.Sub(q.lastFirstClassArrival) > reserveFor {
		return q.capacity.Concurrency
	}
	return q.capacity.Concurrency - int(q.opts.Reserve*float64(q.capacity.Concurrency))
}

// ClassError reports that a request names a class that is not configured.
type ClassError struct{ Class string }

// Error implements error.
func (e *ClassError) Error() string { return "priority class " + e.Class + " is not configured" }
