package retry_test

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/cardamomyoke/cardamomyoke/internal/base/failure"
	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
	"github.com/cardamomyoke/cardamomyoke/internal/policy/retry"
)

var now = time.Unix(1000, 0)

const percent = 10

func broken() error { return failure.New(failure.CodeUpstreamFailed, nil) }

func refused() error {
	return failure.New(failure.CodeStopping, nil).WithProof(failure.ProofRefusedBeforeStart)
}

func TestDecisions(t *testing.T) {
	tests := map[string]struct {
		rules     retry.Rules
		left      time.Duration
		failures  []error
		delivered int
		want      retry.Action
		code      failure.Code
	}{
		"repeatable, failed":               {retry.DefaultRules(true, true), time.Second, []error{broken()}, 0, retry.ActionRepeat, ""},
		"repeatable, broke in mid-stream":  {retry.DefaultRules(true, true), time.Second, []error{broken()}, 7, retry.ActionResume, ""},
		"broke, cannot be resumed":         {retry.DefaultRules(true, false), time.Second, []error{broken()}, 7, retry.ActionGiveUp, failure.CodeIncompleteAnswer},
		"not repeatable, failed":           {retry.DefaultRules(false, false), time.Second, []error{broken()}, 0, retry.ActionGiveUp, failure.CodeOutcomeUnknown},
		"not repeatable, proved not run":   {retry.DefaultRules(false, false), time.Second, []error{refused()}, 0, retry.ActionRepeat, ""},
		"not repeatable, refused, failed":  {retry.DefaultRules(false, false), time.Second, []error{refused(), broken()}, 0, retry.ActionGiveUp, failure.CodeOutcomeUnknown},
		"refused by all":                   {retry.DefaultRules(false, false), time.Second, []error{refused(), refused(), refused()}, 0, retry.ActionGiveUp, failure.CodeStopping},
		"failed, then refused by the rest": {retry.DefaultRules(true, true), time.Second, []error{broken(), refused(), refused()}, 0, retry.ActionGiveUp, failure.CodeUpstreamFailed},
		"no time left":                     {retry.DefaultRules(true, true), 10 * time.Millisecond, []error{broken()}, 0, retry.ActionGiveUp, failure.CodeUpstreamFailed},
		"deadline passed":                  {retry.DefaultRules(true, true), 0, []error{broken()}, 0, retry.ActionGiveUp, failure.CodeDeadlinePassed},
		"would fail the same way":          {retry.DefaultRules(true, true), time.Second, []error{failure.New(failure.CodeQuarantined, nil)}, 0, retry.ActionGiveUp, failure.CodeQuarantined},
		"an error without a code":          {retry.DefaultRules(true, true), time.Second, []error{errors.New("?")}, 0, retry.ActionGiveUp, failure.CodeInternal},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			s := retry.NewSession(tc.rules, retry.NewBudget(percent), now.Add(tc.left))
			var d retry.Decision
			for i, err := range tc.failures {
				d = s.Failed(retry.FailedAttempt{Upstream: ids.Upstream(fmt.Sprintf("u%d", i)), Err: err}, tc.delivered, now)
			}
			if d.Action != tc.want {
				t.Fatalf("%s, want %s (%v)", d.Action, tc.want, d.Err)
			}
			if tc.want != retry.ActionGiveUp {
				if len(d.Exclude) != len(tc.failures) || d.From != tc.delivered || d.After <= 0 {
					t.Fatalf("decision %+v", d)
				}
				return
			}
			var exhausted *retry.ExhaustedError
			if d.Err.Code != tc.code || !errors.As(d.Err, &exhausted) {
				t.Fatalf("caller gets %v, want code %s", d.Err, tc.code)
			}
		})
	}
}

