package httpclient

import (
	"bufio"
	"bytes"
	"io"
	"regexp"
	"slices"
	"strconv"
	"strings"

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

// fieldCheck checks the lines of a header or a trailer section (RFC 9110, section 5; RFC 9112, sections 5 and 6).
type fieldCheck struct {
	// single are names of fields that may occur once, besides framingFields.
	single              []string
	isHTTP10, isTrailer bool
	// seen has the fields that decide, by their name in lower case.
	seen map[string]string
	// last is the name of the latest field.
	last string
}

// Fields that frame the body occur once; of those that tell what it is, fasthttp and others take different ones if their values differ.
var (
	framingFields = []string{"content-length", "transfer-encoding"}
	contentFields = []string{"content-type", "content-encoding"}
)

// section checks lines that end with an empty one. Errors: *MalformedError.
func (f *fieldCheck) section(lines []byte) error {
	for {
		line, rest, found := bytes.Cut(lines, []byte("\n"))
		line = bytes.TrimSuffix(line, []byte("\r"))
		if len(rest) == 0 && len(line) == 0 && found {
			return f.framing()
		}
		if err := f.line(line); err != nil {
			return err
		}
		lines = rest
	}
}

func (f *fieldCheck) line(line []byte) error {
	if hasStatusLine(line) {
		return malformed(DefectJoined, line)
	}
	if len(line) > 0 && (line[0] == ' ' || line[0] == '\t') {
		return f.folded(line)
	}
	name, value, found := bytes.Cut(line, []byte(":"))
	if !found || !httpguts.ValidHeaderFieldName(string(name)) {
		return malformed(DefectFieldName, line)
	}
	if !httpguts.ValidHeaderFieldValue(string(value)) {
		return malformed(DefectFieldValue, line)
	}
	if f.isTrailer && !httpguts.ValidTrailerHeader(string(name)) {
		return malformed(DefectTrailer, line)
	}
	f.last = string(name)
	if f.isTrailer || !f.decides(f.last) {
		return nil
	}
	return f.record(strings.ToLower(f.last), strings.Trim(string(value), " \t"), line)
}

// folded checks the further line of a value. A field that decides has one line.
func (f *fieldCheck) folded(line []byte) error {
	if f.last == "" {
		return malformed(DefectFieldName, line)
	}
	if f.decides(f.last) || !httpguts.ValidHeaderFieldValue(string(line)) {
		return malformed(DefectFieldValue, line)
	}
	return nil
}

// record keeps the value of a field that decides, and checks that it is the only one.
func (f *fieldCheck) record(name, value string, line []byte) error {
	before, again := f.seen[name]
	if again && (before != value || !hasName(contentFields, name)) {
		return malformed(DefectRepeated, line)
	}
	if f.seen == nil {
		f.seen = map[string]string{}
	}
	f.seen[name] = value
	return nil
}

// decides reports whether a field says what a response is or where it ends.
func (f *fieldCheck) decides(name string) bool {
	return hasName(framingFields, name) || hasName(contentFields, name) || hasName(f.single, name)
}

// framing checks that the fields leave no doubt about the end of the body (RFC 9112, section 6).
func (f *fieldCheck) framing() error {
	length, hasLength := f.seen["content-length"]
	encoding, hasEncoding := f.seen["transfer-encoding"]
	switch {
	case hasLength && hasEncoding:
		return malformed(DefectFraming, []byte("length beside "+encoding))
	case hasLength && !isLength(length):
		return malformed(DefectFraming, []byte(length))
	case hasEncoding && (f.isHTTP10 || !strings.EqualFold(encoding, "chunked")):
		return malformed(DefectFraming, []byte(encoding))
	}
	return nil
}

func hasName(names []string, name string) bool {
	return slices.ContainsFunc(names, func(n string) bool { return strings.EqualFold(n, name) })
}

func isLength(value string) bool {
	_, err := strconv.ParseInt(value, 10, 64)
	return err == nil && isNumber([]byte(value))
}

func isNumber(b []byte) bool {
	for _, c := range b {
		if c < '0' || c > '9' {
			return false
		}
	}
	return true
}

// otherStatus matches the status line of a response within a line. Where a header is cut off, the next response continues its line.
var otherStatus = regexp.MustCompile(`HTTP/1\.[01] [0-9]{3}( |$)`)

func hasStatusLine(line []byte) bool {
	return bytes.Contains(line, []byte(statusLinePrefix)) && otherStatus.Match(line)
}
