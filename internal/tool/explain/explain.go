// Package explain searches the logs of many processes for operators. It finds the lines that explain the outcome of one
// request, and groups the failed, refused and late requests by cause.
package explain

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/go-logfmt/logfmt"
)

// Names of fields in log lines.
const (
	fieldTime    = "ts"
	fieldNode    = "node"
	fieldMessage = "msg"
	fieldRequest = "request"
	fieldLevel   = "level"
)

// Field is a key and its value in a log line, for keys that have no field in Line.
type Field struct {
	Key   string `json:"key"`
	Value string `json:"value"`
}

// Line is one line of a log.
type Line struct {
	At      time.Time `json:"at"`
	Node    string    `json:"node"`
	Message string    `json:"message"`
	// Request is the id of the request that the line concerns; empty for lines about the process.
	Request string  `json:"request,omitempty"`
	Fields  []Field `json:"fields"`
}

// Get returns a field's value; empty if there is none.
func (l *Line) Get(key string) string {
	for _, f := range l.Fields {
		if f.Key == key {
			return f.Value
		}
	}
	return ""
}

// ReadError reports a line of a log that cannot be read. Line counts from 1.
type ReadError struct {
	Line  int
	Cause error
}

// Error implements error.
func (e *ReadError) Error() string { return fmt.Sprintf("line %d: %v", e.Line, e.Cause) }

// Unwrap returns the cause.
func (e *ReadError) Unwrap() error { return e.Cause }

// maxLineBytes is the maximum length of a line; the line of a decision has a few hundred bytes.
const maxLineBytes = 1 << 20

// Read returns the lines of a log in logfmt. Text before the level, which log collectors add, is dropped. Lines without a
// level are output of other programs and are skipped. Errors: *ReadError.
func Read(r io.Reader) ([]*Line, error) {
	var out []*Line
	in := bufio.NewScanner(r)
	in.Buffer(nil, maxLineBytes)
	number := 0
	for in.Scan() {
		number++
		text := in.Bytes()
		at := bytes.Index(text, []byte(fieldLevel+"="))
		if at < 0 {
			continue
		}
		line, err := parse(text[at:])
		if err != nil {
			return nil, &ReadError{number, err}
		}
		out = append(out, line)
	}
	if err := in.Err(); err != nil {
		return nil, &ReadError{number + 1, err}
	}
	return out, nil
}

func parse(text []byte) (*Line, error) {
	l := &Line{}
	d := logfmt.NewDecoder(bytes.NewReader(text))
	for d.ScanRecord() {
		for d.ScanKeyval() {
			if err := l.setField(string(d.Key()), string(d.Value())); err != nil {
				return nil, err
			}
		}
	}
	return l, d.Err()
}

func (l *Line) setField(key, value string) (err error) {
	switch key {
	case fieldTime:
		l.At, err = time.Parse(time.RFC3339Nano, value)
	case fieldNode:
		l.Node = value
	case fieldMessage:
		l.Message = value
	case fieldRequest:
		l.Request = value
	case fieldLevel:
	default:
		l.Fields = append(l.Fields, Field{key, value})
	}
	return err
}

// ForRequest returns the lines about a request, sorted by time. It adds the lines about the processes and upstreams
// involved that are at most `before` earlier than the request's first line and at most `after` later than its last one,
// and those about the evacuations in force or the parts of prompts that were refused if one of them decided about the request. It
// returns nil if there is no line about the request.
func ForRequest(lines []*Line, request string, before, after time.Duration) []*Line {
	var own []*Line
	nodes, upstreams := map[string]bool{}, map[string]bool{}
	for _, l := range lines {
		if l.Request != request {
			continue
		}
		own = append(own, l)
		nodes[l.Node] = true
		if u := l.Get("upstream"); u != "" {
			upstreams[u] = true
		}
	}
	if len(own) == 0 {
		return nil
	}
	sortByTime(own)
	from, to := own[0].At.Add(-before), own[len(own)-1].At.Add(after)
	if concernsEvacuation(own) {
		own = append(own, evacuationsInForce(lines, nodes, from)...)
	}
	own = append(own, partDecisions(lines, nodes, refusedPart(own), from)...)
	for _, l := range lines {
		if l.Request == "" && nodes[l.Node] && !l.At.Before(from) && !l.At.After(to) && isRelevant(l, upstreams) {
			own = append(own, l)
		}
	}
	sortByTime(own)
	return own
}

// isRelevant reports whether a line about a process may concern a request on these upstreams: it names one of them, or no
// upstream at all.
func isRelevant(l *Line, upstreams map[string]bool) bool {
	u := l.Get("upstream")
	return u == "" || upstreams[u]
}

func sortByTime(lines []*Line) {
	slices.SortStableFunc(lines, func(a, b *Line) int { return a.At.Compare(b.At) })
}

// Cause is a group of requests with the same outcome, code, route and reason.
type Cause struct {
	Outcome string `json:"outcome"`
	Code    string `json:"code"`
	Route   string `json:"route"`
	// Reason is the error's text, with each word that contains a digit replaced by "#".
	Reason string `json:"reason"`
	Count  int    `json:"count"`
	// Example is the id of one of the requests. First and Last are the times of the earliest and latest one.
	Example string    `json:"example"`
	First   time.Time `json:"first"`
	Last    time.Time `json:"last"`
}

// FailuresByCause groups the requests that were refused, failed or late by cause, sorted by descending count.
func FailuresByCause(lines []*Line) []*Cause {
	found := map[string]*Cause{}
	for _, l := range lines {
		outcome := l.Get("outcome")
		if l.Message != messageOutcome || outcome == "answered" || outcome == "" {
			continue
		}
		c := &Cause{Outcome: outcome, Code: l.Get("code"), Route: l.Get("route"), Reason: normalizeReason(l.Get("err")), Example: l.Request, First: l.At, Last: l.At}
		key := strings.Join([]string{c.Outcome, c.Code, c.Route, c.Reason}, "\x00")
		if found[key] == nil {
			found[key] = c
		}
		cause := found[key]
		cause.Count++
		if l.At.Before(cause.First) {
			cause.First = l.At
		}
		if l.At.After(cause.Last) {
			cause.Last = l.At
		}
	}
	out := make([]*Cause, 0, len(found))
	for _, c := range found {
		out = append(out, c)
	}
	slices.SortFunc(out, func(a, b *Cause) int {
		if a.Count != b.Count {
			return b.Count - a.Count
		}
		return strings.Compare(a.Outcome+a.Code+a.Route+a.Reason, b.Outcome+b.Code+b.Route+b.Reason)
	})
	return out
}

// normalizeReason replaces each word that contains a digit with "#", since ids, addresses, times and counts differ between
// requests with the same cause.
func normalizeReason(text string) string {
	words := strings.Fields(text)
	for i, w := range words {
		if strings.ContainsAny(w, "0123456789") {
			words[i] = "#"
		}
	}
	return strings.Join(words, " ")
}
