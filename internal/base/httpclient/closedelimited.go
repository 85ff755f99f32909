package httpclient

import (
	"bytes"
	"io"
	"net/http"
	"regexp"
	"strconv"
	"strings"
	"unicode/utf8"
)

// SecondResponseError reports that a body contains another response, or the beginning of one.
//
// A peer or a link that sends a response twice is otherwise noticed by the bytes after the body. A body that ends with its connection
// has no end before that, and one that was cut off is filled up, so that the other response would be taken for a part of it.
type SecondResponseError struct{}

// Error implements error.
func (*SecondResponseError) Error() string {
	return "body contains another response"
}

// statusLine matches the status line of a response. Text in JSON or in an event has no carriage return.
var statusLine = regexp.MustCompile(`HTTP/1\.[01] [1-5][0-9]{2}[^\r\n]{0,64}\r\n`)

const (
	// statusLinePrefix begins each status line.
	statusLinePrefix = "HTTP/1."
	// maxStatusLineBytes is the length in bytes of the longest text that statusLine matches.
	maxStatusLineBytes = len(statusLinePrefix) + 5 + 64*utf8.UTFMax + 2
)

// untilCloseReader reads a body to the end of its connection.
type untilCloseReader struct {
	src      io.Reader
	response *Response
}

// Read implements io.Reader. Errors: *UnwrittenRequestError, those of the connection.
func (r *untilCloseReader) Read(p []byte) (int, error) {
	n, err := r.src.Read(p)
	if err == io.EOF {
		err = r.response.written.bodyEnd()
	}
	return n, err
}

// closeDelimitedReader reads a body that ends with its connection. It fails with *SecondResponseError where another response
// begins.
type closeDelimitedReader struct {
	src io.Reader
	// recent holds the last bytes that were read, at most maxStatusLineBytes, in which a status line may have begun.
	recent []byte
}

// Read implements io.Reader. Errors: *SecondResponseError, those of src.
func (r *closeDelimitedReader) Read(p []byte) (int, error) {
	n, err := r.src.Read(p)
	across := append(r.recent, p[:min(n, maxStatusLineBytes)]...)
	if at := statusLine.FindIndex(across); at != nil {
		return max(0, at[0]-len(r.recent)), &SecondResponseError{}
	}
	if at := statusLine.FindIndex(p[:n]); at != nil {
		return at[0], &SecondResponseError{}
	}
	r.keep(p[:n])
	if err == io.EOF && endsInStatusLine(r.recent) {
		begun := len(r.recent) - bytes.LastIndex(r.recent, []byte(statusLinePrefix))
		return max(0, n-begun), &SecondResponseError{}
	}
	return n, err
}

// keep adds the end of a part of the body to the recent bytes.
func (r *closeDelimitedReader) keep(part []byte) {
	part = part[max(0, len(part)-maxStatusLineBytes):]
	r.recent = append(r.recent, part...)
	r.recent = append(r.recent[:0], r.recent[max(0, len(r.recent)-maxStatusLineBytes):]...)
}

// endsInStatusLine reports whether b ends with the beginning of a status line, as a second response that was cut off leaves it.
// Text after the status that is not the status's own does not count, so that a body about HTTP is not taken for two responses.
func endsInStatusLine(b []byte) bool {
	begin := bytes.LastIndex(b, []byte(statusLinePrefix))
	if begin < 0 {
		return false
	}
	tail := string(b[begin:])
	for _, version := range []string{"0", "1"} {
		for status := range maxStatus + 1 {
			line := statusLinePrefix + version + " " + strconv.Itoa(status) + " " + http.StatusText(status) + "\r"
			if status >= http.StatusContinue && strings.HasPrefix(line, tail) {
				return true
			}
		}
	}
	return false
}

// maxStatus is the largest status of HTTP.
const maxStatus = 599
