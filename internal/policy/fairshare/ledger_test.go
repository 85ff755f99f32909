package fairshare_test

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/cardamomyoke/cardamomyoke/internal/policy/fairshare"
)

const large, small, idle = fairshare.Account(1), fairshare.Account(2), fairshare.Account(3)

// Guards against shares that count only the work of one gateway: an account's requests are spread over all of them.
func TestShareCountsWorkOfAllGateways(t *testing.T) {
	l := fairshare.NewLedger()
	l.Started(large, 100)
	l.Started(small, 100)
	if l.BeyondShare(large) {
		t.Error("beyond its share with the same work as the other account")
	}
	l.SetOthers(map[fairshare.Account]fairshare.Work{large: {Tokens: 900}, small: {Tokens: 100, Waiting: 2}})
	if !l.BeyondShare(large) || l.BeyondShare(small) {
		t.Errorf("large %v, small %v; want true, false", l.BeyondShare(large), l.BeyondShare(small))
	}
	if n := l.WaitingElsewhere(); n != 2 {
		t.Errorf("%d wait elsewhere, want 2", n)
	}
	l.SetOthers(map[fairshare.Account]fairshare.Work{large: {Tokens: 900, Waiting: 7}})
	if n := l.WaitingElsewhere(); n != 0 {
		t.Errorf("%d wait elsewhere, want none: they belong to an account beyond its share", n)
	}
}

// Guards against weights that are ignored.
func TestWeightsScaleShares(t *testing.T) {
	l := fairshare.NewLedger()
	l.SetWeights(map[fairshare.Account]float64{large: 9})
	l.Started(large, 900)
	l.Started(small, 100)
	if l.BeyondShare(large) || l.BeyondShare(small) || l.Load(large) != l.Load(small) {
		t.Errorf("loads %v, %v; want equal ones", l.Load(large), l.Load(small))
	}
}

// Guards against work of finished requests that counts on, which would put an account behind the others for ever.
func TestFinishedWorkDoesNotCount(t *testing.T) {
	l := fairshare.NewLedger()
	l.Started(large, 50)
	l.Started(large, 50)
	l.Started(small, 10)
	l.Finished(large, 50)
	l.Finished(large, 50)
	if l.Load(large) != 0 || l.BeyondShare(large) {
		t.Errorf("load %v after all requests have finished", l.Load(large))
	}
}

// Guards against reports that leave out accounts with waiting requests because others have more work in flight.
func TestReportNamesWaitingAccountsFirst(t *testing.T) {
	l := fairshare.NewLedger()
	l.Started(large, 500)
	l.Started(small, 10)
	got := l.Largest(2, map[fairshare.Account]int{idle: 3})
	want := []fairshare.Row{{idle, fairshare.Work{Waiting: 3}}, {large, fairshare.Work{Tokens: 500}}}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}

// Guards against work that is underestimated because only some gateways have reported.
func TestReportsOfSomeGatewaysAreScaled(t *testing.T) {
	reported := map[fairshare.Account]fairshare.Work{large: {Tokens: 100, Waiting: 1}}
	got := fairshare.Scale(reported, 10, 43)
	if want := (fairshare.Work{Tokens: 430, Waiting: 4}); got[large] != want {
		t.Errorf("%+v, want %+v", got[large], want)
	}
	if got := fairshare.Scale(reported, 43, 43); got[large] != reported[large] {
		t.Errorf("%+v, want it unchanged", got[large])
	}
	if got := fairshare.Scale(nil, 0, 43); len(got) != 0 {
		t.Errorf("%+v without reports", got)
	}
}
