package entry

import (
	"bufio"
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/cardamomyoke/cardamomyoke/internal/base/failure"
	cardamomyokev1 "github.com/cardamomyoke/cardamomyoke/internal/gen/cardamomyoke/v1"
	"github.com/cardamomyoke/cardamomyoke/internal/state/config"
)

// secretHash is the SHA-256 of "hunter".
const secretHash = "e9a63a4eb15738ae85cd416221c8fcc4ccc0018fac91335b42eaa016c76e87f9"

func testSnapshot(t testing.TB) *config.Snapshot {
	t.Helper()
	snap, err := config.NewSnapshot(&cardamomyokev1.Configuration{
		Revision: 3,
		Classes:  []*cardamomyokev1.PriorityClass{{Name: "first", QueueLimit: 10}},
		Services: []*cardamomyokev1.Service{
			{Name: "desk-model", Kind: cardamomyokev1.ServiceKind_SERVICE_KIND_MODEL, Class: "first", Repeatable: true, DeadlineMs: 5000, MaxBodyBytes: 200},
			{Name: "slips", Kind: cardamomyokev1.ServiceKind_SERVICE_KIND_PLAIN, Class: "first", DeadlineMs: 2000, MaxBodyBytes: 100, OutcomeKeptS: 60},
		},
		Clients: []*cardamomyokev1.ClientAccount{
			{Name: "open", Share: 1},
			{Name: "closed", Share: 1, SecretSha256: secretHash},
			{Name: "narrow", Share: 1, Services: []string{"slips"}},
		},
		Policies: &cardamomyokev1.Policies{AddressKeepMs: 1000, QuarantineS: 60},
	})
	if err != nil {
		t.Fatal(err)
	}
	return snap
}

func parse(t testing.TB, text string) *fasthttp.Request {
	t.Helper()
	req := &fasthttp.Request{}
	if err := req.Read(bufio.NewReader(strings.NewReader(text))); err != nil {
		t.Fatal(err)
	}
	return req
}

func chat(client, body string) string {
	return "POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer " + client +
		"\r\nContent-Length: " + itoa(len(body)) + "\r\n\r\n" + body
}

func slip(headers string) string {
	return "POST /v1/services/slips/print?copy=1 HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer open\r\n" + headers +
		"Content-Length: 1\r\n\r\nx"
}

func itoa(n int) string { return string(fasthttp.AppendUint(nil, n)) }

const goodChat = `{"model":"desk-model","messages":[{"role":"user","content":"hi"}],"max_tokens":7}`

func TestReadRequestReturnsTypedFailures(t *testing.T) {
	tests := map[string]struct {
		text  string
		code  failure.Code
		field string
	}{
		"not json":        {chat("open", "{"), failure.CodeMalformed, "body"},
		"no messages":     {chat("open", `{"model":"desk-model"}`), failure.CodeMalformed, "messages"},
		"too many tokens": {chat("open", `{"model":"desk-model","messages":[],"max_tokens":99999999}`), failure.CodeMalformed, "max_tokens"},
		"unknown model":   {chat("open", `{"model":"other","messages":[]}`), failure.CodeUnknownService, "other"},
		"plain service":   {chat("open", `{"model":"slips","messages":[]}`), failure.CodeUnknownService, "model"},
		"over body limit": {chat("open", `{"model":"desk-model","messages":["`+strings.Repeat("a", 200)+`"]}`), failure.CodeTooLarge, "200"},
		"unknown client":  {chat("nobody", goodChat), failure.CodeUnknownClient, "Authorization"},
		"no secret":       {chat("closed", goodChat), failure.CodeUnknownClient, "Authorization"},
		"wrong secret":    {chat("closed:x", goodChat), failure.CodeUnknownClient, "Authorization"},
		"not allowed":     {chat("narrow", goodChat), failure.CodeUnknownClient, "desk-model"},
		"no token":        {"POST /v1/services/slips/a HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n", failure.CodeUnknownClient, "Authorization"},
		"no key":          {slip(""), failure.CodeKeyRequired, ""},
		"long key":        {slip("Idempotency-Key: " + strings.Repeat("k", 129) + "\r\n"), failure.CodeMalformed, "Idempotency-Key"},
		"bad timeout":     {slip("Idempotency-Key: k\r\nCardamomyoke-Timeout-Ms: -1\r\n"), failure.CodeMalformed, "Timeout"},
		"GET of a model":  {"GET /v1/services/desk-model/ HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer open\r\n\r\n", failure.CodeMethodNotAllowed, ""},
	}
	snap := testSnapshot(t)
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			_, err := readRequest(snap, parse(t, tc.text), time.Now())
			var f *failure.Error
			if !errors.As(err, &f) || f.Code != tc.code || !strings.Contains(f.Field, tc.field) {
				t.Fatalf("got %v, want %s at %q", err, tc.code, tc.field)
			}
			if !f.Code.Meaning().NotRun || f.Proof != failure.ProofNeverSent {
				t.Fatalf("%s is refused without proof", f.Code)
			}
		})
	}
}

func TestReadRequestAcceptsValidRequests(t *testing.T) {
	now := time.Now()
	snap := testSnapshot(t)
	r, err := readRequest(snap, parse(t, chat("closed:hunter", goodChat)), now)
	if err != nil {
		t.Fatal(err)
	}
	if r.chat == nil || r.outputTokens != 7 || r.client != "closed" || r.revision != 3 || !r.deadline.Equal(now.Add(5*time.Second)) {
		t.Fatalf("got %+v", r)
	}
	r, err = readRequest(snap, parse(t, slip("Idempotency-Key: k\r\nCardamomyoke-Timeout-Ms: 300\r\n")), now)
	if err != nil {
		t.Fatal(err)
	}
	if r.target != "/print?copy=1" || r.key != "k" || !r.deadline.Equal(now.Add(300*time.Millisecond)) {
		t.Fatalf("got %+v", r)
	}
}

func FuzzReadRequest(f *testing.F) {
	f.Add("/v1/chat/completions", "Bearer open", goodChat)
	f.Add("/v1/services/slips/%2e%2e/x?y", "Bearer open", "{")
	f.Add("/v1/services//", "", "")
	snap := testSnapshot(f)
	f.Fuzz(func(t *testing.T, path, auth, body string) {
		req := &fasthttp.Request{}
		req.Header.SetMethod(fasthttp.MethodPost)
		req.SetRequestURI(path)
		req.Header.Set("Authorization", auth)
		req.Header.Set("Idempotency-Key", "k")
		req.SetBodyString(body)
		r, err := readRequest(snap, req, time.Now())
		var typed *failure.Error
		if err != nil && (!errors.As(err, &typed) || !typed.Code.Meaning().NotRun) {
			t.Fatalf("refusal without a type or without proof: %v", err)
		}
		if err == nil && (r.service == nil || r.client == "" || r.class == nil) {
			t.Fatalf("accepted an incomplete request: %+v", r)
		}
	})
}
