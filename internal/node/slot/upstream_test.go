package slot

import (
	"testing"

	"github.com/valyala/fasthttp"

	"github.com/cardamomyoke/cardamomyoke/internal/base/httpclient"
	"github.com/cardamomyoke/cardamomyoke/internal/testing/rawpeer"
)

// Guards against a request that crashes one engine after the other unsuspected. An engine crashes in mid-stream because
// of it. If the truncated stream did not count as a broken connection, the slot would report a crash during which no
// request ran, and the request would be resumed on another engine.
func TestTruncatedStreamCountsAsBrokenConnection(t *testing.T) {
	address := rawpeer.ServeOnce(t, rawpeer.Response{Text: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\ndata:\r\n"})
	req := &fasthttp.Request{}
	req.SetRequestURI("/")
	req.Header.SetHost("engine")
	res, err := httpclient.New(httpclient.Options{}).Do(t.Context(), address, httpclient.Exchange{Request: req})
	if err != nil {
		t.Fatal(err)
	}
	defer res.Release(false)
	r := &modelRelay{incoming: &incomingAttempt{}}
	if err := r.relayEvents(t.Context(), res); !isBrokenConnection(err) {
		t.Fatalf("%v does not count as a broken connection", err)
	}
}
