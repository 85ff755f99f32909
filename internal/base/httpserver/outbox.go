package httpserver

import (
	"context"
	"slices"
	"sync"

	"github.com/panjf2000/gnet/v2"
)

const (
	// blockBytes is the size of the blocks in which an outbox keeps bytes.
	blockBytes = 4 << 10
	// maxBlocksPerWrite is how many blocks one system call sends; Linux takes 1024 at most (IOV_MAX).
	maxBlocksPerWrite = 256
)

// block is a part of an outbox. Connections share unused blocks, so that one with nothing to send keeps none.
type block struct {
	data [blockBytes]byte
	size int
}

var blocks = sync.Pool{New: func() any { return &block{} }}

func (b *block) bytes() []byte { return b.data[:b.size] }

// outbox buffers what a request's goroutine writes until the event loop sends it. Pieces that are added while a flush
// is pending join that flush, so that under load a burst of tokens costs one wake-up and one system call in total.
type outbox struct {
	mu sync.Mutex
	// blocks hold the bytes that the event loop has not fetched yet; only the last one may have room.
	blocks   []*block
	bytes    int
	flushing bool
}

// add copies the pieces and reports whether the caller must schedule a flush.
func (o *outbox) add(pieces ...[]byte) (needsFlush bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, p := range pieces {
		o.bytes += len(p)
		for len(p) > 0 {
			b := o.lastBlock()
			n := copy(b.data[b.size:], p)
			b.size += n
			p = p[n:]
		}
	}
	needsFlush = !o.flushing
	o.flushing = true
	return needsFlush
}

// lastBlock returns the last block, which has room.
func (o *outbox) lastBlock() *block {
	if n := len(o.blocks); n > 0 && o.blocks[n-1].size < blockBytes {
		return o.blocks[n-1]
	}
	b := blocks.Get().(*block)
	o.blocks = append(o.blocks, b)
	return b
}

// take returns the buffered bytes. The event loop owns the blocks until it calls recycle.
func (o *outbox) take() []*block {
	o.mu.Lock()
	defer o.mu.Unlock()
	taken := o.blocks
	o.blocks, o.bytes, o.flushing = nil, 0, false
	return taken
}

// size returns how many bytes the event loop has not fetched yet.
func (o *outbox) size() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.bytes
}

// recycle makes blocks available to all connections.
func recycle(list []*block) {
	for _, b := range list {
		b.size = 0
		blocks.Put(b)
	}
}

// write copies the pieces into the outbox. Errors: *ConnectionClosedError.
func (c *conn) write(pieces ...[]byte) error {
	if c.disconnected.Load() {
		return &ConnectionClosedError{"connection closed"}
	}
	for _, p := range pieces {
		c.answer.wrote(len(p))
		c.srv.unread.Add(int64(len(p)))
	}
	if !c.out.add(pieces...) {
		return nil
	}
	if err := c.gc.EventLoop().Execute(context.Background(), c); err != nil {
		c.fetched(c.out.take())
		return &ConnectionClosedError{err.Error()}
	}
	return nil
}

// Run implements gnet.Runnable. It runs on the event loop and sends the contents of the outbox.
func (c *conn) Run(context.Context) error {
	taken := c.out.take()
	defer c.fetched(taken)
	if c.disconnected.Load() {
		return nil
	}
	err := c.send(taken)
	if err != nil {
		return c.gc.Close()
	}
	c.recordUnread(c.gc.OutboundBuffered())
	c.answer.progress(c.unsent(), c.cause())
	if c.ending.Load() && c.continueEnd() == gnet.Close {
		return c.gc.Close()
	}
	return nil
}

// fetched recycles blocks that the event loop has fetched. What the socket did not accept of them is counted by recordUnread.
func (c *conn) fetched(list []*block) {
	for _, b := range list {
		c.srv.unread.Add(-int64(b.size))
	}
	recycle(list)
}

// send writes blocks to the socket. gnet copies the bytes that the socket does not accept.
func (c *conn) send(list []*block) error {
	for _, b := range list {
		c.passed += int64(b.size)
	}
	if len(list) == 1 {
		_, err := c.gc.Write(list[0].bytes())
		return err
	}
	for part := range slices.Chunk(list, maxBlocksPerWrite) {
		pieces := make([][]byte, len(part))
		for i, b := range part {
			pieces[i] = b.bytes()
		}
		if _, err := c.gc.Writev(pieces); err != nil {
			return err
		}
	}
	return nil
}
