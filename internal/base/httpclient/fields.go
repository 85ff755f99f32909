package httpclient

import (
	"bytes"
	"slices"
	"strconv"
	"strings"

	"golang.org/x/net/http/httpguts"
)

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
