package httpserver

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"sync"

	"github.com/valyala/fasthttp"

	"github.com/cardamomyoke/cardamomyoke/internal/base/failure"
)

var (
	headerEnd  = []byte("\r\n\r\n")
	interimRes = []byte("HTTP/1.1 100 Continue\r\n\r\n")
)

// parsed is what cut found at the start of a connection's bytes.
type parsed struct {
	// req is the whole request, or nil if more bytes are needed.
	req *fasthttp.Request
	// used is how many bytes the request took.
	used int
	// need is how many bytes there must be before another try is worth it.
	need int
	// interim says that the caller waits for "100 Continue" before it sends the body.
	interim bool
}

// cut reads one request from the start of buf. It returns *failure.Error for bytes that can never become one.
func cut(buf []byte, l Limits) (parsed, error) {
	end := bytes.Index(buf, headerEnd)
	if end < 0 && len(buf) > l.MaxHeaderBytes || end > l.MaxHeaderBytes {
		return parsed{}, tooLarge("header", l.MaxHeaderBytes)
	}
	if end < 0 {
		return parsed{need: len(buf) + 1}, nil
	}
	end += len(headerEnd)
	source := &endNoter{Reader: bytes.NewReader(buf)}
	reader := readerFor(source, end)
	defer readers.Put(reader)
	req := fasthttp.AcquireRequest()
	p, err := cutRequest(req, reader, source, end, l)
	if err != nil || p.need > 0 {
		fasthttp.ReleaseRequest(req)
		return p, err
	}
	return parsed{req: req, used: len(buf) - source.Len() - reader.Buffered()}, nil
}

// readers keeps buffers between requests; each holds minReadBuffer bytes or what the largest header so far needed.
var readers = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, minReadBuffer) }}

// readerFor returns a reader whose buffer holds a whole header of the given size.
func readerFor(source io.Reader, header int) *bufio.Reader {
	r := readers.Get().(*bufio.Reader)
	if r.Size() < header {
		r = bufio.NewReaderSize(nil, header)
	}
	r.Reset(source)
	return r
}

// endNoter notes that more bytes were asked for than there are. The parser's own error does not say so in all cases,
// and a request whose rest is still on its way must not be refused as malformed.
type endNoter struct {
	*bytes.Reader
	ended bool
}

// Read implements io.Reader.
func (n *endNoter) Read(p []byte) (int, error) {
	got, err := n.Reader.Read(p)
	if err == io.EOF {
		n.ended = true
	}
	return got, err
}

// minReadBuffer is the smallest buffer that fasthttp's body reader is given, in bytes.
const minReadBuffer = 4096

func cutRequest(req *fasthttp.Request, r *bufio.Reader, source *endNoter, end int, l Limits) (parsed, error) {
	have := int(source.Size())
	if err := req.Header.Read(r); err != nil {
		return parsed{}, failure.New(failure.CodeMalformed, fmt.Errorf("header: %w", err))
	}
	length := req.Header.ContentLength()
	if length > l.MaxBodyBytes {
		return parsed{}, tooLarge("body", l.MaxBodyBytes)
	}
	if length > 0 && have < end+length {
		return parsed{need: end + length, interim: req.MayContinue()}, nil
	}
	err := req.ContinueReadBody(r, l.MaxBodyBytes, false)
	switch {
	case err == nil:
		return parsed{}, nil
	case errors.Is(err, fasthttp.ErrBodyTooLarge) || have > end+2*l.MaxBodyBytes+minReadBuffer:
		return parsed{}, tooLarge("body", l.MaxBodyBytes)
	case source.ended:
		return parsed{need: have + 1, interim: req.MayContinue()}, nil
	}
	return parsed{}, failure.New(failure.CodeMalformed, fmt.Errorf("body: %w", err))
}

func tooLarge(part string, limit int) error {
	e := failure.New(failure.CodeTooLarge, nil)
	e.Field = fmt.Sprintf("%s over %d bytes", part, limit)
	return e
}
