package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// Doses of the site arriaga-renta: "applied_late" x 0.35 for 5.5 s, "garble" with how "extra late" share 0.6 and x 0.03 for 5 s.
// The pages say that a late order is carried out 2 to 12 s later.
const (
	lateShare     = 0.35
	minLate       = 2 * time.Second
	maxLate       = 12 * time.Second
	extraShare    = 0.03
	streamEvents  = 20
	eventInterval = 30 * time.Millisecond
)

// rank is the model runner of one rank. The project's stand-in of a group keeps the maps and the passes; the rank answers the
// calls, with the faults that are on.
type rank struct {
	c       *testCase
	id      string
	address string
	// group is the address of the rank in the stand-in of the group.
	group string
	// garbles is set if the rank is one of those that hand out wrong bytes, while the disruption is on.
	garbles bool
	// garble and leave are set while the ranks hand out wrong bytes, and while they leave orders unanswered.
	garble, leave *atomic.Bool

	answers, extras, orders, late atomic.Int64
}

func (r *rank) serve() error {
	l, err := net.Listen("tcp", r.address)
	if err != nil {
		return err
	}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go r.serveConn(conn)
		}
	}()
	r.c.store.Put("servers", r.id, map[string]any{
		"service": modelService, "address": r.address, "zone": zones[0], "version": "v1", "slots": 12, "state": "ready",
		"cold_remaining_ms": 0, "sequence": 1,
	})
	return nil
}

// serveConn serves one request at a time. An extra copy of an answer is sent late: as the next request arrives.
func (r *rank) serveConn(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	in := bufio.NewReader(conn)
	extra := ""
	for {
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		if extra != "" {
			r.extras.Add(1)
			status, _, _ := strings.Cut(extra, "\r\n")
			r.c.rec.line("rank %s sends an extra copy of its last answer (%s) late, as %s %s arrives", r.id, status, req.URL.Path, operation(body))
			if _, err := io.WriteString(conn, extra); err != nil {
				return
			}
			extra = ""
		}
		if strings.HasPrefix(req.URL.Path, "/draft/") {
			if !r.stream(conn, req) {
				return
			}
			continue
		}
		answer := r.control(req, body)
		if answer == "" {
			continue // the order gets no answer
		}
		if _, err := io.WriteString(conn, answer); err != nil {
			return
		}
		r.answers.Add(1)
		if r.garbles && r.garble.Load() && rand.Float64() < extraShare {
			extra = answer
		}
	}
}

// operation names the order in a body.
func operation(body []byte) string {
	var o struct {
		Operation     string
		Version, Step uint64
	}
	if json.Unmarshal(body, &o) != nil {
		return ""
	}
	return fmt.Sprintf("%s version %d step %d", o.Operation, o.Version, o.Step)
}

// control answers a report, a reading of counts or an order; an order that is left unanswered is carried out late.
func (r *rank) control(req *http.Request, body []byte) string {
	if req.URL.Path == "/v1/order" {
		r.orders.Add(1)
		if r.leave.Load() && rand.Float64() < lateShare {
			r.late.Add(1)
			after := minLate + rand.N(maxLate-minLate)
			r.c.rec.line("rank %s leaves %s unanswered and carries it out %.1f s later", r.id, operation(body), after.Seconds())
			time.AfterFunc(after, func() { r.forward(http.MethodPost, "/v1/order", body) })
			return ""
		}
	}
	status, answer := r.forward(req.Method, req.RequestURI, body)
	if req.URL.Path == "/v1/order" {
		r.c.rec.line("rank %s answers %d to %s", r.id, status, operation(body))
	}
	return fmt.Sprintf("HTTP/1.1 %d %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", status, http.StatusText(status), len(answer), answer)
}

func (r *rank) forward(method, target string, body []byte) (int, []byte) {
	req, err := http.NewRequest(method, "http://"+r.group+target, bytes.NewReader(body))
	if err != nil {
		return http.StatusInternalServerError, nil
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return http.StatusInternalServerError, nil
	}
	defer func() { _ = res.Body.Close() }()
	answer, _ := io.ReadAll(res.Body)
	return res.StatusCode, answer
}

// stream runs a request for a draft.
func (r *rank) stream(conn net.Conn, req *http.Request) bool {
	attempt := req.Header.Get("Attempt-Id")
	if want := req.Header.Get("Expected-Instance"); want != "" && want != r.id {
		_, err := fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected Request\r\nAttempt-Id: %s\r\nContent-Length: 0\r\n\r\n", attempt)
		return err == nil
	}
	r.c.ran(attempt, r.id, req.URL.Path)
	_, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\nAttempt-Id: %s\r\nResponse-Seal: %s.seal\r\nWeight-Versions: 1\r\n\r\n", attempt, r.id)
	for i := 1; i <= streamEvents && err == nil; i++ {
		event := fmt.Sprintf("id: %d\ndata: tokens %d\n\n", i, i)
		time.Sleep(eventInterval)
		_, err = fmt.Fprintf(conn, "%x\r\n%s\r\n", len(event), event)
	}
	if err == nil {
		_, err = io.WriteString(conn, "0\r\n\r\n")
	}
	return err == nil
}
