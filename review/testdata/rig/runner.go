package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// runner is a stand-in of a model runner or an application server. One address has one incarnation at a time.
type runner struct {
	c       *testCase
	service string
	zone    string
	address string
	// work is how long a request runs.
	work time.Duration
	// bodyBytes is the size of an answer; 0 for a short text.
	bodyBytes int

	mu       sync.Mutex
	id       string
	listener net.Listener
	conns    map[net.Conn]bool
	// extraLate is set while the runner sends its next 421 once more when the next request arrives on that connection.
	extraLate bool
	// answers and extras count its answers and the extra ones.
	answers, extras int
	// born is the start of a runner that keeps its id; zero if each start has a new one. Such a runner is cold for coldStart.
	born     time.Time
	arrivals []time.Time
}

// up starts a new incarnation, which registers itself.
func (r *runner) up(id string) error {
	var l net.Listener
	var err error
	for range 100 {
		if l, err = net.Listen("tcp", r.address); err == nil {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	if err != nil {
		return err
	}
	r.mu.Lock()
	r.id, r.listener, r.conns = id, l, map[net.Conn]bool{}
	r.mu.Unlock()
	r.c.rec.line("runner %s starts at %s", id, r.address)
	go r.accept(l, id)
	return nil
}

// upAndRegister starts a new incarnation and writes its entry a part of a heartbeat later.
func (r *runner) upAndRegister(id string, after time.Duration) error {
	if err := r.up(id); err != nil {
		return err
	}
	time.Sleep(after)
	r.register("ready")
	return nil
}

func (r *runner) register(state string) {
	r.c.rec.line("entry of %s is written: %s", r.id, state)
	entry := map[string]any{
		"service": r.service, "address": r.address, "zone": r.zone, "version": "v1", "slots": 6, "state": state,
		"cold_remaining_ms": 0, "sequence": 1,
	}
	if !r.born.IsZero() {
		entry["born"] = r.born.UnixMilli()
		entry["cold_remaining_ms"] = max(0, coldStart-time.Since(r.born)).Milliseconds()
	}
	r.c.store.Put("servers", r.id, entry)
}

// end closes the listener and all connections of the runner.
func (r *runner) end() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.listener.Close()
	for c := range r.conns {
		_ = c.Close()
	}
	r.c.rec.line("runner %s crashes", r.id)
}

// crash ends the incarnation without a word; its entry goes after three heartbeats of silence.
func (r *runner) crash() {
	r.end()
	id := r.id
	time.AfterFunc(3*heartbeat, func() {
		r.c.rec.line("entry of %s is removed", id)
		r.c.store.Remove("servers", id)
	})
}

const heartbeat = 1200 * time.Millisecond

func (r *runner) accept(l net.Listener, id string) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		r.mu.Lock()
		r.conns[c] = true
		r.mu.Unlock()
		go r.serve(c, id)
	}
}

func (r *runner) serve(c net.Conn, id string) {
	defer func() { _ = c.Close() }()
	in := bufio.NewReader(c)
	extra := ""
	for {
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if _, err := io.ReadAll(req.Body); err != nil {
			return
		}
		if extra != "" {
			r.c.rec.line("runner %s sends its extra answer late, as request %s arrives", id, req.Header.Get("Attempt-Id"))
			if _, err := io.WriteString(c, extra); err != nil {
				return
			}
			extra = ""
		}
		answer, spoiled := r.answer(req, id)
		if spoiled {
			extra = answer
		}
		if _, err := io.WriteString(c, answer); err != nil {
			return
		}
	}
}

// answer runs a request, or rejects it if it is meant for another runner. spoiled is set if the answer comes once more.
func (r *runner) answer(req *http.Request, id string) (text string, spoiled bool) {
	attempt := req.Header.Get("Attempt-Id")
	head := "Attempt-Id: " + attempt + "\r\n"
	if req.URL.Path == "/health" {
		return "HTTP/1.1 200 OK\r\nInstance-Id: " + id + "\r\nContent-Length: 0\r\n\r\n", false
	}
	r.mu.Lock()
	r.answers++
	r.mu.Unlock()
	if want := req.Header.Get("Expected-Instance"); want != "" && want != id {
		r.mu.Lock()
		spoiled = r.extraLate
		r.extraLate = false
		if spoiled {
			r.extras++
		}
		r.mu.Unlock()
		r.c.rec.line("runner %s answers 421 to request %s, which expects %s", id, attempt, want)
		return "HTTP/1.1 421 Misdirected Request\r\n" + head + "Content-Length: 0\r\n\r\n", spoiled
	}
	r.c.ran(attempt, id, req.URL.Path)
	r.mu.Lock()
	r.arrivals = append(r.arrivals, time.Now())
	r.mu.Unlock()
	if r.c.poison != nil && req.URL.Path == poisonPath {
		r.c.poison.crash(r, attempt)
		return "", false
	}
	time.Sleep(r.work)
	body := "answer of " + id
	if r.bodyBytes > 0 {
		body = strings.Repeat("x", r.bodyBytes)
	}
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%sResponse-Seal: %s.seal\r\nServer-Load: 1,0,6\r\nContent-Length: %d\r\n\r\n%s", head, id, len(body), body), false
}
