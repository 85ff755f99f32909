package dispatch_test

import (
	"math"
	"testing"
	"time"

	"github.com/cardamomyoke/cardamomyoke/internal/policy/dispatch"
	"github.com/cardamomyoke/cardamomyoke/internal/policy/fairshare"
)

const (
	accounts = 24
	// accountSkew is the exponent of the accounts' rates: a few accounts are large.
	accountSkew = 1.2
	// smallFrom is the first of the accounts that are counted as small, by rank.
	smallFrom = 6
	// accountReporters is how many gateways one gateway has heard of accounts from within the time for which their reports count.
	accountReporters = 10
	// greedy is the account that sends a burst of requests.
	greedy = fairshare.Account(0)
	// Rates of all accounts and, in the burst, of the greedy one in addition, in requests per second. The group does about 330.
	usualRate, greedyRate = 230.0, 350.0
	quietTime, burstTime  = 3 * time.Second, 8 * time.Second
	// outputWork is the work of writing a mean response, in tokens.
	outputWork = 1600
)

// accountLoad is the state of a load of several client accounts.
type accountLoad struct {
	// cumulative holds the cumulative fractions of the accounts' rates.
	cumulative []float64
	// greedyPart is the part of all requests that the greedy account sends in addition.
	greedyPart float64
	counts     [accounts]classCount
	reported   []map[fairshare.Account]fairshare.Work
	reportAt   time.Time
}

func newAccountLoad(gateways int) *accountLoad {
	l := &accountLoad{reported: make([]map[fairshare.Account]fairshare.Work, gateways)}
	sum := 0.0
	for i := range accounts {
		sum += math.Pow(float64(i+1), -accountSkew)
		l.cumulative = append(l.cumulative, sum)
	}
	for i := range l.cumulative {
		l.cumulative[i] /= sum
	}
	return l
}

// draw returns the account of a new request.
func (l *accountLoad) draw(g *groupSimulation) fairshare.Account {
	if g.rng.Float64() < l.greedyPart {
		return greedy
	}
	x := g.rng.Float64()
	for i, c := range l.cumulative {
		if x < c {
			return fairshare.Account(i)
		}
	}
	return accounts - 1
}

func (l *accountLoad) refused(r dispatch.Request) {
	if l != nil {
		l.counts[r.Account].refused++
	}
}

func (l *accountLoad) finished(s *stream) {
	switch {
	case l == nil:
	case s.late:
		l.counts[s.request.Account].late++
	default:
		l.counts[s.request.Account].inTime++
	}
}

// exchangeAccounts gives each gateway the reports of a random sample of the others.
func (g *groupSimulation) exchangeAccounts() {
	l := g.accounts
	if l == nil || g.now.Before(l.reportAt) {
		return
	}
	l.reportAt = g.now.Add(g.interval)
	for i, gw := range g.gateways {
		rows, _ := gw.pool.OwnAccounts(dispatch.MaxReportedAccounts)
		l.reported[i] = map[fairshare.Account]fairshare.Work{}
		for _, r := range rows {
			l.reported[i][r.Account] = r.Work
		}
	}
	for i, gw := range g.gateways {
		sum := map[fairshare.Account]fairshare.Work{}
		for _, j := range g.rng.Perm(len(g.gateways))[:accountReporters] {
			if i == j {
				continue
			}
			for a, w := range l.reported[j] {
				sum[a] = fairshare.Work{Tokens: sum[a].Tokens + w.Tokens, Waiting: sum[a].Waiting + w.Waiting}
			}
		}
		g.decide(gw, gw.pool.SetOthersAccounts(fairshare.Scale(sum, accountReporters, len(g.gateways)-1), g.now))
	}
}

// simulateBurst returns the counts by account while one of them sends a burst of requests.
func simulateBurst(seed uint64, off ...dispatch.Mechanism) [accounts]classCount {
	g := newGroupSimulation(seed, 44, 63, 10, workReportEvery, true, off...)
	for _, gw := range g.gateways {
		gw.pool.SetFairAccounts(true)
	}
	g.accounts = newAccountLoad(len(g.gateways))
	g.run(usualRate, quietTime, outage{})
	g.accounts.counts = [accounts]classCount{}
	g.accounts.greedyPart = greedyRate / (usualRate + greedyRate)
	g.run(usualRate+greedyRate, burstTime, outage{})
	return g.accounts.counts
}

// sum returns the counts of several accounts together.
func sum(counts []classCount) (s classCount) {
	for _, c := range counts {
		s.inTime, s.late, s.refused = s.inTime+c.inTime, s.late+c.late, s.refused+c.refused
	}
	return s
}

func (c classCount) partInTime() float64 { return float64(c.inTime) / float64(c.all()) }

func (c classCount) partServed() float64 { return float64(c.inTime+c.late) / float64(c.all()) }

// Guards against an account that takes the room of all others in a burst of its own requests, and against fair shares that cost
// more than they give.
func TestBurstOfOneAccountLeavesRoomToOthers(t *testing.T) {
	counts, before := simulateBurst(1), simulateBurst(1, dispatch.Accounts)
	for name, c := range map[string][accounts]classCount{"with fair shares": counts, "without": before} {
		t.Logf("%s: small accounts %+v, greedy one %+v, all %+v", name, sum(c[smallFrom:]), c[greedy], sum(c[:]))
	}
	if with, without := sum(counts[smallFrom:]).partInTime(), sum(before[smallFrom:]).partInTime(); with < without+0.1 {
		t.Errorf("small accounts have %.3f in time, without fair shares %.3f", with, without)
	}
	all := sum(counts[:])
	if without := sum(before[:]); all.inTime < without.inTime*97/100 {
		t.Errorf("%d in time, without fair shares %d", all.inTime, without.inTime)
	}
	for i, c := range counts {
		if c.partServed() < all.partServed()/4 {
			t.Errorf("account %d is served %.3f, all %.3f", i, c.partServed(), all.partServed())
		}
	}
}
