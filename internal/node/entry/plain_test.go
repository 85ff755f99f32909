package entry

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/valyala/fasthttp"

	"github.com/cardamomyoke/cardamomyoke/internal/base/httpclient"
	"github.com/cardamomyoke/cardamomyoke/internal/base/httpserver"
	"github.com/cardamomyoke/cardamomyoke/internal/testing/loopback"
	"github.com/cardamomyoke/cardamomyoke/internal/testing/rawpeer"
)

// readFrom returns what readPlain returns for a slot's response.
func readFrom(t *testing.T, text string) (*plainResponse, error) {
	t.Helper()
	address := rawpeer.ServeOnce(t, rawpeer.Response{Text: text})
	req := &fasthttp.Request{}
	req.SetRequestURI("/")
	req.Header.SetHost("slot")
	res, err := httpclient.New(httpclient.Options{}).Do(t.Context(), address, httpclient.Exchange{Request: req})
	if err != nil {
		t.Fatal(err)
	}
	defer res.Release(false)
	return readPlain(res)
}

// Guards against a caller that is told a length of a response whose end nothing proves.
func TestEntryStatesLengthOnlyIfEndIsProven(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n"
	for name, tc := range map[string]struct {
		text   string
		stated bool
	}{
		"proven":   {head + "\r\nbody", true},
		"unproven": {head + "Cardamomyoke-End-Unproven: 1\r\n\r\nbody", false},
	} {
		t.Run(name, func(t *testing.T) {
			p, err := readFrom(t, tc.text)
			if err != nil {
				t.Fatal(err)
			}
			address := loopback.Address()
			server, err := httpserver.Start(address, 1, httpserver.Limits{}, func(ctx context.Context, x *httpserver.Exchange) {
				if err := p.respond(ctx, x, &request{}); err != nil {
					t.Error(err)
				}
			})
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = server.Stop(context.Background()) }()
			res, err := http.Get("http://" + address)
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = res.Body.Close() }()
			body, err := io.ReadAll(res.Body)
			if err != nil || string(body) != "body" || (res.ContentLength == 4) != tc.stated {
				t.Fatalf("%q, length %d, %v", body, res.ContentLength, err)
			}
		})
	}
}

// Guards against a slot's response without an end that the entry keeps until it runs out of memory.
func TestSlotResponseWithoutEndIsAnError(t *testing.T) {
	var long *LongResponseError
	text := "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + strings.Repeat("10000\r\n"+strings.Repeat("e", 0x10000)+"\r\n", 400)
	if _, err := readFrom(t, text); !errors.As(err, &long) {
		t.Fatalf("got %v", err)
	}
}

// Guards against a slot's response that lost its header field with the length, and that the entry takes for complete.
func TestSlotResponseWithoutLengthIsAnError(t *testing.T) {
	var unframed *UnframedError
	if p, err := readFrom(t, "HTTP/1.1 200 OK\r\n\r\nbody"); !errors.As(err, &unframed) {
		t.Fatalf("got %+v, %v", p, err)
	}
}
