package entry

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/cardamomyoke/cardamomyoke/internal/base/failure"
	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
	cardamomyokev1 "github.com/cardamomyoke/cardamomyoke/internal/gen/cardamomyoke/v1"
	"github.com/cardamomyoke/cardamomyoke/internal/policy/attempt"
	"github.com/cardamomyoke/cardamomyoke/internal/policy/quarantine"
	"github.com/cardamomyoke/cardamomyoke/internal/policy/routing/prefix"
	"github.com/cardamomyoke/cardamomyoke/internal/state/config"
)

// Paths, header fields and limits of the API for callers.
const (
	pathAddresses      = "/v1/addresses"
	pathChat           = "/v1/chat/completions"
	pathServices       = "/v1/services/"
	pathHealth         = "/healthz"
	headerTimeout      = "Cardamomyoke-Timeout-Ms"
	bearer             = "Bearer "
	maxKeyBytes        = 128
	maxRequestedTokens = 32_768
	defaultMaxTokens   = 256
	bytesPerToken      = 4
	blockBytes         = 256
)

// request is a caller's request that passed all checks that need no upstream.
type request struct {
	id       string
	client   ids.Client
	service  *cardamomyokev1.Service
	class    *cardamomyokev1.PriorityClass
	revision ids.Revision
	deadline time.Time
	key      string
	method   string
	target   string
	mime     string
	body     []byte
	trace    string
	// chat is non-nil for model services only.
	chat *chatRequest
	// promptTokens and outputTokens are estimates; blocks are the hashes of the prompt's leading blocks.
	promptTokens, outputTokens int
	// tokenLimit is the maximum number of output tokens that the caller set, or 0 if it set none.
	tokenLimit int
	blocks     []uint64
	// fingerprint identifies the request by its client and body, so that a repetition has the same one.
	fingerprint quarantine.Fingerprint
	// suspicion is the quarantine level of the current attempt.
	suspicion int
	// latest is the latest attempt, for logs.
	latest sentAttempt
}

// chatRequest holds the fields of an OpenAI-style body that the entry reads; the others are for the engine only.
type chatRequest struct {
	Model     string          `json:"model"`
	Messages  json.RawMessage `json:"messages"`
	Stream    bool            `json:"stream"`
	MaxTokens int             `json:"max_tokens"`
}

// fieldFailure returns a refusal that names the invalid field of the request.
func fieldFailure(code failure.Code, field string, cause error) *failure.Error {
	e := failure.New(code, cause)
	e.Field = field
	return e
}

// readRequest parses and validates a request to a service. Errors: *failure.Error with a code that guarantees "not run".
func readRequest(snap *config.Snapshot, in *fasthttp.Request, now time.Time) (*request, error) {
	r := &request{
		revision: snap.Revision(),
		body:     in.Body(),
		mime:     string(in.Header.ContentType()),
		method:   string(in.Header.Method()),
		trace:    string(in.Header.Peek(attempt.HeaderTrace)),
		key:      string(in.Header.Peek(attempt.HeaderKey)),
	}
	if err := r.readService(snap, in); err != nil {
		return nil, err
	}
	if err := r.readClient(snap, in); err != nil {
		return nil, err
	}
	if err := r.readDeadline(in, now); err != nil {
		return nil, err
	}
	r.fingerprint = quarantine.FingerprintOf(r.client, sha256.Sum256(r.body))
	return r, r.readKey()
}

func (r *request) readService(snap *config.Snapshot, in *fasthttp.Request) error {
	path := string(in.URI().PathOriginal())
	name, rest := "", "/"
	if path == pathChat {
		if err := r.readChat(); err != nil {
			return err
		}
		name = r.chat.Model
	} else {
		name, rest, _ = strings.Cut(strings.TrimPrefix(path, pathServices), "/")
	}
	r.service = snap.Service(ids.Service(name))
	if r.service == nil {
		return fieldFailure(failure.CodeUnknownService, fmt.Sprintf("%.64q", name), nil)
	}
	r.class = snap.Class(r.service.GetClass())
	if len(r.body) > int(r.service.GetMaxBodyBytes()) {
		return fieldFailure(failure.CodeTooLarge, fmt.Sprintf("body over %d bytes", r.service.GetMaxBodyBytes()), nil)
	}
	return r.readTarget(in, rest)
}

