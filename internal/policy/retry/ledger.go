package retry

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	cardamomyokev1 "github.com/cardamomyoke/cardamomyoke/internal/gen/cardamomyoke/v1"
)

// Ledger is what one gateway knows of the retries that all gateways of a service were granted. The gateways share one row, which
// a grant replaces on condition that it has not changed. A gateway that starts reads there what former ones were granted.
//
// Clocks of different gateways are never compared. A row has the ages of its grants, and a gateway counts on from there on its
// own clock; a grant therefore never seems older than it is. It is not safe for concurrent use.
type Ledger struct {
	grants map[uint64]grant
	// era is the era of the row, and eraSince when it began as far as known. Grants of the era before may be lost.
	era      uint64
	eraSince time.Time
}

type grant struct {
	retries int
	// since is when the grant was made, or later.
	since time.Time
}

// maxGrants bounds the grants of a row, of which a few per gateway and window are expected.
const maxGrants = 2048

// NewLedger returns a ledger that knows of no grants.
func NewLedger() *Ledger { return &Ledger{grants: map[uint64]grant{}} }

// RowError reports that a row of grants cannot be read.
type RowError struct{ Reason string }

// Error implements error.
func (e *RowError) Error() string { return "row of retry grants: " + e.Reason }

// DecodeGrants decodes a row; an empty value is that of a row that does not exist. Errors: *RowError, or an error of the decoder.
func DecodeGrants(value []byte) (*cardamomyokev1.RetryGrants, error) {
	row := &cardamomyokev1.RetryGrants{}
	if err := proto.Unmarshal(value, row); err != nil {
		return nil, fmt.Errorf("decode retry grants: %w", err)
	}
	if n := len(row.GetIds()); n != len(row.GetRetries()) || n != len(row.GetAgeMs()) || n > maxGrants {
		return nil, &RowError{"columns of different length, or too many grants"}
	}
	return row, nil
}

// Merge adds what a row says that was read in an era of the store. eraAge is how long ago the era was first noticed, as far as
// this gateway knows from elsewhere.
func (l *Ledger) Merge(row *cardamomyokev1.RetryGrants, era uint64, eraAge time.Duration, now time.Time) {
	since := now.Add(-eraAge)
	if row.GetEra() == era {
		since = earlier(since, now.Add(-milliseconds(row.GetEraAgeMs())))
	}
	if era == l.era && !l.eraSince.IsZero() {
		since = earlier(since, l.eraSince)
	}
	l.era, l.eraSince = era, since
	for i, id := range row.GetIds() {
		at := now.Add(-milliseconds(row.GetAgeMs()[i]))
		if known, ok := l.grants[id]; ok {
			at = earlier(at, known.since)
		}
		l.grants[id] = grant{int(row.GetRetries()[i]), at}
	}
}

// Proposal is a grant, and the row that makes it once it is written.
type Proposal struct {
	ID      uint64
	Retries int
	Row     *cardamomyokev1.RetryGrants
}

// Propose returns a grant of up to wanted retries under a limit on all grants that count. It has no retries if too few are left,
// or if the store came back older so lately that grants may be unknown.
func (l *Ledger) Propose(wanted int, limit float64, b Bound, now time.Time) Proposal {
	left := int(limit) - l.Granted(b, now)
	p := Proposal{ID: rand.Uint64(), Retries: min(wanted, left)}
	if left < leastGrant(limit) || l.closed(b, now) || len(l.grants) >= maxGrants {
		p.Retries = 0
	}
	p.Row = &cardamomyokev1.RetryGrants{Era: l.era, EraAgeMs: ageMs(l.eraSince, now)}
	for id, g := range l.grants {
		appendGrant(p.Row, id, g.retries, ageMs(g.since, now))
	}
	if p.Retries > 0 {
		appendGrant(p.Row, p.ID, p.Retries, 0)
	}
	return p
}

// Accepted records that the row of a proposal was written.
func (l *Ledger) Accepted(p Proposal, now time.Time) {
	if p.Retries > 0 {
		l.grants[p.ID] = grant{p.Retries, now}
	}
}

// Granted returns how many retries were granted that count now, and forgets those that no longer do.
func (l *Ledger) Granted(b Bound, now time.Time) int {
	sum := 0
	for id, g := range l.grants {
		if now.Sub(g.since) > b.remember() {
			delete(l.grants, id)
			continue
		}
		sum += g.retries
	}
	return sum
}

// NextAt returns when enough grants will have ceased to count for another one under the limit; zero if that never happens.
func (l *Ledger) NextAt(limit float64, b Bound, now time.Time) time.Time {
	used := l.Granted(b, now)
	grants := slices.SortedFunc(maps.Values(l.grants), func(x, y grant) int { return x.since.Compare(y.since) })
	for _, g := range grants {
		used -= g.retries
		if int(limit)-used >= leastGrant(limit) {
			return g.since.Add(b.remember())
		}
	}
	return time.Time{}
}

func leastGrant(limit float64) int { return max(1, min(minGrant, int(limit))) }

// closed reports whether grants may be unknown, because the store came back older after they were written. Era 0 is that of a
// store that never did.
func (l *Ledger) closed(b Bound, now time.Time) bool {
	return l.era > 0 && now.Sub(l.eraSince) <= b.remember()
}

// GrantLimit returns the limit on all grants that count. first is the number of requests that gateways got in the last window,
// as far as is known; extra reports whether the bound's extra retries may be granted.
func GrantLimit(b Bound, first int, extra bool) float64 {
	limit := grantedShare * b.Ratio * float64(first)
	if extra {
		limit += extraShare * b.Extra
	}
	return limit
}

// maxReportDivisor sets, as a fraction of Bound.Length, the age from which a report of requests does not count.
const maxReportDivisor = 4

// Reported returns how many of the requests of a gateway's last window to count, as reported some time ago: requests leave the
// window as time passes, and others may get those that follow.
func Reported(first int, age time.Duration, b Bound) int {
	if age < 0 || age > b.Length/maxReportDivisor {
		return 0
	}
	return int(float64(first) * float64(b.Length-age) / float64(b.Length))
}

func appendGrant(row *cardamomyokev1.RetryGrants, id uint64, retries int, age uint32) {
	row.Ids = append(row.Ids, id)
	row.Retries = append(row.Retries, uint32(retries))
	row.AgeMs = append(row.AgeMs, age)
}

func ageMs(since, now time.Time) uint32 { return uint32(max(0, now.Sub(since).Milliseconds())) }

func milliseconds(n uint32) time.Duration { return time.Duration(n) * time.Millisecond }

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
