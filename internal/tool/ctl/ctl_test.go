package ctl_test

import (
	"bytes"
	"context"
	"crypto/tls"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"connectrpc.com/connect"

	"github.com/cardamomyoke/cardamomyoke/internal/base/control"
	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
	"github.com/cardamomyoke/cardamomyoke/internal/base/keys"
	cardamomyokev1 "github.com/cardamomyoke/cardamomyoke/internal/gen/cardamomyoke/v1"
	"github.com/cardamomyoke/cardamomyoke/internal/gen/cardamomyoke/v1/cardamomyokev1connect"
	"github.com/cardamomyoke/cardamomyoke/internal/node/operator"
	"github.com/cardamomyoke/cardamomyoke/internal/state/audit/writer"
	"github.com/cardamomyoke/cardamomyoke/internal/state/revision"
	"github.com/cardamomyoke/cardamomyoke/internal/state/revision/agent"
	"github.com/cardamomyoke/cardamomyoke/internal/state/revision/memnet"
	standin "github.com/cardamomyoke/cardamomyoke/internal/testing/standin/platform"
	"github.com/cardamomyoke/cardamomyoke/internal/tool/ctl"
)

// deployment is the operator service of one entry, with a stand-in for the platform.
type deployment struct {
	store   *standin.Store
	address string
	// loseResponses is the number of next responses that are lost after the request was executed.
	loseResponses atomic.Int32
}

func deploy(t *testing.T) *deployment { return deployWith(t, nil) }

// deployWith serves over TLS with the keys of source, or without TLS if source is nil.
func deployWith(t *testing.T, source *keys.Source) *deployment {
	d := &deployment{store: standin.NewStore(standin.Limits{})}
	loop := control.New()
	a := agent.New(agent.Config{
		Self:        &revision.Member{Name: "e1", DataCentre: "vallejo", Address: "127.0.0.1:1"},
		Incarnation: ids.NewIncarnation(), Platform: d.store, Transport: memnet.New(nil).Transport("e1"), Loop: loop,
		Rand: rand.New(rand.NewPCG(1, 1)),
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		loop.Run(ctx, 5*time.Millisecond, a.Tick)
	}()
	mux := http.NewServeMux()
	auditor := &writer.Auditor{
		Writer:  writer.New(writer.Options{Node: "e1", Incarnation: "life-1", Table: d.store}),
		Changes: writer.NewChanges(d.store, a.Store(), func() *revision.State { return a.View().InForce }),
	}
	server := operator.New(operator.Options{Node: "e1", Agent: a, Table: d.store, Audit: auditor})
	if source == nil {
		mux.Handle(operator.Handler(server))
		d.address = serve(t, nil, d.dropResponses(mux))
	} else {
		mux.Handle(operator.Handler(server, connect.WithInterceptors(keys.Interceptor{})))
		d.address = serve(t, source, keys.Authorize(mux))
	}
	t.Cleanup(func() {
		a.Close()
		cancel()
		<-done
	})
	return d
}

func serve(t *testing.T, source *keys.Source, h http.Handler) string {
	srv := httptest.NewUnstartedServer(h)
	if source != nil {
		srv.Listener = tls.NewListener(srv.Listener, source.Server())
	}
	srv.Start()
	t.Cleanup(func() {
		srv.CloseClientConnections()
		srv.Close()
	})
	return strings.TrimPrefix(srv.URL, "http://")
}

// dropResponses executes the next loseResponses changes and closes their connection instead of responding.
func (d *deployment) dropResponses(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		changes := strings.HasSuffix(r.URL.Path, "/Change") || strings.HasSuffix(r.URL.Path, "/Act")
		if !changes || d.loseResponses.Add(-1) < 0 {
			next.ServeHTTP(w, r)
			return
		}
		next.ServeHTTP(httptest.NewRecorder(), r)
		panic(http.ErrAbortHandler)
	})
}

type result struct {
	code        int
	out, errOut string
}

// run runs the command line. "FILE" in args is replaced with the path of a file that contains text.
func run(t *testing.T, address, text string, args ...string) result {
	t.Helper()
	file := filepath.Join(t.TempDir(), "configuration")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	all := []string{"--entry", address}
	for _, a := range args {
		all = append(all, strings.ReplaceAll(a, "FILE", file))
	}
	var out, errOut bytes.Buffer
	code := ctl.Main(all, &out, &errOut)
	return result{code, out.String(), errOut.String()}
}

