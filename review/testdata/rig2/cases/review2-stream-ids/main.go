// Command review2-stream-ids has sound runners number the events of their streams by tokens, so that the ids of some streams do not rise by one.
package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cardamomyoke/cardamomyoke/platform/standin"
	"github.com/cardamomyoke/cardamomyoke/review/testdata/rig2/rig"
)

const (
	runners  = 4
	clients  = 12
	playTime = 15 * time.Second
	// events is the number of events of a stream, eventTime the time between two of them.
	events    = 10
	eventTime = 8 * time.Millisecond
	// oneIn is how many streams there are for each in which an event holds two tokens, the fifth.
	oneIn     = 12
	longEvent = 5
	remaining = 8 * time.Second
	// allowed is how many requests of kept connections a machine may close without an answer.
	allowed = 3
)

var (
	rec    = rig.NewRecord()
	number atomic.Int64
	made   sync.Map // the whole stream that a runner made, by attempt
)

// tally counts how the requests to one gateway ended.
type tally struct{ whole, broken, other atomic.Int64 }

func main() {
	defer rig.KillAll()
	store, err := standin.StartStore()
	if err != nil {
		rig.Fail("store: %v", err)
	}
	store.Put("op", "config", rig.Configuration(1, []map[string]any{rig.Route("/draft/", "streaming", "model", false)},
		map[string]any{"name": "model", "health_path": "/health", "connection_limit": 100}))
	for i := range runners {
		startRunner(store, fmt.Sprintf("i-%d", i+1))
	}
	list := rig.StartGateways(2, store.Address(), "")
	for _, g := range list {
		if !g.AwaitReady(10 * time.Second) {
			rig.Fail("%s is not ready", g.Name)
		}
	}
	time.Sleep(time.Second)
	tallies := make([]tally, len(list))
	var wait sync.WaitGroup
	end := time.Now().Add(playTime)
	for c := range clients {
		i := c % len(list)
		wait.Go(func() { client(c, list[i], end, &tallies[i]) })
	}
	wait.Wait()
	rig.KillAll()
	code, whole := rig.ExitHeld, int64(0)
	for i, g := range list {
		t := &tallies[i]
		rec.Logf("%s: whole streams %d, connections closed in the middle of a stream %d, other answers %d", g.Name, t.whole.Load(), t.broken.Load(), t.other.Load())
		whole += t.whole.Load()
		if t.broken.Load() > allowed {
			code = rig.ExitBroken
		}
	}
	switch {
	case whole == 0:
		code = rig.ExitFailed
	case code == rig.ExitBroken:
		rec.Logf("rule broken: LOST")
	default:
		rec.Logf("rule held")
	}
	os.Exit(code)
}

// client sends streams on kept connections, one after another.
func client(n int, g *rig.Gateway, end time.Time, t *tally) {
	var c net.Conn
	var in *bufio.Reader
	for i := 0; time.Now().Before(end); i++ {
		if c == nil {
			var err error
			if c, err = net.DialTimeout("tcp", g.Callers, time.Second); err != nil {
				t.other.Add(1)
				time.Sleep(50 * time.Millisecond)
				continue
			}
			in = bufio.NewReader(c)
		}
		attempt := fmt.Sprintf("c%d-%d", n, i)
		_ = c.SetDeadline(time.Now().Add(remaining))
		_, _ = io.WriteString(c, rig.Request("POST", "/draft/1", attempt, remaining, "Token-Counts: 10,20", "Content-Length: 2")+"hi")
		a := rig.ReadAnswer(in)
		stream, _ := made.Load(attempt)
		switch {
		case a.Status == http.StatusOK && a.Err == nil && a.Body == stream:
			t.whole.Add(1)
		case a.Status == http.StatusOK && a.Err != nil && !rig.ErrTimeout(a.Err):
			t.broken.Add(1)
			rec.Logf("%s %s: the client gets %s, and the connection is closed after %q; its runner made %q to the end", g.Name, attempt, a, last(a.Body), last(fmt.Sprint(stream)))
		default:
			t.other.Add(1)
			rec.Logf("%s %s: %s", g.Name, attempt, a)
		}
		if a.Err != nil || a.Header.Get("Connection") == "close" {
			_ = c.Close()
			c = nil
		}
	}
}

// last returns the last event of a stream.
func last(stream string) string {
	list := strings.Split(strings.TrimSuffix(stream, "\n\n"), "\n\n")
	return list[len(list)-1]
}

func startRunner(store *standin.Store, id string) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		rig.Fail("listen: %v", err)
	}
	server := &http.Server{Handler: runner(id), ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(l) }()
	rig.Register(store, id, "model", l.Addr().String(), "ready", 12)
}

// runner is a sound runner. The id of an event is the number of tokens so far.
type runner string

// ServeHTTP implements http.Handler.
func (r runner) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	id := string(r)
	if req.URL.Path == "/health" {
		w.Header().Set("Instance-Id", id)
		return
	}
	attempt := req.Header.Get("Attempt-Id")
	w.Header().Set("Attempt-Id", attempt)
	if req.Header.Get("Expected-Instance") != id {
		w.Header().Set("Instance-Id", id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	_, _ = io.Copy(io.Discard, req.Body)
	list := stream(rig.Trouble() && number.Add(1)%oneIn == 0)
	made.Store(attempt, strings.Join(list, ""))
	w.Header().Set("Response-Seal", id+".seal")
	w.Header().Set("Content-Type", "text/event-stream")
	for _, event := range list {
		time.Sleep(eventTime)
		_, _ = io.WriteString(w, event)
		w.(http.Flusher).Flush()
	}
}

// stream returns the events of a stream; if long is set, one of them holds two tokens.
func stream(long bool) []string {
	var list []string
	tokens := 0
	for n := 1; n <= events; n++ {
		tokens++
		text := fmt.Sprintf("token%d", tokens)
		if long && n == longEvent {
			tokens++
			text += fmt.Sprintf(" token%d", tokens)
		}
		list = append(list, fmt.Sprintf("id: %d\ndata: %s\n\n", tokens, text))
	}
	return list
}
