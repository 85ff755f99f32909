package httpclient

import (
	"bufio"
	"bytes"
	"io"
	"regexp"

	"github.com/valyala/fasthttp"
	"golang.org/x/net/http/httpguts"
)

// readHeader reads the header that begins now, strictly: fasthttp repairs what is broken in it, and afterwards one cannot tell which of its
// bytes belong to another response.
func (c *clientConn) readHeader(h *fasthttp.ResponseHeader, single []string) error {
	header, err := peekSection(c.reader, checkFirstLine)
	if err != nil {
		return err
	}
	if err := checkHeader(header, single); err != nil {
		return err
	}
	left := c.reader.Buffered() - len(header)
	if err := h.Read(c.reader); err != nil {
		return malformed(DefectHeader, []byte(err.Error()))
	}
	if c.reader.Buffered() != left {
		return malformed(DefectHeader, nil)
	}
	return nil
}

var (
	lineEnd    = []byte("\r\n")
	sectionEnd = []byte("\r\n\r\n")
)

// peekSection returns the bytes up to the first empty line, with it, without reading them. first checks what has arrived as soon as that
// is a line. Errors: *MalformedError, io.ErrUnexpectedEOF, those of the connection.
func peekSection(r *bufio.Reader, first func(arrived []byte) error) ([]byte, error) {
	for {
		arrived, _ := r.Peek(r.Buffered())
		if err := first(arrived); err != nil {
			return nil, err
		}
		if end := bytes.Index(arrived, sectionEnd); end >= 0 {
			return arrived[:end+len(sectionEnd)], nil
		}
		switch _, err := r.Peek(len(arrived) + 1); err {
		case nil:
		case io.EOF:
			return nil, io.ErrUnexpectedEOF
		case bufio.ErrBufferFull:
			return nil, malformed(DefectHeaderSize, nil)
		default:
			return nil, err
		}
	}
}

// checkFirstLine checks the status line as soon as it has arrived.
func checkFirstLine(arrived []byte) error {
	if line, _, found := bytes.Cut(arrived, []byte("\n")); found {
		return checkStatusLine(bytes.TrimSuffix(line, []byte("\r")))
	}
	return nil
}

const (
	http10 = "HTTP/1.0 "
	http11 = "HTTP/1.1 "
	// statusBytes is the length of a status.
	statusBytes = 3
)

// checkStatusLine checks a status line (RFC 9112, section 4). The blank after the status may be missing.
func checkStatusLine(line []byte) error {
	rest, isHTTP11 := bytes.CutPrefix(line, []byte(http11))
	if !isHTTP11 {
		var isHTTP10 bool
		if rest, isHTTP10 = bytes.CutPrefix(line, []byte(http10)); !isHTTP10 {
			return malformed(DefectStatusLine, line)
		}
	}
	if len(rest) < statusBytes || !isNumber(rest[:statusBytes]) {
		return malformed(DefectStatusLine, line)
	}
	reason := rest[statusBytes:]
	if len(reason) > 0 && reason[0] != ' ' || !httpguts.ValidHeaderFieldValue(string(reason)) {
		return malformed(DefectStatusLine, line)
	}
	if hasStatusLine(reason) {
		return malformed(DefectJoined, line)
	}
	return nil
}

// checkHeader checks a header that ends with its empty line. The fields in single may occur once.
func checkHeader(header []byte, single []string) error {
	statusLine, fields, _ := bytes.Cut(header, []byte("\n"))
	f := fieldCheck{single: single, isHTTP10: bytes.HasPrefix(statusLine, []byte(http10))}
	return f.section(fields)
}

// readTrailer reads the trailer section after the last chunk. Its fields are dropped.
func (c *clientConn) readTrailer() error {
	start, err := c.reader.Peek(len(lineEnd))
	switch {
	case err == io.EOF:
		return io.ErrUnexpectedEOF
	case err != nil:
		return err
	case bytes.Equal(start, lineEnd):
		_, err = c.reader.Discard(len(lineEnd))
		return err
	}
	trailer, err := peekSection(c.reader, func([]byte) error { return nil })
	if err != nil {
		return err
	}
	f := fieldCheck{isTrailer: true}
	if err := f.section(trailer); err != nil {
		return err
	}
	_, err = c.reader.Discard(len(trailer))
	return err
}

// otherStatus matches the status line of a response within a line. Where a header is cut off, the next response continues its line.
var otherStatus = regexp.MustCompile(`HTTP/1\.[01] [0-9]{3}( |$)`)

func hasStatusLine(line []byte) bool {
	return bytes.Contains(line, []byte(statusLinePrefix)) && otherStatus.Match(line)
}