const (
	firstConfig = `
classes: [{name: first, queueLimit: 10}]
services: [{name: desk-model, kind: SERVICE_KIND_MODEL, class: first, repeatable: true, deadlineMs: 1000, maxBodyBytes: 1000}]
groups: [{name: g, service: desk-model, ranks: 4, experts: 8, layers: 1}]
policies: {addressKeepMs: 5000, ejectionPercent: 30, quarantineS: 60}
`
	invalidConfig = `policies: {addressKeepMs: 1}`
)

var secondConfig = strings.ReplaceAll(firstConfig, "quarantineS: 60", "quarantineS: 61")

// step is one command line with its input and the expected exit code and output.
type step struct {
	name string
	text string
	args string
	code int
	out  []string
	err  []string
}

const metaFlags = " --operator ana --reason test --wait 1m"

// steps run in sequence on one deployment.
var steps = []step{
	{name: "dry run changes nothing", text: firstConfig, args: "apply -f FILE --dry-run" + metaFlags, out: []string{"+ class", "+ service", "+ group"}},
	{name: "apply YAML", text: firstConfig, args: "apply -f FILE --operation op-1" + metaFlags, out: []string{"revision 1 is accepted"}},
	{name: "nothing to change", text: firstConfig, args: "apply -f FILE" + metaFlags, out: []string{"nothing to change"}},
	{name: "diff names the field", text: secondConfig, args: "diff -f FILE", out: []string{"~ policies", "quarantine_s: 60 -> 61"}},
	{name: "diff as JSON", text: secondConfig, args: "diff -f FILE -o json", out: []string{`"baseRevision":"1"`, `EDIT_ACTION_CHANGE`}},
	{name: "a field is wrong", text: invalidConfig, args: "apply -f FILE" + metaFlags, code: ctl.ExitUsage, err: []string{"address_keep_ms", "nothing was changed"}},
	{name: "file is not a configuration", text: "a: b", args: "diff -f FILE", code: ctl.ExitUsage, err: []string{"configuration"}},
	{name: "no reason", text: secondConfig, args: "apply -f FILE", code: ctl.ExitUsage, err: []string{"reason"}},
	{name: "apply JSON out", text: secondConfig, args: "apply -f FILE -o json --operation op-2" + metaFlags, out: []string{`"operation":"op-2"`, "CHANGE_STATE_ACCEPTED"}},
	{name: "operation found", args: "operation op-1", out: []string{"revision 1 is accepted"}},
	{name: "operation not found", args: "operation op-9", code: ctl.ExitNotFound, err: []string{"has not been applied"}},
	{name: "operation id of another change", args: "drain u1 --operation op-1" + metaFlags, code: ctl.ExitConflict, err: []string{"belongs to another change"}},
	{name: "drain", args: "drain u1" + metaFlags, out: []string{"revision 3 is accepted"}},
	{name: "list one kind", args: "list upstream", out: []string{"revision 3", `upstream  u1`, `"drained":true`}},
	{name: "undrain", args: "undrain u1" + metaFlags, out: []string{"revision 4 is accepted"}},
	{name: "pause", args: "pause g" + metaFlags, out: []string{"revision 5 is accepted"}},
	{name: "list in force as JSON", args: "list group --in-force -o json", out: []string{`"paused":true`, `"revision":"5"`}},
	{name: "resume", args: "resume g" + metaFlags, out: []string{"revision 6 is accepted"}},
	{name: "pause an unknown group", args: "pause no" + metaFlags, code: ctl.ExitUsage, err: []string{"pause_rebalancing.group"}},
	{name: "roll forward", args: "roll-forward 1" + metaFlags, out: []string{"policies", "revision 7 is accepted"}},
	{name: "roll forward to an unknown revision", args: "roll-forward 99" + metaFlags, code: ctl.ExitUsage, err: []string{"to_revision"}},
	{name: "history", args: "history", out: []string{"op-1", "ana", "test", "+ service desk-model", "+ node e1"}},
	{name: "order", args: "order load-model u1 m v1" + metaFlags, out: []string{"fencing number 1"}},
	{name: "order a role", args: "order change-role u1 decode -o json" + metaFlags, out: []string{`"fence":"2"`}},
	{name: "order an adapter", args: "order load-adapter u1 a v1" + metaFlags, out: []string{"fencing number 3"}},
	{name: "drop an adapter", args: "order unload-adapter u1 a" + metaFlags, out: []string{"fencing number 4"}},
	{name: "force a lease", args: "force release-lease map/g" + metaFlags, out: []string{"done"}},
	{name: "remove an unknown node", args: "force remove-nodes e9" + metaFlags, code: ctl.ExitUsage, err: []string{"remove_nodes.names"}},
	{name: "watch", args: "watch --count 1", out: []string{"revision 7 in force"}},
	{name: "status", args: "status", out: []string{"e1", "vallejo", "revision 7", "map/g"}},
	{name: "status as JSON", args: "status -o json", out: []string{`"node":"e1"`}},
	{name: "audit", args: "audit export --verify", err: []string{"verified:"}, out: []string{
		`"actor":"ana","reason":"test","kind":"change"`, `"kind":"order"`, `"kind":"lease-released"`, `"kind":"chain-started"`,
	}},
	{name: "audit of a time without rows", args: "audit export --to 1999-01-01T00:00:00Z --verify", err: []string{"verified:"}},
	{name: "audit with an invalid time", args: "audit export --from yesterday", code: ctl.ExitUsage, err: []string{"--from"}},
	{name: "unknown command", args: "frob", code: ctl.ExitUsage, err: []string{"frob"}},
}

