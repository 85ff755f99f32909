package entry

import (
	"encoding/json"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/cardamomyoke/cardamomyoke/internal/base/failure"
	"github.com/cardamomyoke/cardamomyoke/internal/base/httpserver"
)

// AddressResponse is the JSON body of the response to GET /v1/addresses.
type AddressResponse struct {
	// Addresses are IP:PORT; a caller uses the first one that accepts its connection.
	Addresses []string `json:"addresses"`
	// KeepMS is how long callers may cache the response, in milliseconds.
	KeepMS uint32 `json:"keep_ms"`
}

// addresses returns the other entries that callers may use: those in this data centre, or, if there are none, those in
// other data centres.
func (s *state) addresses() []string {
	local, remote := s.members.Addresses("")
	if len(local) == 0 {
		return remote
	}
	return local
}

// serveAddresses responds with the addresses that callers may use. Each response is shuffled: callers use the first
// address, so without the shuffle a burst of callers that query the same entry would all connect to the same address.
func (e *Entry) serveAddresses(x *httpserver.Exchange) {
	v := e.view.Load()
	if v.config == nil {
		x.Fail(failure.New(failure.CodeStaleRevision, nil).WithRetryAfter(time.Second))
		return
	}
	list := slices.Clone(v.addresses)
	if v.serving && !e.withdrawn.Load() {
		list = append(list, e.settings.HTTP.Address)
	}
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	body, err := json.Marshal(AddressResponse{list, v.config.Proto.GetPolicies().GetAddressKeepMs()})
	if err != nil {
		x.Fail(failure.New(failure.CodeInternal, err))
		return
	}
	_ = x.Respond(fasthttp.StatusOK, []httpserver.Header{{Name: "Content-Type", Value: "application/json"}}, body)
}
