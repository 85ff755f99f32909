package httpclient_test

import (
	"errors"
	"strings"
	"testing"

	"github.com/cardamomyoke/cardamomyoke/internal/base/httpclient"
	"github.com/cardamomyoke/cardamomyoke/internal/testing/rawpeer"
)

// Guards against a second response that is taken for a part of the body, and against bodies that are taken for two responses.
func TestBodyUntilCloseEndsBeforeSecondResponse(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\n"
	long := strings.Repeat("x", 100_000)
	tests := map[string]struct {
		body   string
		second bool
	}{
		"text":                              {"body", false},
		"text about HTTP":                   {"send HTTP/1.1 200 OK and stop", false},
		"text about HTTP in lines":          {"HTTP/1.1 200 OK\nbody\n", false},
		"JSON about HTTP":                   {`{"text":"HTTP/1.1 200 OK\r\nbody"}`, false},
		"twice":                             {"body" + head + "body", true},
		"twice, without a body":             {head, true},
		"twice, long":                       {long + head + long, true},
		"twice, across a buffer's end":      {strings.Repeat("x", 8<<10-len("HTTP/1.1 ")) + head, true},
		"second cut off in its status line": {"bodyHTTP/1.1 20", true},
		"other status":                      {"bodyHTTP/1.0 503 Service Unavailable\r\n\r\n", true},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			c := httpclient.New(httpclient.Options{})
			defer c.Close()
			body, err := get(t, c, &peer{address: rawpeer.ServeOnce(t, rawpeer.Response{Text: head + tc.body})})
			var second *httpclient.SecondResponseError
			if errors.As(err, &second) != tc.second || !tc.second && (err != nil || body != tc.body) {
				t.Fatalf("got %d bytes, %v", len(body), err)
			}
			if tc.second && !strings.HasPrefix(tc.body, body) {
				t.Fatalf("read %d bytes that are not the body's", len(body))
			}
		})
	}
}