func check(t *testing.T, s step, r result) {
	t.Helper()
	if r.code != s.code {
		t.Fatalf("exit code %d, want %d\n%s%s", r.code, s.code, r.out, r.errOut)
	}
	for _, want := range s.out {
		if !strings.Contains(r.out, want) {
			t.Errorf("output lacks %q:\n%s", want, r.out)
		}
	}
	for _, want := range s.err {
		if !strings.Contains(r.errOut, want) {
			t.Errorf("errors lack %q:\n%s", want, r.errOut)
		}
	}
}

// Guards against a change of the exit codes or of the output that scripts and operators depend on, for each command.
func TestCommands(t *testing.T) {
	d := deploy(t)
	for _, s := range steps {
		t.Run(s.name, func(t *testing.T) {
			r := run(t, d.address, s.text, strings.Fields(s.args)...)
			check(t, s, r)
			if strings.Contains(s.args, "json") && !json.Valid([]byte(lastLine(r.out))) {
				t.Errorf("no JSON: %s", r.out)
			}
		})
	}
}

func lastLine(text string) string {
	lines := strings.Split(strings.TrimSpace(text), "\n")
	return lines[len(lines)-1]
}

// Guards against a change that is applied twice or reported as failed after its response was lost. The command resends it
// with the same operation id, so that it is applied once; if every response is lost, the outcome is reported as unknown.
func TestLostResponses(t *testing.T) {
	d := deploy(t)
	d.loseResponses.Store(2)
	r := run(t, d.address, firstConfig, strings.Fields("apply -f FILE"+metaFlags)...)
	check(t, step{out: []string{"revision 1 is accepted"}}, r)
	d.loseResponses.Store(100)
	r = run(t, d.address, "", strings.Fields("drain u1 --operation op-lost"+metaFlags)...)
	check(t, step{code: ctl.ExitUnknown, err: []string{"operation op-lost"}}, r)
	check(t, step{out: []string{"revision 2 is accepted"}}, run(t, d.address, "", "operation", "op-lost"))
}

// Guards against a wrong exit code while the platform's table is down, and against the failure of commands that need no
// table. A change must be refused as not applied, with ExitUnavailable.
func TestTableDown(t *testing.T) {
	d := deploy(t)
	check(t, step{}, run(t, d.address, firstConfig, strings.Fields("apply -f FILE"+metaFlags)...))
	d.store.SetFaults(standin.PartTable, standin.Faults{Outage: true})
	r := run(t, d.address, "", strings.Fields("drain u1"+metaFlags)...)
	check(t, step{code: ctl.ExitUnavailable, err: []string{"table is down", "nothing was changed"}}, r)
	check(t, step{out: []string{"could not be read: leases"}}, run(t, d.address, "", "status"))
	check(t, step{out: []string{"desk-model"}}, run(t, d.address, "", "list", "--in-force"))
}

