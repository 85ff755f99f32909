package httpclient

import "bytes"

// InvalidStatusError reports a response with a status that none can have.
type InvalidStatusError struct{}

// Error implements error.
func (*InvalidStatusError) Error() string { return "response with status 000" }

var zeroStatus = []byte("000")

// statusIsZero reports whether the response that begins now has the status 000. fasthttp takes 0 for a status that was not set, and
// reports it as 200. Any other error in the status line is left to fasthttp.
func (c *clientConn) statusIsZero() bool {
	line := c.peekStatusLine()
	_, status, found := bytes.Cut(line, []byte(" "))
	status = bytes.TrimLeft(status, " ")
	return found && bytes.HasPrefix(status, zeroStatus)
}

// peekStatusLine returns the first line that is not empty, without reading it; nil if none arrives or fits the buffer.
func (c *clientConn) peekStatusLine() []byte {
	for n := 1; n <= c.reader.Size(); n = c.reader.Buffered() + 1 {
		_, err := c.reader.Peek(n)
		buffered, _ := c.reader.Peek(c.reader.Buffered())
		rest := bytes.TrimLeft(buffered, "\r\n")
		if line, _, found := bytes.Cut(rest, []byte("\n")); found {
			return line
		}
		if err != nil {
			return nil
		}
	}
	return nil
}
