package coldstart

import (
	"time"

	"github.com/cardamomyoke/cardamomyoke/internal/policy/ratelimit"
	"github.com/cardamomyoke/cardamomyoke/internal/state/platform"
)

const (
	// RowBytes is the size of one statement in a digest.
	RowBytes = 4 + 3 + 3
	// bytesPerSecond bounds what a gateway spends on spreading statements.
	bytesPerSecond = 1024
	// sendsOfNews is how often a new statement is included in a digest, so that lost datagrams keep it from no gateway.
	sendsOfNews = 3
	// samePeriod is the difference up to which two statements name the same end. Each gateway that passes a statement on
	// adds the time that it was on the way.
	samePeriod = 250 * time.Millisecond
	// expiry is how long the state of an upstream without statements is remembered: several times as long as a registry entry
	// that expired while the store was unavailable is missing.
	expiry = 10 * time.Minute
	// longestRest is how long an upstream that refuses connections gets no request at most: dispatch ejects it for 4 s. An
	// upstream that has not responded for longer is tried again by a gateway with a part.
	longestRest = 4 * time.Second
)

// Source is where a statement came from.
type Source string

const (
	// SourceEntry is the upstream's registry entry, SourceResponse one of its responses to this gateway, SourcePeer another
	// gateway.
	SourceEntry    Source = "entry"
	SourceResponse Source = "response"
	SourcePeer     Source = "peer"
	// SourceStarted is the first sight of an upstream that states nothing.
	SourceStarted Source = "started"
	// SourceUnreached is a refused connection of this gateway's own.
	SourceUnreached Source = "unreached"
)

// State is what is known about one incarnation of an upstream.
type State struct {
	// Until is the end of the cold period; an upstream whose Until has passed is warm.
	Until  time.Time
	Source Source
	// ReadAt is when this gateway read the statement.
	ReadAt time.Time
	// notBefore and notAfter bound when the upstream made the statement. notBefore is zero for registry entries, which do not
	// say when they were written.
	notBefore, notAfter time.Time
}

// Cold reports whether the upstream is cold.
func (s State) Cold(now time.Time) bool { return now.Before(s.Until) }

// olderThan reports whether s was certainly made before o.
func (s State) olderThan(o State) bool { return !o.notBefore.Before(s.notAfter) }

// Entry is what a registry entry says.
type Entry struct {
	// Position orders the entries of one incarnation.
	Position platform.Position
	// Remaining is how much longer the upstream was cold when it wrote the entry; valid only if Stated is set.
	Remaining time.Duration
	Stated    bool
}

type record struct {
	State
	position  platform.Position
	listed    bool
	touchedAt time.Time
	sendsLeft int
}

// Book holds the state of each incarnation of an upstream, by its hash. It is not safe for concurrent use.
type Book struct {
	records map[uint32]*record
	// unsent holds the upstreams whose statements have sends left, oldest first.
	unsent []uint32
	credit *ratelimit.Bucket
	// unreached holds when the last connection to an upstream that has not responded since was refused.
	unreached map[uint32]time.Time
}

// NewBook returns an empty book.
func NewBook(now time.Time) *Book {
	credit := ratelimit.NewBucket(bytesPerSecond/RowBytes, now)
	credit.SetBurst(bytesPerSecond / RowBytes)
	return &Book{records: map[uint32]*record{}, credit: credit, unreached: map[uint32]time.Time{}}
}

// Len returns the number of upstreams.
func (b *Book) Len() int { return len(b.records) }

// Get returns the state of an upstream.
func (b *Book) Get(upstream uint32) (State, bool) {
	r := b.records[upstream]
	if r == nil {
		return State{}, false
	}
	return r.State, true
}

// Entry records a registry entry of an upstream whose service has a cold period of the given length. An entry that was read
// before, or is older than one, is no statement.
func (b *Book) Entry(upstream uint32, e Entry, coldStart time.Duration, now time.Time) {
	r := b.touch(upstream, now)
	first := !r.listed
	if !first && !r.position.Before(e.Position) {
		return
	}
	r.position, r.listed = e.Position, true
	next := State{Source: SourceEntry, ReadAt: now, notAfter: now}
	switch {
	case e.Stated:
		next.Until = now.Add(e.Remaining)
	case first:
		next.Source, next.Until = SourceStarted, now.Add(coldStart)
	default:
		return
	}
	newer := r.Source == "" || r.Source == SourceEntry || r.Source == SourceStarted
	if newer || next.Until.After(r.Until) {
		r.State = next
	}
}

