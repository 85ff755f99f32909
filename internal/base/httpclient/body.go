package httpclient

import (
	"errors"
	"io"
	"net/http/httputil"

	"github.com/valyala/fasthttp"
)

// newBody returns a reader of the body after a header; nil if there is none (RFC 9112, section 6.3).
func (c *clientConn) newBody(h *fasthttp.ResponseHeader, isHead bool) io.Reader {
	status := h.StatusCode()
	if isHead || status/100 == 1 || status == fasthttp.StatusNoContent || status == fasthttp.StatusNotModified {
		return nil
	}
	switch length := h.ContentLength(); {
	case length >= 0:
		return &lengthReader{c.reader, length}
	case length == closeDelimited:
		return c.reader
	}
	return &chunksReader{conn: c, chunks: httputil.NewChunkedReader(c.reader)}
}

// lengthReader reads a body with a length.
type lengthReader struct {
	src  io.Reader
	left int
}

// Read implements io.Reader. Errors: io.ErrUnexpectedEOF, those of the connection.
func (r *lengthReader) Read(p []byte) (int, error) {
	if r.left == 0 {
		return 0, io.EOF
	}
	n, err := r.src.Read(p[:min(len(p), r.left)])
	r.left -= n
	switch {
	case r.left == 0:
		return n, io.EOF
	case err == io.EOF:
		return n, io.ErrUnexpectedEOF
	}
	return n, err
}

// chunksReader reads a body in chunks, and the trailer section after it.
type chunksReader struct {
	conn   *clientConn
	chunks io.Reader
	// ended is set once the last chunk was read.
	ended bool
}

// Read implements io.Reader. Errors: *MalformedError, io.ErrUnexpectedEOF, those of the connection.
func (r *chunksReader) Read(p []byte) (int, error) {
	if r.ended {
		return 0, r.end()
	}
	n, err := r.chunks.Read(p)
	switch {
	case err == io.EOF:
		r.ended = true
		if n > 0 {
			return n, nil // the trailer section may come later
		}
		return 0, r.end()
	case err == nil || err == io.ErrUnexpectedEOF || errors.Is(err, r.conn.in.failure):
		return n, err
	}
	return n, malformed(DefectChunks, []byte(err.Error()))
}

// end reads what follows the last chunk.
func (r *chunksReader) end() error {
	if err := r.conn.readTrailer(); err != nil {
		return err
	}
	return io.EOF
}
