package notrun_test

import (
	"testing"

	"github.com/cardamomyoke/cardamomyoke/internal/policy/notrun"
)

func TestProofOfResponse(t *testing.T) {
	refusal := notrun.Response{Status: 503, Promised: true, Identified: true, Addressed: "a"}
	misdirected := notrun.Response{Status: 421, First: true, Addressed: "a", Responder: "b"}
	tests := map[string]struct {
		base   notrun.Response
		change func(*notrun.Response)
		want   notrun.Proof
	}{
		"refusal":                             {refusal, func(*notrun.Response) {}, notrun.Refused},
		"refusal on a used connection":        {refusal, func(r *notrun.Response) { r.First = false }, notrun.Refused},
		"refusal without a promise":           {refusal, func(r *notrun.Response) { r.Promised = false }, notrun.None},
		"refusal without an id":               {refusal, func(r *notrun.Response) { r.Identified, r.First = false, true }, notrun.None},
		"refusal by one that signs":           {refusal, func(r *notrun.Response) { r.Signed = true }, notrun.None},
		"refusal by another upstream":         {refusal, func(r *notrun.Response) { r.Responder = "b" }, notrun.None},
		"refusal by the addressed one":        {refusal, func(r *notrun.Response) { r.Responder = "a" }, notrun.Refused},
		"promise with a success":              {refusal, func(r *notrun.Response) { r.Status = 200 }, notrun.None},
		"promise with a failure":              {refusal, func(r *notrun.Response) { r.Status = 500 }, notrun.None},
		"too many requests":                   {refusal, func(r *notrun.Response) { r.Status = 429 }, notrun.Refused},
		"bad request":                         {refusal, func(r *notrun.Response) { r.Status = 400 }, notrun.Refused},
		"bad request without an id":           {refusal, func(r *notrun.Response) { r.Status, r.Identified, r.First = 400, false, true }, notrun.None},
		"misdirected":                         {misdirected, func(*notrun.Response) {}, notrun.OtherInstance},
		"misdirected with an id":              {misdirected, func(r *notrun.Response) { r.Identified = true }, notrun.OtherInstance},
		"misdirected on a used connection":    {misdirected, func(r *notrun.Response) { r.Identified, r.First = true, false }, notrun.None},
		"misdirected, names no upstream":      {misdirected, func(r *notrun.Response) { r.Responder = "" }, notrun.None},
		"misdirected by the addressed one":    {misdirected, func(r *notrun.Response) { r.Identified, r.Responder = true, "a" }, notrun.None},
		"misdirected, with a run's signature": {misdirected, func(r *notrun.Response) { r.Signed = true }, notrun.None},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			r := tc.base
			tc.change(&r)
			if got := r.Proof(); got != tc.want {
				t.Errorf("got %q, want %q", got, tc.want)
			}
		})
	}
}

func TestRefusalThatNamesTheAddressedUpstreamIsForeign(t *testing.T) {
	r := notrun.Response{Status: 421, Identified: true, First: true, Addressed: "a", Responder: "a"}
	if !r.Foreign() {
		t.Error("taken for the answer")
	}
	r.Responder = "b"
	if r.Foreign() {
		t.Error("the refusal of another upstream is foreign")
	}
}
