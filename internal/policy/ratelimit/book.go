package ratelimit

import (
	"math"
	"slices"
	"time"
)

const (
	// RowBytes is the size of one statement in a digest.
	RowBytes = 4 + 4 + 3
	// bytesPerSecond bounds what a gateway spends on spreading statements; more of them wait for their turn.
	bytesPerSecond = 1024
	// sendsOfNews is how often a new statement is included in a digest, so that lost datagrams keep it from no gateway.
	sendsOfNews = 3
	// confirmInterval is how often a statement that holds is spread again, by whichever gateway first sees that it does.
	confirmInterval = time.Minute
	// expiry is the time after which a statement that no gateway has confirmed is forgotten.
	expiry = 5 * time.Minute
	// maxStatements bounds the statements that are held: several times the upstreams of a large deployment.
	maxStatements = 4096
	// endMargin is how much later than a limit a peer must have seen its end. Ages of statements are those at their
	// sending, so the time on the way makes them look newer by as much.
	endMargin = 250 * time.Millisecond
)

// NoLimit is the PerSecond of a statement that the upstream has no limit any more.
const NoLimit = -1

// Statement is what an upstream stated about its limit.
type Statement struct {
	// Upstream is the hash of the upstream's incarnation.
	Upstream uint32
	// PerSecond is the limit in requests per second from all gateways together, or NoLimit.
	PerSecond float64
	// At is when a gateway read the response.
	At time.Time
}

// Limited reports whether the statement names a limit.
func (s Statement) Limited() bool { return s.PerSecond >= 0 }

type entry struct {
	Statement
	// spreadAt is when the statement was last news here, sendsLeft how many more digests include it.
	spreadAt  time.Time
	sendsLeft int
}

// Book holds the newest statement about each upstream. It is not safe for concurrent use.
type Book struct {
	entries map[uint32]*entry
	// unsent holds the upstreams whose statements have sends left, oldest news first.
	unsent   []uint32
	credit   float64
	creditAt time.Time
}

// NewBook returns a book without statements.
func NewBook() *Book { return &Book{entries: map[uint32]*entry{}} }

// Len returns the number of statements.
func (b *Book) Len() int { return len(b.entries) }

// Get returns the newest statement about an upstream.
func (b *Book) Get(upstream uint32) (Statement, bool) {
	e := b.entries[upstream]
	if e == nil {
		return Statement{}, false
	}
	return e.Statement, true
}

// Limit returns the limit in force; false if there is none.
func (b *Book) Limit(upstream uint32) (perSecond float64, ok bool) {
	s, known := b.Get(upstream)
	return s.PerSecond, known && s.Limited()
}

// Observe records a response of an upstream to this gateway's request that was sent at the given time. It reports
// whether the limit changed.
//
// Responses on different connections may overtake each other, so a response ends a limit only if its request was sent
// after the limit was known. A response that names a limit always counts.
func (b *Book) Observe(s Statement, sentAt time.Time) (changed bool) {
	e := b.entries[s.Upstream]
	if !s.Limited() && (e == nil || !e.Limited() || !sentAt.After(e.At)) {
		return false
	}
	return b.put(s)
}

// Merge records statements that a peer has sent. It reports whether a limit changed.
func (b *Book) Merge(list []Statement, now time.Time) (changed bool) {
	for _, s := range list {
		if math.IsNaN(s.PerSecond) || now.Sub(s.At) > expiry {
			continue
		}
		e := b.entries[s.Upstream]
		if e != nil && !s.At.After(e.At) {
			continue
		}
		if e != nil && e.Limited() && !s.Limited() && s.At.Sub(e.At) < endMargin {
			continue
		}
		changed = b.put(s) || changed
	}
	return changed
}

// put stores a statement that is newer than the one before it, and makes it news if it differs or if the last news is
// confirmInterval old.
func (b *Book) put(s Statement) (changed bool) {
	e := b.entries[s.Upstream]
	switch {
	case e == nil:
		b.makeRoom()
		e = &entry{}
		b.entries[s.Upstream] = e
		changed = true
	case e.PerSecond != s.PerSecond:
		changed = true
	}
	e.Statement = s
	if changed || s.Limited() && s.At.Sub(e.spreadAt) >= confirmInterval {
		b.spread(e)
	}
	return changed
}

func (b *Book) spread(e *entry) {
	if e.sendsLeft == 0 {
		b.unsent = append(b.unsent, e.Upstream)
	}
	e.sendsLeft = sendsOfNews
	e.spreadAt = e.At
}

// makeRoom forgets the oldest statement if the book is full.
func (b *Book) makeRoom() {
	if len(b.entries) < maxStatements {
		return
	}
	var oldest *entry
	for _, e := range b.entries {
		if oldest == nil || e.At.Before(oldest.At) {
			oldest = e
		}
	}
	delete(b.entries, oldest.Upstream)
}

// Expire forgets statements that nobody has confirmed for long, and reports whether it forgot a limit.
func (b *Book) Expire(now time.Time) (changed bool) {
	for u, e := range b.entries {
		if now.Sub(e.At) > expiry {
			changed = changed || e.Limited()
			delete(b.entries, u)
		}
	}
	return changed
}

// News returns the statements to include in a digest to a number of targets, as far as the bytes suffice.
func (b *Book) News(targets int, now time.Time) []Statement {
	b.earn(now)
	cost := float64(RowBytes * targets)
	var out []Statement
	for range len(b.unsent) {
		if targets == 0 || b.credit < cost {
			break
		}
		u := b.unsent[0]
		b.unsent = b.unsent[1:]
		e := b.entries[u]
		if e == nil {
			continue
		}
		b.credit -= cost
		out = append(out, e.Statement)
		if e.sendsLeft--; e.sendsLeft > 0 {
			b.unsent = append(b.unsent, u)
		}
	}
	return out
}

func (b *Book) earn(now time.Time) {
	if b.creditAt.IsZero() {
		b.credit = bytesPerSecond
	} else {
		b.credit = min(bytesPerSecond, b.credit+now.Sub(b.creditAt).Seconds()*bytesPerSecond)
	}
	b.creditAt = now
}

// Newest returns the newest statements that name a limit, at most n of them, for a gateway that has just started.
func (b *Book) Newest(n int) []Statement {
	var out []Statement
	for _, e := range b.entries {
		if e.Limited() {
			out = append(out, e.Statement)
		}
	}
	slices.SortFunc(out, func(x, y Statement) int { return y.At.Compare(x.At) })
	return out[:min(n, len(out))]
}
