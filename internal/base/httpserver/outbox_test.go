package httpserver

import (
	"bytes"
	"strings"
	"testing"
)

// A caller reads a long stream. One burst outgrows the buffer that is kept; the loop sends the next one while the stream
// goes on. What the loop is sending must not change under it, or the caller gets bytes of later pieces in the place of
// earlier ones.
func TestWhatIsBeingSentDoesNotChange(t *testing.T) {
	var o outbox
	send := func(text string, during string) {
		t.Helper()
		o.add([]byte(text))
		buf := o.take()
		o.add([]byte(during))
		if !bytes.Equal(buf, []byte(text)) {
			t.Fatalf("%.20q was overwritten: %.20q", text, buf)
		}
		o.put(buf)
		if got := o.take(); string(got) != during {
			t.Fatalf("got %.20q, want %.20q", got, during)
		}
	}
	large := strings.Repeat("large", maxSpare)
	for range 3 {
		send("first", "second")
		// The buffer of the large burst is not kept.
		o.add([]byte(large))
		first := o.take()
		o.add([]byte("third"))
		o.put(first)
		second := o.take()
		o.add([]byte("FOURTH"))
		if string(second) != "third" {
			t.Fatalf("third was overwritten: %q", second)
		}
		o.put(second)
		o.take()
	}
}
