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
	headerEnd        = []byte("\r\n\r\n")
	continueResponse = []byte("HTTP/1.1 100 Continue\r\n\r\n")
)

// parseResult is the result of parsing the first request of a connection's buffered bytes.
type parseResult struct {
	// req is the complete request, or nil if more bytes are needed.
	req *fasthttp.Request
	// consumed is the length of the request in bytes.
	consumed int
	// minBytes is how many bytes must be buffered before parsing can make progress.
	minBytes int
	// wantsContinue is set if the caller waits for "100 Continue" before it sends the body.
	wantsContinue bool
}

// parseRequest parses one request from the start of buf. It returns *failure.Error if no further bytes can make buf a
// valid request within the limits.
func parseRequest(buf []byte, l Limits) (parseResult, error) {
	end := bytes.Index(buf, headerEnd)
	if end < 0 && len(buf) > l.MaxHeaderBytes || end > l.MaxHeaderBytes {
		return parseResult{}, tooLarge("header", l.MaxHeaderBytes)
	}
	if end < 0 {
		return parseResult{minBytes: len(buf) + 1}, nil
	}
	end += len(headerEnd)
	source := &eofRecorder{Reader: bytes.NewReader(buf)}
	reader := readerFor(source, end)
	defer readerPool.Put(reader)
	req := fasthttp.AcquireRequest()
	p, err := readRequest(req, reader, source, end, l)
	if err != nil || p.minBytes > 0 {
		fasthttp.ReleaseRequest(req)
		return p, err
	}
	return parseResult{req: req, consumed: len(buf) - source.Len() - reader.Buffered()}, nil
}

// readerPool keeps read buffers between requests. Each has minReadBuffer bytes, or as many as the largest header that
// it was enlarged for.
var readerPool = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, minReadBuffer) }}

// readerFor returns a reader whose buffer fits a header of the given size in bytes.
func readerFor(source io.Reader, header int) *bufio.Reader {
	r := readerPool.Get().(*bufio.Reader)
	if r.Size() < header {
		r = bufio.NewReaderSize(nil, header)
	}
	r.Reset(source)
	return r
}

// eofRecorder records whether the parser tried to read past the buffered bytes. The parser's error does not show this in
// all cases, and a request that has not fully arrived must not be refused as malformed.
type eofRecorder struct {
	*bytes.Reader
	sawEOF bool
}

// Read implements io.Reader.
func (r *eofRecorder) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	if err == io.EOF {
		r.sawEOF = true
	}
	return n, err
}

// minReadBuffer is the size of the smallest buffer passed to fasthttp's body reader, in bytes.
const minReadBuffer = 4096

func readRequest(req *fasthttp.Request, r *bufio.Reader, source *eofRecorder, end int, l Limits) (parseResult, error) {
	have := int(source.Size())
	if err := req.Header.Read(r); err != nil {
		return parseResult{}, failure.New(failure.CodeMalformed, fmt.Errorf("header: %w", err))
	}
	length := req.Header.ContentLength()
	if length > l.MaxBodyBytes {
		return parseResult{}, tooLarge("body", l.MaxBodyBytes)
	}
	if length > 0 && have < end+length {
		return parseResult{minBytes: end + length, wantsContinue: req.MayContinue()}, nil
	}
	err := req.ContinueReadBody(r, l.MaxBodyBytes, false)
	switch {
	case err == nil:
		return parseResult{}, nil
	case errors.Is(err, fasthttp.ErrBodyTooLarge) || have > end+2*l.MaxBodyBytes+minReadBuffer:
		return parseResult{}, tooLarge("body", l.MaxBodyBytes)
	case source.sawEOF:
		return parseResult{minBytes: have + 1, wantsContinue: req.MayContinue()}, nil
	}
	return parseResult{}, failure.New(failure.CodeMalformed, fmt.Errorf("body: %w", err))
}

func tooLarge(part string, limit int) error {
	e := failure.New(failure.CodeTooLarge, nil)
	e.Field = fmt.Sprintf("%s over %d bytes", part, limit)
	return e
}
