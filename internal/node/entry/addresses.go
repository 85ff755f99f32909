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

// AddressAnswer is the JSON body of GET /v1/addresses.
type AddressAnswer struct {
	// Addresses are IP:PORT; a caller uses the first that takes its connection.
	Addresses []string `json:"addresses"`
	// KeepMS is for how long the answer holds, in milliseconds.
	KeepMS uint32 `json:"keep_ms"`
}

// addresses lists the other entries that callers may use: those of this data centre, and if there is none, others.
func (s *state) addresses() []string {
	near, far := s.members.Addresses("")
	if len(near) == 0 {
		return far
	}
	return near
}

// serveAddresses answers which addresses to use. They are shuffled for each answer: callers use the first one, and
// without the shuffle a burst of callers that all asked the same entry would meet again at the same address.
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
	body, err := json.Marshal(AddressAnswer{list, v.config.Proto.GetPolicies().GetAddressKeepMs()})
	if err != nil {
		x.Fail(failure.New(failure.CodeInternal, err))
		return
	}
	_ = x.Respond(fasthttp.StatusOK, []httpserver.Header{{Name: "Content-Type", Value: "application/json"}}, body)
}
