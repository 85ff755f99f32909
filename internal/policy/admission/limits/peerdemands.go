package limits

import (
	"time"

	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
)

// report is the demand that one entry last reported for one client, and the time at which it arrived.
type report struct {
	demand Usage
	at     time.Time
}

// peerDemands holds the demand that other entries reported.
type peerDemands struct {
	opts       Options
	lastReport map[ids.Node]time.Time
	demand     map[ids.Client]map[ids.Node]report
}

func newPeerDemands(opts Options) peerDemands {
	return peerDemands{opts: opts, lastReport: make(map[ids.Node]time.Time), demand: make(map[ids.Client]map[ids.Node]report)}
}

func (p *peerDemands) record(from ids.Node, records []Record, now time.Time) {
	p.lastReport[from] = now
	for _, r := range records {
		byEntry := p.demand[r.Client]
		if byEntry == nil {
			byEntry = make(map[ids.Node]report)
			p.demand[r.Client] = byEntry
		}
		byEntry[from] = report{r.Demand, now}
	}
}

// valid reports whether a report still counts. If the entry sent reports without this client for Options.FreshFor, the
// client has no demand there any more. If the entry sends no reports at all, it may just be partitioned from this one
// while callers still use it, so its last report counts for Options.HoldFor.
func (p *peerDemands) valid(from ids.Node, r report, now time.Time) bool {
	if p.lastReport[from].Sub(r.at) >= p.opts.FreshFor {
		return false
	}
	return now.Sub(r.at) < p.opts.HoldFor
}

// sum returns the sum of the demand that all other entries reported for a client. known is false if no report counts.
func (p *peerDemands) sum(client ids.Client, now time.Time) (total Usage, known bool) {
	for from, r := range p.demand[client] {
		if p.valid(from, r, now) {
			total = total.plus(r.demand)
			known = true
		}
	}
	return total, known
}

// others returns the demand at the other entries: the larger of the sum of their reports and the sum that the
// aggregator sent.
func (p *peerDemands) others(client ids.Client, a *account, now time.Time) (Usage, bool) {
	direct, known := p.sum(client, now)
	if a.othersAt.IsZero() || now.Sub(a.othersAt) >= p.opts.HoldFor {
		return direct, known
	}
	return Usage{max(direct.Requests, a.othersSum.Requests), max(direct.Tokens, a.othersSum.Tokens)}, true
}

// expire deletes the reports that no longer count.
func (p *peerDemands) expire(now time.Time) {
	for client, byEntry := range p.demand {
		for from, r := range byEntry {
			if !p.valid(from, r, now) {
				delete(byEntry, from)
			}
		}
		if len(byEntry) == 0 {
			delete(p.demand, client)
		}
	}
}

func (p *peerDemands) forget(node ids.Node) {
	delete(p.lastReport, node)
	for _, byEntry := range p.demand {
		delete(byEntry, node)
	}
}
