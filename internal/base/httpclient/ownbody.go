package httpclient

import (
	"bufio"
	"bytes"
	"io"
	"time"

	"github.com/valyala/fasthttp"
)

const (
	// maxHeldBytes is how many bytes of a body are held back until it is known whether they are the header of another response.
	maxHeldBytes = 4 << 10
	// arrivedWait is how long bytes that have arrived after a body may take to be read.
	arrivedWait = time.Millisecond
	// restWait is how long the rest of a response may take whose header has begun in a body.
	restWait = 50 * time.Millisecond
)

// suspicion is how much of another response a body contains.
type suspicion int

const (
	// nothing: no status line.
	nothing suspicion = iota
	// statusText: a line with the form of a status line.
	statusText
	// headerText: the whole header of a response.
	headerText
)

// ownBodyReader reads a body with a length or in chunks. It fails with *SecondResponseError where the body is that of another response.
//
// A peer that breaks off a body and sends another response leaves no gap between them: the other one is read as the rest of the body. A
// body may itself contain the text of a response. It is another one if its header has an id that the connection has carried, or if
// bytes are left after the body.
type ownBodyReader struct {
	src  io.Reader
	conn *clientConn
	// readID returns the id of a response; nil if responses have none.
	readID func(*fasthttp.ResponseHeader) string
	// isStream is set if the body is passed on as it arrives. A header with any id is then that of another response: the bytes after the
	// body come too late, and in a stream of events such lines have no meaning.
	isStream bool
	// held was read and not returned. The first cleared bytes of it belong to the body, the rest may begin another response.
	held    []byte
	cleared int
	// err is what follows held.
	err   error
	found suspicion
}

// Read implements io.Reader. Errors: *SecondResponseError, those of src.
func (r *ownBodyReader) Read(p []byte) (int, error) {
	for {
		if r.cleared > 0 {
			n := copy(p, r.held[:r.cleared])
			r.held, r.cleared = r.held[n:], r.cleared-n
			return n, nil
		}
		if r.err != nil {
			return 0, r.err
		}
		n, err := r.src.Read(p)
		if len(r.held) == 0 && statusLineStart(p[:n]) == n {
			if err == io.EOF {
				err = r.end(nil)
			}
			r.err = err
			return n, err
		}
		r.held = append(r.held, p[:n]...)
		r.clear(err)
	}
}

// clear determines how many of the bytes that are held belong to the body, given the error that follows them. What may begin another
// response is dropped if the body has no sound end.
func (r *ownBodyReader) clear(err error) {
	at, second := r.scan()
	switch {
	case second:
		err = &SecondResponseError{}
	case err == io.EOF:
		err = r.end(r.held[at:])
	}
	switch err {
	case nil:
		r.cleared = at
		return
	case io.EOF:
		at = len(r.held)
	}
	r.held, r.cleared, r.err = r.held[:at], at, err
}

// scan returns where another response begins in the bytes that are held, or may begin; second is set if it does.
func (r *ownBodyReader) scan() (at int, second bool) {
	for {
		at += statusLineStart(r.held[at:])
		if at == len(r.held) {
			return at, false
		}
		switch r.judge(r.held[at:]) {
		case otherResponse:
			return at, true
		case undecided:
			return at, false
		}
		at += len(statusLinePrefix)
	}
}

// verdict is what a part of a body is.
type verdict int

const (
	ownText verdict = iota
	undecided
	otherResponse
)

// judge decides about a text that has the beginning of a status line at its beginning.
func (r *ownBodyReader) judge(text []byte) verdict {
	line, fields, whole := bytes.Cut(text, []byte("\n"))
	if !whole {
		return undecidedUpTo(maxStatusLineBytes, text)
	}
	if checkStatusLine(bytes.TrimSuffix(line, []byte("\r"))) != nil {
		return ownText
	}
	r.found = max(r.found, statusText)
	end := bytes.Index(text, sectionEnd)
	if end < 0 {
		if !beginsFields(fields) {
			return ownText
		}
		return undecidedUpTo(maxHeldBytes, text)
	}
	header := text[:end+len(sectionEnd)]
	if checkHeader(header, nil) != nil {
		return ownText
	}
	r.found = headerText
	if r.isOther(header) {
		return otherResponse
	}
	return ownText
}

func undecidedUpTo(limit int, text []byte) verdict {
	if len(text) < limit {
		return undecided
	}
	return ownText
}

// beginsFields reports whether the complete lines of a text are fields.
func beginsFields(text []byte) bool {
	var f fieldCheck
	for {
		line, rest, whole := bytes.Cut(text, []byte("\n"))
		if !whole {
			return true
		}
		if f.line(bytes.TrimSuffix(line, []byte("\r"))) != nil {
			return false
		}
		text = rest
	}
}

// isOther reports whether a header in the body is that of another response.
func (r *ownBodyReader) isOther(header []byte) bool {
	if r.readID == nil {
		return false
	}
	var h fasthttp.ResponseHeader
	if h.Read(bufio.NewReader(bytes.NewReader(header))) != nil {
		return false
	}
	id := r.readID(&h)
	return id != "" && (r.isStream || r.conn.hasCarried(id))
}

// end returns what the end of a body means, given its last bytes if they may begin another response: io.EOF if the body is all that
// came, or what follows does not continue a response that began in it.
func (r *ownBodyReader) end(tail []byte) error {
	if r.found == nothing && len(tail) == 0 {
		return io.EOF
	}
	wait := arrivedWait
	if r.found == headerText || len(tail) >= len(statusLinePrefix) {
		wait = restWait // the response has begun, so that its rest must follow
	}
	rest := r.conn.peekWithin(wait, 1)
	switch {
	case len(rest) == 0:
		return io.EOF
	case r.found > nothing || r.continues(tail, rest):
		return &SecondResponseError{}
	}
	return io.EOF
}

// continues reports whether the bytes that follow a body continue a status line that began in its last bytes.
func (r *ownBodyReader) continues(tail, rest []byte) bool {
	for {
		text := append(bytes.Clone(tail), rest...)
		line, _, whole := bytes.Cut(text, []byte("\n"))
		switch {
		case whole:
			return checkStatusLine(bytes.TrimSuffix(line, []byte("\r"))) == nil
		case len(text) >= maxStatusLineBytes || !bytes.HasPrefix(text, []byte(statusLinePrefix)[:min(len(text), len(statusLinePrefix))]):
			return false
		}
		more := r.conn.peekWithin(restWait, len(rest)+1)
		if len(more) == len(rest) {
			return len(text) >= len(statusLinePrefix)
		}
		rest = more
	}
}

// peekWithin returns the bytes that have arrived, without reading them, and waits until they are n or the time has passed.
func (c *clientConn) peekWithin(d time.Duration, n int) []byte {
	if c.reader.Buffered() < n {
		end := c.startPatience(d)
		_, _ = c.reader.Peek(n)
		end()
	}
	arrived, _ := c.reader.Peek(c.reader.Buffered())
	return arrived
}

// statusLineStart returns where the first status line may begin, the length of the text if none does.
func statusLineStart(text []byte) int {
	if at := bytes.Index(text, []byte(statusLinePrefix)); at >= 0 {
		return at
	}
	for size := min(len(text), len(statusLinePrefix)-1); size > 0; size-- {
		if bytes.HasSuffix(text, []byte(statusLinePrefix[:size])) {
			return len(text) - size
		}
	}
	return len(text)
}
