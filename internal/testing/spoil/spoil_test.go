package spoil

import (
	"bytes"
	"io"
	"net"
	"testing"
)

const (
	testID   = "Attempt-Id"
	refused  = "HTTP/1.1 421 Misdirected Request\r\n" + testID + ": a\r\nContent-Length: 0\r\n\r\n"
	promised = "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\n" + testID + ": a\r\nContent-Length: 0\r\n\r\n"
	bare     = "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n"
	success  = "HTTP/1.1 200 OK\r\n" + testID + ": a\r\nContent-Length: 0\r\n\r\n"
	busy     = "HTTP/1.1 503 Service Unavailable\r\n" + testID + ": a\r\nContent-Length: 0\r\n\r\n"
)

// recordingConn records what is written.
type recordingConn struct {
	net.Conn
	written bytes.Buffer
}

func (c *recordingConn) Write(p []byte) (int, error) { return c.written.Write(p) }

// answerOn answers a request on the session with the text.
func answerOn(s *Session, text string) {
	s.Request()
	_, _ = io.WriteString(s, text)
	s.Answered()
}

// Guards against refusals that are never sent on another connection, while all tests that play them pass.
func TestRefusalComesFirstOnAnotherConnection(t *testing.T) {
	for _, c := range []struct {
		name, answer, copied, later string
		kind                        Kind
	}{
		{"421", refused, refused, "", CrossedRefusal},
		{"503 with the promise", promised, promised, "", CrossedRefusal},
		{"421 without its id", refused, bare, "", CrossedRefusalBare},
		{"421 that has no id", bare, bare, "", CrossedRefusalBare},
		{"421 at any request", refused, refused, refused, CrossedRefusalLater},
		{"success", success, "", "", CrossedRefusal},
		{"503 without the promise", busy, "", "", CrossedRefusal},
	} {
		t.Run(c.name, func(t *testing.T) {
			script := NewScript(testID, 0, nil)
			first, second := &recordingConn{}, &recordingConn{}
			a, b := script.Session(first), script.Session(second)
			answerOn(a, c.answer)
			script.Add(c.kind, c.kind, c.kind)
			answerOn(a, success)
			answerOn(b, success)
			answerOn(b, success)
			if got, want := first.written.String(), c.answer+success; got != want {
				t.Errorf("on its own connection: got %q, want %q", got, want)
			}
			if got, want := second.written.String(), c.copied+success+c.later+success; got != want {
				t.Errorf("on another connection: got %q, want %q", got, want)
			}
		})
	}
}
