// Package explain finds in the logs of many processes what became of one request, and sums up what went wrong.
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

// Field is one field of a line, beside those that Line names.
type Field struct {
	Key   string `json:"key"`
	Value string `json:"value"`
}

// Line is one line of a log.
type Line struct {
	At      time.Time `json:"at"`
	Node    string    `json:"node"`
	Message string    `json:"message"`
	// Request is the id of the request that the line is about; empty for lines about the process.
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

// ReadError says which line of a log cannot be read.
type ReadError struct {
	Line  int
	Cause error
}

// Error implements error.
func (e *ReadError) Error() string { return fmt.Sprintf("line %d: %v", e.Line, e.Cause) }

// Unwrap returns the cause.
func (e *ReadError) Unwrap() error { return e.Cause }

// maxLine is the longest line that is read, in bytes: a decision's line has some hundred.
const maxLine = 1 << 20

// Read returns the lines of a log in logfmt. Whatever stands before the level, as collectors put there, is left out; lines
// without a level are others' output and are passed over. Errors: *ReadError.
func Read(r io.Reader) ([]*Line, error) {
	var out []*Line
	in := bufio.NewScanner(r)
	in.Buffer(nil, maxLine)
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
			if err := l.set(string(d.Key()), string(d.Value())); err != nil {
				return nil, err
			}
		}
	}
	return l, d.Err()
}

func (l *Line) set(key, value string) (err error) {
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

// Of returns the lines about a request, in order of time, with those about the processes, upstreams and services that took
// part from some time before its first line to some time after its last.
func Of(lines []*Line, request string, before, after time.Duration) []*Line {
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
	for _, l := range lines {
		if l.Request == "" && nodes[l.Node] && !l.At.Before(from) && !l.At.After(to) && concerns(l, upstreams) {
			own = append(own, l)
		}
	}
	sortByTime(own)
	return own
}

// concerns reports whether a line about a process may bear on a request at these upstreams. Lines that name another upstream
// do not.
func concerns(l *Line, upstreams map[string]bool) bool {
	u := l.Get("upstream")
	return u == "" || upstreams[u]
}

func sortByTime(lines []*Line) {
	slices.SortStableFunc(lines, func(a, b *Line) int { return a.At.Compare(b.At) })
}

// Cause is a kind of failure with what shows it.
type Cause struct {
	Outcome string `json:"outcome"`
	Code    string `json:"code"`
	Route   string `json:"route"`
	// Reason is the error's text without ids, addresses and numbers.
	Reason string `json:"reason"`
	Count  int    `json:"count"`
	// Example is the id of one request, First and Last the times of the first and last.
	Example string    `json:"example"`
	First   time.Time `json:"first"`
	Last    time.Time `json:"last"`
}

// Worst sums up the requests that were refused, failed or late, the most frequent first.
func Worst(lines []*Line) []*Cause {
	found := map[string]*Cause{}
	for _, l := range lines {
		outcome := l.Get("outcome")
		if l.Message != "request" || outcome == "answered" || outcome == "" {
			continue
		}
		c := &Cause{Outcome: outcome, Code: l.Get("code"), Route: l.Get("route"), Reason: reasonOf(l.Get("err")), Example: l.Request, First: l.At, Last: l.At}
		key := strings.Join([]string{c.Outcome, c.Code, c.Route, c.Reason}, "\x00")
		if found[key] == nil {
			found[key] = c
		}
		known := found[key]
		known.Count++
		if l.At.Before(known.First) {
			known.First = l.At
		}
		if l.At.After(known.Last) {
			known.Last = l.At
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

// reasonOf replaces each word with a digit by "#": ids, addresses, times and counts differ from request to request.
func reasonOf(text string) string {
	words := strings.Fields(text)
	for i, w := range words {
		if strings.ContainsAny(w, "0123456789") {
			words[i] = "#"
		}
	}
	return strings.Join(words, " ")
}
