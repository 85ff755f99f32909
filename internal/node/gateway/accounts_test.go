package gateway

import (
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	cardamomyokev1 "github.com/cardamomyoke/cardamomyoke/internal/gen/cardamomyoke/v1"
	"github.com/cardamomyoke/cardamomyoke/internal/policy/dispatch"
	"github.com/cardamomyoke/cardamomyoke/internal/policy/fairshare"
	"github.com/cardamomyoke/cardamomyoke/internal/state/catalog"
)

func accountColumns(account fairshare.Account, tokens, waiting uint32) *cardamomyokev1.AccountColumns {
	return &cardamomyokev1.AccountColumns{
		Services: []uint32{serviceHash("svc")}, Accounts: []uint32{uint32(account)}, Tokens: []uint32{tokens}, Waiting: []uint32{waiting},
	}
}

// Guards against reports of gateways that have died or wait for nothing any more, by which accounts would be held back for ever.
func TestAccountReportsExpire(t *testing.T) {
	a, now := newAccountReports(), time.Unix(100, 0)
	a.merge("g1", accountColumns(7, 500, 2), now)
	if w := a.work("svc", 1, now)[7]; w != (fairshare.Work{Tokens: 500, Waiting: 2}) || !a.othersWait("svc", now) || a.othersWait("other", now) {
		t.Errorf("work %+v, others wait %v", w, a.othersWait("svc", now))
	}
	if w := a.work("other", 1, now); len(w) != 0 {
		t.Errorf("work of another service: %+v", w)
	}
	later := now.Add(accountsKept + time.Millisecond)
	if w := a.work("svc", 1, later); w != nil || a.othersWait("svc", later) {
		t.Errorf("work %+v after the reports have expired", w)
	}
}

// Guards against reports that take more than a quarter of the 6 KB a second that a gateway may use for control.
func TestAccountReportsAreSmall(t *testing.T) {
	c := &cardamomyokev1.AccountColumns{}
	for i := range dispatch.MaxReportedAccounts {
		c.Services, c.Accounts = append(c.Services, 1<<31), append(c.Accounts, 1<<31+uint32(i))
		c.Tokens, c.Waiting = append(c.Tokens, 100000), append(c.Waiting, 20)
	}
	bytes := proto.Size(&cardamomyokev1.Digest{Accounts: c})
	perSecond := float64(bytes*maxLimitTargets) / accountInterval.Seconds()
	t.Logf("%d bytes a report, %.0f bytes a second", bytes, perSecond)
	if perSecond > 1500 {
		t.Errorf("%.0f bytes a second", perSecond)
	}
}

// Guards against a malformed report that stops the gateway or counts in part.
func TestMalformedAccountReportIsIgnored(t *testing.T) {
	a, now := newAccountReports(), time.Unix(100, 0)
	a.merge("g1", accountColumns(7, 500, 2), now)
	malformed := accountColumns(8, 100, 1)
	malformed.Tokens = nil
	a.merge("g1", malformed, now)
	if w := a.work("svc", 1, now); len(w) != 1 || w[7].Tokens != 500 {
		t.Errorf("work %+v, want that of the last valid report", w)
	}
}

// Guards against work that counts a request with a long prompt and a short response as more than one that writes for seconds.
func TestWorkCountsOutputByItsTime(t *testing.T) {
	e := &catalog.Engine{Slots: 10, StepBase: 5 * time.Millisecond, StepPerRequest: 500 * time.Microsecond, PromptTokensPerSecond: 50000, MeanOutputTokens: 160}
	for _, c := range []struct {
		name string
		call Call
		want int
	}{
		{"mean output", Call{PromptTokens: 100}, 100 + 160*50},
		{"by the caller's estimate", Call{PromptTokens: 100, OutputHint: 10}, 100 + 10*50},
		{"bounded by the caller's maximum", Call{PromptTokens: 100, OutputHint: 900, MaxOutputTokens: 20}, 100 + 20*50},
	} {
		if got := c.call.work(e); got != c.want {
			t.Errorf("%s: %d, want %d", c.name, got, c.want)
		}
	}
	if got := (&Call{}).work(nil); got != 0 {
		t.Errorf("plain service: %d", got)
	}
}