// Response records a response to a request that this gateway sent at the given time. remaining is how much longer the upstream
// stays cold.
func (b *Book) Response(upstream uint32, remaining time.Duration, sentAt, now time.Time) {
	if !sentAt.Before(b.unreached[upstream]) {
		delete(b.unreached, upstream)
	}
	next := State{Source: SourceResponse, Until: now.Add(remaining), ReadAt: now, notBefore: sentAt, notAfter: now}
	b.put(b.touch(upstream, now), upstream, next, now)
}

// Peer records a statement of a peer, which read the response age ago when it sent the digest. Only statements that an upstream
// is cold count: they end by themselves, while a late one that it is warm would end a cold period for good.
func (b *Book) Peer(upstream uint32, remaining, age time.Duration, now time.Time) {
	if remaining <= 0 {
		return
	}
	next := State{Source: SourcePeer, Until: now.Add(remaining), ReadAt: now, notAfter: now.Add(-age)}
	r := b.touch(upstream, now)
	if next.olderThan(r.State) || !next.Until.After(r.Until.Add(samePeriod)) {
		return
	}
	b.put(r, upstream, next, now)
}

// Unreached records that an upstream refused the connection of a request that was sent at the given time. It may have started
// again without a statement, so it counts as cold: until coldStart after the first response that follows, and without a
// response for no longer than coldStart and the longest ejection.
func (b *Book) Unreached(upstream uint32, coldStart time.Duration, sentAt, now time.Time) {
	r := b.touch(upstream, now)
	b.unreached[upstream] = now
	next := State{Source: SourceUnreached, Until: now.Add(coldStart + longestRest), ReadAt: now, notBefore: sentAt, notAfter: now}
	if next.Until.After(r.Until) {
		b.put(r, upstream, next, now)
	}
}

// Reached records a response that states nothing, to a request that was sent at the given time. Only the first one to a
// request that was sent after a refused connection changes anything: the upstream has started by now.
func (b *Book) Reached(upstream uint32, coldStart time.Duration, sentAt, now time.Time) {
	refusedAt, waits := b.unreached[upstream]
	if !waits || sentAt.Before(refusedAt) {
		return
	}
	delete(b.unreached, upstream)
	r := b.touch(upstream, now)
	next := State{Source: SourceUnreached, Until: now.Add(coldStart), ReadAt: now, notBefore: sentAt, notAfter: now}
	if r.Cold(now) && (r.Source == SourceUnreached || next.Until.After(r.Until)) {
		b.put(r, upstream, next, now)
	}
}

// Unresponsive returns the number of upstreams that have not responded since a connection to them was refused.
func (b *Book) Unresponsive() int { return len(b.unreached) }

// put replaces the state if it is older than the statement. If their order is not known, the one that says cold for longer
// counts.
func (b *Book) put(r *record, upstream uint32, next State, now time.Time) {
	before := r.State
	if !before.olderThan(next) && !next.Until.After(before.Until) {
		return
	}
	r.State = next
	if next.Cold(now) && next.Until.Sub(before.Until).Abs() > samePeriod {
		if r.sendsLeft == 0 {
			b.unsent = append(b.unsent, upstream)
		}
		r.sendsLeft = sendsOfNews
	}
}

func (b *Book) touch(upstream uint32, now time.Time) *record {
	r := b.records[upstream]
	if r == nil {
		r = &record{}
		b.records[upstream] = r
	}
	r.touchedAt = now
	return r
}

// Expire forgets upstreams without a statement for long.
func (b *Book) Expire(now time.Time) {
	for u, r := range b.records {
		if now.Sub(r.touchedAt) > expiry && !r.Cold(now) {
			delete(b.records, u)
			delete(b.unreached, u)
		}
	}
}

// News is a statement to include in a digest.
type News struct {
	Upstream uint32
	// Remaining is how much longer the upstream stays cold, Age how long ago the statement was made at least.
	Remaining, Age time.Duration
}

// TakeNews returns the statements to include in a digest to a number of targets, as far as the bytes suffice. The digests of
// entries are not needed: each gateway reads the entries itself.
func (b *Book) TakeNews(targets int, now time.Time) []News {
	var out []News
	for range len(b.unsent) {
		if targets == 0 || !b.pay(targets, now) {
			break
		}
		u := b.unsent[0]
		b.unsent = b.unsent[1:]
		r := b.records[u]
		switch {
		case r == nil:
			continue
		case !r.Cold(now):
			r.sendsLeft = 0
			continue
		}
		out = append(out, News{u, r.Until.Sub(now), now.Sub(r.notAfter)})
		if r.sendsLeft--; r.sendsLeft > 0 {
			b.unsent = append(b.unsent, u)
		}
	}
	return out
}

// pay takes the bytes of one statement to a number of targets; false if they do not suffice.
func (b *Book) pay(targets int, now time.Time) bool {
	if b.credit.Tokens(now) < float64(targets) {
		return false
	}
	for range targets {
		b.credit.Take(now)
	}
	return true
}
