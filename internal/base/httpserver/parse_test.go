package httpserver

import (
	"errors"
	"testing"

	"github.com/valyala/fasthttp"

	"github.com/cardamomyoke/cardamomyoke/internal/base/failure"
)

// Guards against a refusal without proof that the request was not run, a wait that can never end, and a request whose
// length or body exceeds its bounds.
func FuzzParseRequest(f *testing.F) {
	f.Add([]byte("GET / HTTP/1.1\r\nHost: a\r\n\r\n"))
	f.Add([]byte("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabcGET"))
	f.Add([]byte("POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"))
	f.Add([]byte("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: -3\r\n\r\nabc"))
	f.Add([]byte("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nffffffffffffffff\r\n"))
	f.Add([]byte("\r\n\r\n"))
	limits := Limits{MaxHeaderBytes: 256, MaxBodyBytes: 128}.withDefaults()
	f.Fuzz(func(t *testing.T, data []byte) {
		p, err := parseRequest(data, limits)
		var typed *failure.Error
		switch {
		case err != nil:
			if !errors.As(err, &typed) || !typed.Code.Meaning().NotRun {
				t.Fatalf("untyped or unproved refusal: %v", err)
			}
		case p.req == nil:
			if p.minBytes <= len(data) {
				t.Fatalf("waits for %d bytes but already has %d", p.minBytes, len(data))
			}
		default:
			if p.consumed <= 0 || p.consumed > len(data) || len(p.req.Body()) > limits.MaxBodyBytes {
				t.Fatalf("used %d of %d, body %d", p.consumed, len(data), len(p.req.Body()))
			}
			fasthttp.ReleaseRequest(p.req)
		}
	})
}
