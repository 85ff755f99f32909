package keys_test

import (
	"context"
	"crypto/tls"
	"errors"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/go-kit/log"

	"github.com/cardamomyoke/cardamomyoke/internal/base/keys"
	"github.com/cardamomyoke/cardamomyoke/internal/base/keys/keystest"
	cardamomyokev1 "github.com/cardamomyoke/cardamomyoke/internal/gen/cardamomyoke/v1"
	"github.com/cardamomyoke/cardamomyoke/internal/gen/cardamomyoke/v1/cardamomyokev1connect"
)

// unimplementedServices responds to every authorized call with the code unimplemented.
type unimplementedServices struct {
	cardamomyokev1connect.UnimplementedOperatorServiceHandler
	cardamomyokev1connect.UnimplementedRevisionServiceHandler
}

// serve runs a node's control port with both services and returns its URL. Authorized calls return the code
// unimplemented.
func serve(t *testing.T, source *keys.Source) string {
	mux := http.NewServeMux()
	mux.Handle(cardamomyokev1connect.NewOperatorServiceHandler(unimplementedServices{}, connect.WithInterceptors(keys.Interceptor{})))
	mux.Handle(cardamomyokev1connect.NewRevisionServiceHandler(unimplementedServices{}))
	mux.HandleFunc("GET /healthz", func(http.ResponseWriter, *http.Request) {})
	srv := httptest.NewUnstartedServer(keys.Authorize(mux))
	srv.Config.ErrorLog = nil
	srv.Listener = tls.NewListener(srv.Listener, source.Server())
	srv.Start()
	t.Cleanup(func() {
		srv.CloseClientConnections()
		srv.Close()
	})
	return "https://" + srv.Listener.Addr().String()
}

func meta(name string) *cardamomyokev1.ChangeMeta { return &cardamomyokev1.ChangeMeta{Operator: name} }

type client struct {
	cardamomyokev1connect.OperatorServiceClient
	nodes cardamomyokev1connect.RevisionServiceClient
}

func dial(t *testing.T, url string, s keys.Settings) client {
	c := keystest.Load(t, s).HTTPClient()
	t.Cleanup(c.CloseIdleConnections)
	return client{cardamomyokev1connect.NewOperatorServiceClient(c, url), cardamomyokev1connect.NewRevisionServiceClient(c, url)}
}

// calls holds a call of each kind that the roles distinguish, and a change under another operator's name.
var calls = map[string]func(context.Context, client) error{
	"list": func(ctx context.Context, c client) error {
		_, err := c.List(ctx, &cardamomyokev1.ListRequest{})
		return err
	},
	"watch": func(ctx context.Context, c client) error {
		s, err := c.Watch(ctx, &cardamomyokev1.WatchRequest{})
		if err != nil {
			return err
		}
		s.Receive()
		return s.Err()
	},
	"change": func(ctx context.Context, c client) error {
		_, err := c.Change(ctx, &cardamomyokev1.ChangeRequest{Meta: meta("ana")})
		return err
	},
	"change as another": func(ctx context.Context, c client) error {
		_, err := c.Change(ctx, &cardamomyokev1.ChangeRequest{Meta: meta("ben")})
		return err
	},
	"drain": func(ctx context.Context, c client) error {
		_, err := c.Act(ctx, &cardamomyokev1.ActRequest{Meta: meta("ana"), Action: &cardamomyokev1.ActRequest_DrainUpstream{}})
		return err
	},
	"force": func(ctx context.Context, c client) error {
		_, err := c.Act(ctx, &cardamomyokev1.ActRequest{Meta: meta("ana"), Action: &cardamomyokev1.ActRequest_RemoveNodes{
			RemoveNodes: &cardamomyokev1.RemoveNodes{},
		}})
		return err
	},
	"push": func(ctx context.Context, c client) error {
		_, err := c.nodes.Push(ctx, &cardamomyokev1.PushRequest{})
		return err
	},
}

func TestRoles(t *testing.T) {
	ca := keystest.New(t)
	url := serve(t, keystest.Load(t, ca.Issue("e1", keys.RoleNode)))
	for role, allowed := range map[keys.Role]string{
		keys.RoleRead:   "list watch",
		keys.RoleChange: "list watch change drain",
		keys.RoleForce:  "list watch change drain force",
		keys.RoleNode:   "push",
		"nobody":        "",
	} {
		c := dial(t, url, ca.Issue("ana", role))
		for name, call := range calls {
			err := call(t.Context(), c)
			want := connect.CodePermissionDenied
			if strings.Contains(" "+allowed+" ", " "+name+" ") {
				want = connect.CodeUnimplemented
			}
			if connect.CodeOf(err) != want {
				t.Errorf("%s by %s: got %v, want %v", name, role, err, want)
			}
		}
	}
}

