package slot

import (
	"testing"
	"time"

	"github.com/go-kit/log"

	"github.com/cardamomyoke/cardamomyoke/internal/base/failure"
	"github.com/cardamomyoke/cardamomyoke/internal/base/httpclient"
	"github.com/cardamomyoke/cardamomyoke/internal/policy/attempt"
	"github.com/cardamomyoke/cardamomyoke/internal/testing/rawpeer"
)

// testSlot returns a slot that only calls its upstream.
func testSlot(upstream string) *Slot {
	s := &Slot{settings: &Settings{}, client: httpclient.New(httpclient.Options{}), work: newWork(), metrics: newSlotMetrics(), logger: log.NewNopLogger()}
	s.settings.Upstream.Address = upstream
	return s
}

func testAttempt() *incomingAttempt {
	return &incomingAttempt{Header: attempt.Header{Service: "bridge", Method: "POST", Target: "/", Remaining: time.Minute}}
}

// Guards against a plain service's response without a length that was cut off, or holds a second response, and that the slot
// passes on or stores as complete.
func TestResponseWithoutLengthIsNotTakenForComplete(t *testing.T) {
	const (
		head     = "HTTP/1.1 200 OK\r\n"
		jsonType = "Content-Type: application/json\r\n\r\n"
	)
	tests := map[string]struct {
		text      string
		crash     bool
		truncated bool
		unproven  bool
	}{
		"with its length":    {head + "Content-Length: 4\r\n\r\nbody", false, false, false},
		"whole document":     {head + jsonType + `{"a":1}`, false, false, false},
		"document cut off":   {head + jsonType + `{"a":`, false, true, false},
		"empty":              {head + "\r\n", false, true, false},
		"text":               {head + "\r\nbody", false, false, true},
		"text, then a crash": {head + "\r\nbody", true, true, false},
		"twice":              {head + "\r\nbody" + head + "\r\nbody", false, true, false},
		"failure":            {"HTTP/1.1 500 Internal Server Error\r\n\r\n", false, false, true},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			s := testSlot(rawpeer.ServeOnce(t, rawpeer.Response{Text: tc.text, Crash: tc.crash}))
			res, err := s.callPlain(t.Context(), testAttempt())
			switch {
			case tc.truncated:
				if !isBrokenConnection(err) || failure.CodeOf(err) != failure.CodeUpstreamFailed {
					t.Fatalf("got %+v, %v", res, err)
				}
			case err != nil || res.endUnproven != tc.unproven:
				t.Fatalf("got %+v, %v; want endUnproven %t", res, err, tc.unproven)
			}
		})
	}
}

// Guards against a status line that callers cannot parse, and a body whose encoding the caller is not told.
func TestInvalidResponseIsNotForwarded(t *testing.T) {
	tests := map[string]string{
		"status 099": "HTTP/1.1 099 Odd\r\nContent-Length: 4\r\n\r\nbody",
		"status 600": "HTTP/1.1 600 Odd\r\nContent-Length: 4\r\n\r\nbody",
		"encoded":    "HTTP/1.1 200 OK\r\nContent-Encoding: gzip\r\nContent-Length: 4\r\n\r\nbody",
	}
	for name, text := range tests {
		t.Run(name, func(t *testing.T) {
			s := testSlot(rawpeer.ServeOnce(t, rawpeer.Response{Text: text}))
			if res, err := s.callPlain(t.Context(), testAttempt()); failure.CodeOf(err) != failure.CodeUpstreamFailed {
				t.Fatalf("got %+v, %v", res, err)
			}
		})
	}
}
