package ctl_test

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	cardamomyokev1 "github.com/cardamomyoke/cardamomyoke/internal/gen/cardamomyoke/v1"
	"github.com/cardamomyoke/cardamomyoke/internal/gen/cardamomyoke/v1/cardamomyokev1connect"
	"github.com/cardamomyoke/cardamomyoke/internal/tool/ctl"
)

// partsOf serves fixed parts, and records decisions.
type partsOf struct {
	res     *cardamomyokev1.GetPartsResponse
	decided []*cardamomyokev1.DecidePartRequest
}

// GetParts implements PartService.
func (p *partsOf) GetParts(context.Context, *cardamomyokev1.GetPartsRequest) (*cardamomyokev1.GetPartsResponse, error) {
	return p.res, nil
}

// DecidePart implements PartService.
func (p *partsOf) DecidePart(_ context.Context, req *cardamomyokev1.DecidePartRequest) (*cardamomyokev1.DecidePartResponse, error) {
	p.decided = append(p.decided, req)
	verdict := &cardamomyokev1.PartVerdict{Round: 3, State: req.GetState()}
	return &cardamomyokev1.DecidePartResponse{Part: &cardamomyokev1.SuspectPart{Part: req.GetPart(), Verdict: verdict}, Stored: true}, nil
}

// Guards against parts that operators cannot see, or whose decision does not reach the gateway as it was meant.
func TestPartsOfGateways(t *testing.T) {
	p := &partsOf{res: &cardamomyokev1.GetPartsResponse{Node: "g1", Stored: true, RowEra: 1, RowVersion: 9, Parts: []*cardamomyokev1.SuspectPart{{
		Part: 0xbad, Evidence: []*cardamomyokev1.PartEvidence{{Crash: 1}, {Crash: 2}},
		Verdict: &cardamomyokev1.PartVerdict{Round: 1, State: cardamomyokev1.PartState_PART_STATE_REFUSED, AtMs: 1000, By: "g7", Trials: 1},
	}}}}
	mux := http.NewServeMux()
	mux.Handle(cardamomyokev1connect.NewPartServiceHandler(p))
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	address := strings.TrimPrefix(server.URL, "http://")
	var out, errOut bytes.Buffer
	if code := ctl.Main([]string{"parts", address}, &out, &errOut); code != ctl.ExitOK {
		t.Fatalf("exit code %d, %s", code, errOut.String())
	}
	want := `GATEWAY  PART  DECISION  SINCE                 BY  CRASHES  TRIALS  ANSWERED  ROW  STORED
g1       bad   refused   1970-01-01T00:00:01Z  g7  2        1       no        1/9  yes
`
	if out.String() != want {
		t.Fatalf("got\n%s", out.String())
	}
	if code := ctl.Main([]string{"part", "trust", "bad", address}, &out, &errOut); code != ctl.ExitOK {
		t.Fatalf("exit code %d, %s", code, errOut.String())
	}
	if len(p.decided) != 1 || p.decided[0].GetPart() != 0xbad || p.decided[0].GetState() != cardamomyokev1.PartState_PART_STATE_TRUSTED {
		t.Fatalf("decided %v", p.decided)
	}
	if code := ctl.Main([]string{"part", "trust", "no part", address}, &out, &errOut); code != ctl.ExitUsage || len(p.decided) != 1 {
		t.Fatalf("exit code %d after a text that is no part", code)
	}
}