// Guards against a call that succeeds with no certificate, one of another authority or an expired one, and against an
// operator that impersonates a node and receives requests meant for it.
//
// The node refuses a certificate only after the caller has sent it. A caller that is writing its request at that time
// may find the connection closed before it reads the reason: it then sees a network error, never a response of the
// handler.
func TestInvalidCertificatesAreRefused(t *testing.T) {
	ca := keystest.New(t)
	good := ca.Issue("ana", keys.RoleForce)
	node := ca.Issue("e1", keys.RoleNode)
	url := serve(t, keystest.Load(t, node))
	expired := ca.Issue("ana", keys.RoleForce)
	ca.IssueTo(expired, "ana", -time.Minute, keys.RoleForce)
	other := keystest.New(t).Issue("ana", keys.RoleForce)
	other.CA = node.CA // the caller trusts the node, but the node must not trust the caller
	for name, s := range map[string]keys.Settings{"another authority": other, "expired": expired} {
		if err := calls["list"](t.Context(), dial(t, url, s)); !refused(err) {
			t.Errorf("%s: got %v", name, err)
		}
	}
	plain := &http.Client{Transport: &http.Transport{TLSClientConfig: &tls.Config{InsecureSkipVerify: true}}}
	if r, err := plain.Get(url + "/healthz"); err == nil {
		t.Errorf("without a certificate: got %v", r.Status)
	}
	if err := calls["list"](t.Context(), dial(t, url, good)); connect.CodeOf(err) != connect.CodeUnimplemented {
		t.Errorf("valid certificate: got %v", err)
	}
	var role *keys.RoleError
	impostor := serve(t, keystest.Load(t, good))
	if err := calls["push"](t.Context(), dial(t, impostor, node)); !errors.As(err, &role) {
		t.Errorf("an operator impersonating a node: got %v", err)
	}
}

// Guards against downtime when the authority is replaced while the process runs. While the certificate is new and its
// key still old, the old pair must stay in use. After that, certificates of the new authority must work without a
// restart, and old ones must be refused.
func TestReload(t *testing.T) {
	old, next := keystest.New(t), keystest.New(t)
	files := old.Issue("e1", keys.RoleNode)
	source := keystest.Load(t, files)
	url := serve(t, source)
	before := old.Issue("ana", keys.RoleRead)
	after := next.Issue("ana", keys.RoleRead)
	list := func(s keys.Settings, want connect.Code) {
		t.Helper()
		if err := calls["list"](t.Context(), dial(t, url, s)); connect.CodeOf(err) != want {
			t.Fatalf("got %v, want %v", err, want)
		}
	}
	list(before, connect.CodeUnimplemented)
	oldKey, err := os.ReadFile(files.Key)
	if err != nil {
		t.Fatal(err)
	}
	next.IssueTo(files, "e1", time.Hour, keys.RoleNode)
	newKey, err := os.ReadFile(files.Key)
	if err != nil {
		t.Fatal(err)
	}
	write(t, files.Key, oldKey)
	source.Reload()
	list(before, connect.CodeUnimplemented)
	write(t, files.Key, newKey)
	source.Reload()
	list(after, connect.CodeUnimplemented)
	list(before, connect.CodeUnavailable)
}

func write(t *testing.T, file string, text []byte) {
	t.Helper()
	if err := os.WriteFile(file, text, 0o600); err != nil {
		t.Fatal(err)
	}
}

func TestSettings(t *testing.T) {
	complete := keystest.New(t).Issue("e1", keys.RoleNode)
	if s, err := keys.Load(keys.Settings{}, log.NewNopLogger()); s != nil || err != nil {
		t.Fatalf("no settings: %v, %v", s, err)
	}
	if err := complete.Check(); err != nil {
		t.Fatal(err)
	}
	partial := complete
	partial.Key = ""
	if err := partial.Check(); err == nil {
		t.Fatal("settings without a key were accepted")
	}
	var file *keys.FileError
	swapped := complete
	swapped.Certificate, swapped.Key = complete.Key, complete.Certificate
	if _, err := keys.Load(swapped, log.NewNopLogger()); !errors.As(err, &file) {
		t.Fatalf("swapped files: %v", err)
	}
}

// refused reports whether a call failed without a response because the node closed the connection.
func refused(err error) bool {
	if connect.IsWireError(err) {
		return false
	}
	return connect.CodeOf(err) == connect.CodeUnavailable || errors.Is(err, syscall.EPIPE) || errors.Is(err, syscall.ECONNRESET)
}
