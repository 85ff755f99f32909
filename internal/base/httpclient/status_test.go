package httpclient_test

import (
	"errors"
	"testing"

	"github.com/cardamomyoke/cardamomyoke/internal/base/httpclient"
)

// Guards against a response with status 000 that is taken for a success: fasthttp takes 0 for a status that was not set.
func TestStatusZeroIsNoSuccess(t *testing.T) {
	const rest = "Content-Length: 2\r\nAttempt-Id: ID\r\n\r\nok"
	for name, tc := range map[string]struct {
		line string
		ok   bool
	}{
		"200":                   {"HTTP/1.1 200 OK\r\n", true},
		"200 without a reason":  {"HTTP/1.1 200\r\n", true},
		"000":                   {"HTTP/1.1 000 Trouble\r\n", false},
		"000 without a reason":  {"HTTP/1.1 000\r\n", false},
		"000 after empty lines": {"\r\n\r\nHTTP/1.1 000 Trouble\r\n", false},
		"000 after two spaces":  {"HTTP/1.1  000 Trouble\r\n", false},
		"000, line feeds only":  {"HTTP/1.1 000 Trouble\n", false},
		"000 of HTTP/1.0":       {"HTTP/1.0 000 Trouble\r\n", false},
		"000, interim before":   {"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 000 Trouble\r\n", false},
	} {
		t.Run(name, func(t *testing.T) {
			body, err := get(t, httpclient.New(httpclient.Options{}), startPeer(t, tc.line+rest))
			var invalid *httpclient.InvalidStatusError
			if (err == nil) != tc.ok || !tc.ok && !errors.As(err, &invalid) {
				t.Errorf("got %q, %v", body, err)
			}
		})
	}
}
