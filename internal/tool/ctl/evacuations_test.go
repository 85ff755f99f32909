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

// gatewayOf serves fixed evacuations.
type gatewayOf struct {
	res *cardamomyokev1.GetEvacuationsResponse
}

// GetEvacuations implements EvacuationService.
func (g gatewayOf) GetEvacuations(context.Context, *cardamomyokev1.GetEvacuationsRequest) (*cardamomyokev1.GetEvacuationsResponse, error) {
	return g.res, nil
}

// Guards against evacuations that are not shown because another of the named gateways does not answer, and against an exit code
// that hides that.
func TestEvacuationsOfGateways(t *testing.T) {
	serve := func(res *cardamomyokev1.GetEvacuationsResponse) string {
		mux := http.NewServeMux()
		mux.Handle(cardamomyokev1connect.NewEvacuationServiceHandler(gatewayOf{res}))
		server := httptest.NewServer(mux)
		t.Cleanup(server.Close)
		return strings.TrimPrefix(server.URL, "http://")
	}
	first := serve(&cardamomyokev1.GetEvacuationsResponse{Node: "g1", Enabled: true, TableEra: 2, TableVersion: 9, Evacuations: []*cardamomyokev1.Evacuation{
		{DataCentre: "a", Era: 2, Version: 7, AgeMs: 4100, Upstreams: 21, IdleMs: 1500},
		{DataCentre: "b", Era: 2, Version: 8, AgeMs: 2000, Upstreams: 21, Running: 3, RunningElsewhere: 40},
	}})
	second := serve(&cardamomyokev1.GetEvacuationsResponse{Node: "g2", TableVersion: 5})
	var out, errOut bytes.Buffer
	code := ctl.Main([]string{"evacuations", first, "127.0.0.1:1", second}, &out, &errOut)
	want := `GATEWAY  EVACUATED  SINCE     ROW  TABLE  FOLLOWS STORE  UPSTREAMS  RUNNING  ELSEWHERE  NONE SINCE
g1       a          4.1s ago  2/7  2/9    no             21         0        0          1.5s ago
g1       b          2s ago    2/8  2/9    no             21         3        40         -
g2       off                       5      no                                            
`
	if out.String() != want || code != ctl.ExitUnavailable || !strings.Contains(errOut.String(), "gateway 127.0.0.1:1") {
		t.Fatalf("exit code %d, %s\n%s", code, errOut.String(), out.String())
	}
}