// Guards against a request that runs twice, for example a payout: a caller that reads "not run" may send it again. So
// "not run" must only be reported if every attempt is proved not to have run, and the same holds for repeating a
// request that is not repeatable.
func TestNotRunIsReportedOnlyWithProof(t *testing.T) {
	outcomes := []error{
		broken(), refused(), failure.New(failure.CodeNoUpstream, nil), failure.New(failure.CodeOutcomeUnknown, nil),
		failure.New(failure.CodeStopping, nil).WithProof(failure.ProofNone), errors.New("?"),
		failure.New(failure.CodeIncompleteAnswer, nil), failure.New(failure.CodeStaleRevision, nil).WithProof(failure.ProofFenced),
	}
	rapid.Check(t, func(t *rapid.T) {
		rules := retry.DefaultRules(rapid.Bool().Draw(t, "repeatable"), rapid.Bool().Draw(t, "resumable"))
		s := retry.NewSession(rules, retry.NewBudget(percent), now.Add(time.Hour))
		proved := true
		for range rules.MaxAttempts {
			err := rapid.SampledFrom(outcomes).Draw(t, "outcome")
			f := failure.From(err)
			proved = proved && f.Code.Meaning().NotRun && f.Proof != failure.ProofNone
			d := s.Failed(retry.FailedAttempt{Upstream: "u", Err: err}, 0, now)
			if d.Action != retry.ActionGiveUp {
				if !rules.Repeatable && !proved {
					t.Fatalf("repeated a request that may have run")
				}
				continue
			}
			if reported := d.Err.Code.Meaning().NotRun; reported != proved {
				t.Fatalf("reports not run: %v (%s), proved: %v", reported, d.Err.Code, proved)
			}
			return
		}
		t.Fatal("continued after the last attempt")
	})
}

// Guards against retries that multiply the load: a third of the upstreams fails and every caller's request is retried.
// Without a budget the other upstreams would get up to three times their load and fail too.
func TestRetriesCannotMultiplyTheLoad(t *testing.T) {
	const requests = 2000
	for _, percent := range []int{0, 10, 50} {
		budget := retry.NewBudget(percent)
		retries := 0
		for range requests {
			s := retry.NewSession(retry.DefaultRules(true, true), budget, now.Add(time.Hour))
			for s.Failed(retry.FailedAttempt{Err: broken()}, 0, now).Action != retry.ActionGiveUp {
				retries++
			}
		}
		if most := requests * percent / 100; retries > most || retries < most*9/10 {
			t.Errorf("%d retries of %d requests with a budget of %d percent", retries, requests, percent)
		}
	}
}

func TestBudgetFollowsConfiguration(t *testing.T) {
	b := retry.NewBudget(0)
	b.RecordFirst()
	if b.Allow() {
		t.Fatal("a retry with a budget of 0")
	}
	b.SetPercent(percent)
	if !b.Allow() {
		t.Fatal("a service with little traffic cannot retry at all")
	}
	b.SetPercent(0)
	if b.Allow() {
		t.Fatal("a retry after the budget was set to 0")
	}
}

func TestBackoffGrows(t *testing.T) {
	rules := retry.DefaultRules(true, true)
	s := retry.NewSession(rules, retry.NewBudget(percent), now.Add(time.Hour))
	var backoffs []time.Duration
	for range rules.MaxAttempts - 1 {
		backoffs = append(backoffs, s.Failed(retry.FailedAttempt{Err: broken()}, 0, now).After)
	}
	if diff := cmp.Diff([]time.Duration{rules.Backoff, 2 * rules.Backoff}, backoffs); diff != "" {
		t.Fatal(diff)
	}
}

// Guards against a request that is logged, and reported, as never sent although slots got and refused it.
func TestReportedProofCoversEachAttempt(t *testing.T) {
	var (
		unsent = failure.New(failure.CodeNoUpstream, nil)
		fenced = unsent.WithProof(failure.ProofFenced)
	)
	for name, tc := range map[string]struct {
		failures []error
		want     failure.Proof
	}{
		"all unsent":               {[]error{unsent, unsent, unsent}, failure.ProofNeverSent},
		"refused, then unsent":     {[]error{refused(), unsent, unsent}, failure.ProofRefusedBeforeStart},
		"unsent, then refused":     {[]error{unsent, unsent, refused()}, failure.ProofRefusedBeforeStart},
		"fenced, refused, unsent":  {[]error{fenced, refused(), unsent}, failure.ProofFenced},
		"refused, fenced, refused": {[]error{refused(), fenced, refused()}, failure.ProofFenced},
	} {
		t.Run(name, func(t *testing.T) {
			s := retry.NewSession(retry.DefaultRules(false, false), retry.NewBudget(percent), now.Add(time.Hour))
			var d retry.Decision
			for _, err := range tc.failures {
				d = s.Failed(retry.FailedAttempt{Err: err}, 0, now)
			}
			if d.Action != retry.ActionGiveUp || d.Err.Proof != tc.want {
				t.Fatalf("%s with proof %q, want %q", d.Action, d.Err.Proof, tc.want)
			}
		})
	}
}
