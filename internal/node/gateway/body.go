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
	// mediumBodyBytes is how much of a body is buffered with a first reservation of memory.
	mediumBodyBytes = 64 << 10
	// unreservedBytes is how much of a body or of an event is buffered without a reservation.
	unreservedBytes = 8 << 10
	// bufferFactor is how much memory a buffer takes at most while it grows, as a multiple of its content.
	bufferFactor = 3
	// bufferMemoryShare is the inverse of the share of the process's memory that buffers beyond unreservedBytes may take.
	bufferMemoryShare = 6
	// maxUnreadBytes is how many bytes of a response wait in this process for a caller that reads slowly.
	maxUnreadBytes = 64 << 10
	// unreadMemoryShare is the inverse of the share of the process's memory that such bytes of all responses may take.
	unreadMemoryShare = 6
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

// bufferMemory bounds the memory of the buffers of bodies and events beyond unreservedBytes. It is safe for concurrent use.
type bufferMemory struct{ used atomic.Int64 }

// reservation is the part of a bufferMemory that one buffer has. free must be called once it is no longer used.
type reservation struct {
	memory *bufferMemory
	limit  int64
	bytes  int64
}

// reservation returns an empty reservation, given the process's memory in bytes.
func (m *bufferMemory) reservation(processBytes int64) *reservation {
	limit := processBytes / bufferMemoryShare
	if limit <= 0 {
		limit = defaultBufferMemory
	}
	return &reservation{memory: m, limit: limit}
}

// grow reports whether the buffer may hold size bytes.
func (r *reservation) grow(size int) bool {
	more := bufferFactor*int64(size) - r.bytes
	if more <= 0 {
		return true
	}
	if r.memory.used.Add(more) > r.limit {
		r.memory.used.Add(-more)
		return false
	}
	r.bytes += more
	return true
}

func (r *reservation) free() { r.shrink(0) }

// shrink reduces the reservation to a buffer that does not grow any more, given its size in bytes.
func (r *reservation) shrink(size int) {
	less := r.bytes - int64(size)
	if less <= 0 {
		return
	}
	r.memory.used.Add(-less)
	r.bytes -= less
}

// reserveBuffer returns the reservation for a buffer of the request.
func (n *run) reserveBuffer() *reservation {
	return n.g.bufferMemory.reservation(int64(n.g.Settings().Limits.memoryBytes()))
}

// bufferedBody is the buffered part of a body. Its memory must be freed once it is no longer used.
type bufferedBody struct {
	bytes []byte
	// whole is set if this is the complete body.
	whole  bool
	memory *reservation
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

// bufferBody reads up to maxBufferedBytes of a body, or less if there is no memory for more.
func (n *run) bufferBody(res *httpclient.Response) (bufferedBody, error) {
	var buffer bytes.Buffer
	memory := n.reserveBuffer()
	whole, err := fill(&buffer, res.Body, unreservedBytes)
	for _, size := range []int{mediumBodyBytes, maxBufferedBytes} {
		if err != nil || whole || !memory.grow(size) {
			break
		}
		whole, err = fill(&buffer, res.Body, size)
	}
	return bufferedBody{bytes: buffer.Bytes(), whole: whole, memory: memory}, err
}

// fill reads a body until the buffer has one byte more than size, and reports whether the body ended before.
func fill(buffer *bytes.Buffer, body io.Reader, size int) (ended bool, err error) {
	_, err = io.Copy(buffer, io.LimitReader(body, int64(size+1-buffer.Len())))
	return err == nil && buffer.Len() <= size, err
}

// asksElsewhere reports whether another upstream is asked because a body goes on after its buffered part: a request that may be repeated
// need not wait for the end of a body that may have none, unless such bodies are usual for the service. The retry is then reserved.
func (n *run) asksElsewhere(ctx context.Context, b bufferedBody) bool {
	return len(b.bytes) > maxBufferedBytes && n.mayGoElsewhere() && !n.service.longBodies.Usual() && n.hasPlaceElsewhere() && n.reserveRetry(ctx)
}

// hasPlaceElsewhere reports whether another upstream has a place for the request.
func (n *run) hasPlaceElsewhere() bool {
	r := n.dispatchRequest(n.x.Responded())
	r.Exclude = append([]ids.Upstream{n.upstream}, r.Exclude...)
	return n.service.gate.HasPlaceForMoved(r)
}