// Guards against a command that fails because the first entry refuses connections although the next one is reachable,
// and against a wrong exit code when no entry is reachable.
func TestEntriesAreTriedInTurn(t *testing.T) {
	d := deploy(t)
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	unreachable := closed.Addr().String()
	_ = closed.Close()
	check(t, step{out: []string{"e1"}}, run(t, unreachable, "", "--entry", d.address, "status"))
	r := run(t, unreachable, "", strings.Fields("drain u1"+metaFlags)...)
	check(t, step{code: ctl.ExitUnavailable, err: []string{"no entry of", unreachable}}, r)
}

// pendingOperator responds like an entry with a change that is committed but not accepted by two nodes.
type pendingOperator struct {
	cardamomyokev1connect.UnimplementedOperatorServiceHandler
}

func (pendingOperator) GetOperation(context.Context, *cardamomyokev1.GetOperationRequest) (*cardamomyokev1.GetOperationResponse, error) {
	return &cardamomyokev1.GetOperationResponse{Found: true, Outcome: &cardamomyokev1.Outcome{
		Revision: 4, State: cardamomyokev1.ChangeState_CHANGE_STATE_COMMITTED, Pending: []string{"slot-7", "slot-9"},
	}}, nil
}

// Guards against a pending change that does not name the nodes it waits for.
func TestPendingListsMissingNodes(t *testing.T) {
	mux := http.NewServeMux()
	mux.Handle(cardamomyokev1connect.NewOperatorServiceHandler(pendingOperator{}))
	address := serve(t, nil, mux)
	want := step{code: ctl.ExitPending, err: []string{"revision 4 is committed and pending", "slot-7, slot-9"}}
	check(t, want, run(t, address, "", "operation", "op"))
	want.out = []string{`"pending":["slot-7","slot-9"]`}
	check(t, want, run(t, address, "", "operation", "op", "-o", "json"))
}

// Guards against a lost update: two operators read the same revision, and the second one's change arrives after the first
// one's was committed. It must be refused with ExitConflict, and no part of it applied.
func TestLostRace(t *testing.T) {
	d := deploy(t)
	check(t, step{}, run(t, d.address, firstConfig, strings.Fields("apply -f FILE"+metaFlags)...))
	client := cardamomyokev1connect.NewOperatorServiceClient(http.DefaultClient, "http://"+d.address)
	raced := false
	address := serve(t, nil, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.HasSuffix(r.URL.Path, "/Change") && !raced {
			raced = true
			_, err := client.Act(r.Context(), &cardamomyokev1.ActRequest{
				Meta:   &cardamomyokev1.ChangeMeta{Operator: "ben", Reason: "race", OperationId: "op-ben", BaseRevision: 1},
				Action: &cardamomyokev1.ActRequest_DrainUpstream{DrainUpstream: &cardamomyokev1.DrainUpstream{Upstream: "u1", Drained: true}},
			})
			if err != nil {
				panic(fmt.Sprint("the other operator: ", err))
			}
		}
		forward(d.address, w, r)
	}))
	r := run(t, address, secondConfig, strings.Fields("apply -f FILE"+metaFlags)...)
	check(t, step{code: ctl.ExitConflict, err: []string{"another change was committed first", `"committed_revision":"2"`}}, r)
	check(t, step{out: []string{`"quarantine_s":60`}}, run(t, d.address, "", "list", "policies"))
}

func forward(address string, w http.ResponseWriter, r *http.Request) {
	out := r.Clone(r.Context())
	out.RequestURI = ""
	out.URL.Scheme, out.URL.Host = "http", address
	response, err := http.DefaultTransport.RoundTrip(out)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer func() { _ = response.Body.Close() }()
	for k, v := range response.Header {
		w.Header()[k] = v
	}
	w.WriteHeader(response.StatusCode)
	var body bytes.Buffer
	_, _ = body.ReadFrom(response.Body)
	_, _ = w.Write(body.Bytes())
}