func (r *request) readTarget(in *fasthttp.Request, rest string) error {
	if r.service.GetKind() == cardamomyokev1.ServiceKind_SERVICE_KIND_MODEL {
		if r.chat == nil {
			return r.readChat()
		}
		return nil
	}
	if r.chat != nil {
		return fieldFailure(failure.CodeUnknownService, "model: not a model service", nil)
	}
	r.target = "/" + strings.TrimPrefix(rest, "/")
	if query := in.URI().QueryString(); len(query) > 0 {
		r.target += "?" + string(query)
	}
	r.promptTokens = int(r.service.GetCostTokens())
	return nil
}

// readChat parses the body of a request to a model service.
func (r *request) readChat() error {
	if r.method != fasthttp.MethodPost {
		return failure.New(failure.CodeMethodNotAllowed, nil)
	}
	chat := &chatRequest{}
	if err := json.Unmarshal(r.body, chat); err != nil {
		return fieldFailure(failure.CodeMalformed, "body", fmt.Errorf("json: %w", err))
	}
	if len(chat.Messages) == 0 || chat.Messages[0] != '[' {
		return fieldFailure(failure.CodeMalformed, "messages: want a list", nil)
	}
	if chat.MaxTokens < 0 || chat.MaxTokens > maxRequestedTokens {
		return fieldFailure(failure.CodeMalformed, fmt.Sprintf("max_tokens: want 0 to %d", maxRequestedTokens), nil)
	}
	r.tokenLimit = chat.MaxTokens
	if chat.MaxTokens == 0 {
		chat.MaxTokens = defaultMaxTokens
	}
	r.chat = chat
	r.promptTokens = len(chat.Messages) / bytesPerToken
	r.outputTokens = chat.MaxTokens
	r.blocks = prefix.Hash(chat.Messages, blockBytes)
	return nil
}

// readClient authenticates the client. The bearer token is NAME, or NAME:SECRET if the account has a secret.
func (r *request) readClient(snap *config.Snapshot, in *fasthttp.Request) error {
	token, ok := strings.CutPrefix(string(in.Header.Peek("Authorization")), bearer)
	if !ok {
		return fieldFailure(failure.CodeUnknownClient, "Authorization: want Bearer NAME or NAME:SECRET", nil)
	}
	name, secret, _ := strings.Cut(token, ":")
	account := snap.Client(ids.Client(name))
	if account == nil || !secretMatches(account, secret) {
		return fieldFailure(failure.CodeUnknownClient, "Authorization", nil)
	}
	allowed := account.GetServices()
	if len(allowed) > 0 && !slices.Contains(allowed, r.service.GetName()) {
		return fieldFailure(failure.CodeUnknownClient, "no right to use "+r.service.GetName(), nil)
	}
	r.client = ids.Client(name)
	return nil
}

func secretMatches(account *cardamomyokev1.ClientAccount, secret string) bool {
	want := account.GetSecretSha256()
	if want == "" {
		return true
	}
	sum := sha256.Sum256([]byte(secret))
	return subtle.ConstantTimeCompare([]byte(hex.EncodeToString(sum[:])), []byte(strings.ToLower(want))) == 1
}

func (r *request) readDeadline(in *fasthttp.Request, now time.Time) error {
	requested := time.Duration(0)
	if text := string(in.Header.Peek(headerTimeout)); text != "" {
		ms, err := strconv.ParseUint(text, 10, 31)
		if err != nil || ms == 0 {
			return fieldFailure(failure.CodeMalformed, headerTimeout+": want milliseconds", nil)
		}
		requested = time.Duration(ms) * time.Millisecond
	}
	r.deadline = now.Add(config.Deadline(r.service, requested))
	return nil
}

func (r *request) readKey() error {
	if len(r.key) > maxKeyBytes {
		return fieldFailure(failure.CodeMalformed, fmt.Sprintf("%s over %d bytes", attempt.HeaderKey, maxKeyBytes), nil)
	}
	if !r.service.GetRepeatable() && r.key == "" {
		return failure.New(failure.CodeKeyRequired, nil)
	}
	return nil
}
