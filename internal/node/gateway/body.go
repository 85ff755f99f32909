package gateway

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"github.com/cardamomyoke/cardamomyoke/internal/base/httpclient"
	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
)

const (
	// maxBufferedBytes bounds the part of a response that is buffered before relaying. A longer response is relayed as it
	// arrives: it can no longer be retried elsewhere, and its caller sees a truncated response if the connection breaks.
	maxBufferedBytes = 1 << 20
	// shortBodyBytes is how much of a body is buffered without a reservation of memory.
	shortBodyBytes = 64 << 10
	// bufferFactor is how much memory a buffer takes at most while it grows, as a multiple of its content.
	bufferFactor = 3
	// bufferMemoryShare is the inverse of the share of the process's memory that buffers of long bodies may take.
	bufferMemoryShare = 6
	// maxUnreadBytes is how many bytes of a response wait in this process for a caller that reads slowly.
	maxUnreadBytes = 64 << 10
	// defaultBufferMemory is the size in bytes of these buffers if the process's memory is not known.
	defaultBufferMemory = 64 << 20
)

// UnfinishedBodyError reports that a body was not complete in the time after which another upstream is asked.
type UnfinishedBodyError struct{ After time.Duration }

// Error implements error.
func (e *UnfinishedBodyError) Error() string {
	return fmt.Sprintf("body is not complete after %v", e.After)
}

// LongBodyError reports that a body goes on beyond what is buffered, and that another upstream is asked.
type LongBodyError struct{ Upstream ids.Upstream }

// Error implements error.
func (e *LongBodyError) Error() string {
	return fmt.Sprintf("body of %s goes on after %d bytes", e.Upstream, maxBufferedBytes)
}

// bufferMemory bounds the memory of the buffers of long bodies. It is safe for concurrent use.
type bufferMemory struct{ used atomic.Int64 }

// reserve reports whether a buffer of maxBufferedBytes may be filled, given the process's memory; free must then be called once.
func (m *bufferMemory) reserve(processBytes int64) bool {
	limit := processBytes / bufferMemoryShare
	if limit <= 0 {
		limit = defaultBufferMemory
	}
	if m.used.Add(bufferFactor*maxBufferedBytes) <= limit {
		return true
	}
	m.free()
	return false
}

func (m *bufferMemory) free() { m.used.Add(-bufferFactor * maxBufferedBytes) }

// bufferedBody is the buffered part of a body. free must be called once it is no longer used.
type bufferedBody struct {
	bytes []byte
	// whole is set if this is the complete body.
	whole bool
	free  func()
}

// readBody reads a body to its end, or the part of it that is buffered. While the request may go elsewhere, the body may take half of
// the time that is left.
func (n *run) readBody(res *httpclient.Response) (bufferedBody, error) {
	if !n.mayGoElsewhere() {
		return n.bufferBody(res)
	}
	limit := time.Until(n.r.deadline) / 2
	stop := res.AbortAfter(limit)
	body, err := n.bufferBody(res)
	stop()
	if err != nil && res.Aborted() {
		err = &UnfinishedBodyError{limit}
	}
	return body, err
}

// bufferBody reads up to maxBufferedBytes of a body, or up to shortBodyBytes if there is no memory for more.
func (n *run) bufferBody(res *httpclient.Response) (bufferedBody, error) {
	b := bufferedBody{free: func() {}}
	var buffer bytes.Buffer
	whole, err := fill(&buffer, res.Body, shortBodyBytes)
	b.bytes, b.whole = buffer.Bytes(), whole
	memory := &n.g.bufferMemory
	if err != nil || b.whole || !memory.reserve(int64(n.g.Settings().Limits.MemoryMB)<<20) {
		return b, err
	}
	b.free = memory.free
	whole, err = fill(&buffer, res.Body, maxBufferedBytes)
	b.bytes, b.whole = buffer.Bytes(), whole
	return b, err
}

// fill reads a body until the buffer has one byte more than size, and reports whether the body ended before.
func fill(buffer *bytes.Buffer, body io.Reader, size int) (ended bool, err error) {
	_, err = io.Copy(buffer, io.LimitReader(body, int64(size+1-buffer.Len())))
	return err == nil && buffer.Len() <= size, err
}

// asksElsewhere reports whether another upstream is asked because a body goes on after its buffered part: a request that may be repeated
// need not wait for the end of a body that may have none, unless such bodies are usual for the service. The retry is then reserved.
func (n *run) asksElsewhere(ctx context.Context, b bufferedBody) bool {
	return len(b.bytes) > maxBufferedBytes && n.mayGoElsewhere() && !n.service.longBodies.Usual() && n.reserveRetry(ctx)
}
