package httpserver

import (
	"bytes"
	"strings"
	"testing"
)

// Guards against sending bytes of later pieces in place of earlier ones. A burst of a long stream outgrows the buffer
// kept for reuse, and the stream goes on while the event loop sends the next piece; the buffer that is being sent must
// not be reused.
func TestFlushedBufferIsNotOverwritten(t *testing.T) {
	var o outbox
	send := func(text string, during string) {
		t.Helper()
		o.add([]byte(text))
		buf := o.take()
		o.add([]byte(during))
		if !bytes.Equal(buf, []byte(text)) {
			t.Fatalf("%.20q was overwritten: %.20q", text, buf)
		}
		o.recycle(buf)
		if got := o.take(); string(got) != during {
			t.Fatalf("got %.20q, want %.20q", got, during)
		}
	}
	large := strings.Repeat("large", maxSpare)
	for range 3 {
		send("first", "second")
		// The buffer of the large burst is not kept for reuse.
		o.add([]byte(large))
		first := o.take()
		o.add([]byte("third"))
		o.recycle(first)
		second := o.take()
		o.add([]byte("FOURTH"))
		if string(second) != "third" {
			t.Fatalf("third was overwritten: %q", second)
		}
		o.recycle(second)
		o.take()
	}
}
