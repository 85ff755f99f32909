package gateway

import (
	"sync"
	"time"

	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
	cardamomyokev1 "github.com/cardamomyoke/cardamomyoke/internal/gen/cardamomyoke/v1"
	"github.com/cardamomyoke/cardamomyoke/internal/policy/dispatch"
	"github.com/cardamomyoke/cardamomyoke/internal/policy/fairshare"
)

const (
	// accountInterval is the time between two reports of this gateway, each of which goes to maxLimitTargets peers, at any number of
	// gateways.
	accountInterval = 400 * time.Millisecond
	// accountsKept is how long a report counts. Most streams end within that time.
	accountsKept = time.Second
)

// accountReports exchanges the work in flight of client accounts with the other gateways while requests wait somewhere. Each
// gateway reports to a few others, so that a receiver estimates the work of all from those that it has heard.
type accountReports struct {
	mu     sync.Mutex
	byPeer map[string]accountReport
	// reported is when this gateway sent its last report. Only the control loop uses it.
	reported time.Time
}

type accountReport struct {
	at      time.Time
	columns *cardamomyokev1.AccountColumns
}

func newAccountReports() *accountReports { return &accountReports{byPeer: map[string]accountReport{}} }

// merge records the report in a peer's digest. A report whose columns differ in length is malformed and ignored.
func (a *accountReports) merge(peer string, c *cardamomyokev1.AccountColumns, now time.Time) {
	n := len(c.GetServices())
	if len(c.GetAccounts()) != n || len(c.GetTokens()) != n || len(c.GetWaiting()) != n {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.byPeer[peer] = accountReport{now, c}
}

// forgetOld drops reports that count no longer.
func (a *accountReports) forgetOld(now time.Time) {
	for peer, r := range a.byPeer {
		if now.Sub(r.at) > accountsKept {
			delete(a.byPeer, peer)
		}
	}
}

// othersWait reports whether requests for a service wait at other gateways.
func (a *accountReports) othersWait(name ids.Service, now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.forgetOld(now)
	service := serviceHash(name)
	for _, r := range a.byPeer {
		for i, waiting := range r.columns.GetWaiting() {
			if waiting > 0 && r.columns.GetServices()[i] == service {
				return true
			}
		}
	}
	return false
}

// work returns the work of the other gateways at a service, estimated from the reports of those that were heard; nil if none were.
func (a *accountReports) work(name ids.Service, others int, now time.Time) map[fairshare.Account]fairshare.Work {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.forgetOld(now)
	if len(a.byPeer) == 0 {
		return nil
	}
	service := serviceHash(name)
	sum := map[fairshare.Account]fairshare.Work{}
	for _, r := range a.byPeer {
		c := r.columns
		for i, s := range c.GetServices() {
			if s != service {
				continue
			}
			account := fairshare.Account(c.GetAccounts()[i])
			w := sum[account]
			sum[account] = fairshare.Work{Tokens: w.Tokens + int(c.GetTokens()[i]), Waiting: w.Waiting + int(c.GetWaiting()[i])}
		}
	}
	return fairshare.Scale(sum, len(a.byPeer), others)
}

// accountNews returns the work of this gateway's largest accounts at the services for which requests wait somewhere, nil if there
// are none or a report is not due.
func (g *Gateway) accountNews(now time.Time) *cardamomyokev1.AccountColumns {
	if !g.sharesFairly() || now.Sub(g.accounts.reported) < accountInterval {
		return nil
	}
	columns := &cardamomyokev1.AccountColumns{}
	for name, s := range g.control.services {
		rows, waits := s.gate.OwnAccounts(dispatch.MaxReportedAccounts)
		if !waits && !g.accounts.othersWait(name, now) {
			continue
		}
		for _, r := range rows {
			columns.Services = append(columns.Services, serviceHash(name))
			columns.Accounts = append(columns.Accounts, uint32(r.Account))
			columns.Tokens = append(columns.Tokens, uint32(r.Tokens))
			columns.Waiting = append(columns.Waiting, uint32(r.Waiting))
		}
	}
	if len(columns.Services) == 0 {
		return nil
	}
	g.accounts.reported = now
	return columns
}

// recordAccounts records the report in a peer's digest.
func (g *Gateway) recordAccounts(d *cardamomyokev1.Digest, now time.Time) {
	if d.GetAccounts() != nil && g.sharesFairly() {
		g.accounts.merge(d.GetNode(), d.GetAccounts(), now)
	}
}

// sharesFairly reports whether requests are ordered by fair shares of client accounts.
func (g *Gateway) sharesFairly() bool {
	return g.Settings().Overload.FairAccounts && !g.disabled(dispatch.Accounts)
}

// updateAccounts passes the work of the other gateways by account to the gates.
func (g *Gateway) updateAccounts(others int, now time.Time) {
	if !g.sharesFairly() {
		return
	}
	for name, s := range g.control.services {
		work := g.accounts.work(name, others, now)
		if work == nil && !s.hasOthersAccounts {
			continue
		}
		s.hasOthersAccounts = work != nil
		s.gate.SetOthersAccounts(work)
	}
}
