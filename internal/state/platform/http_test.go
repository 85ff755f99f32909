package platform_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/cardamomyoke/cardamomyoke/internal/state/platform"
)

// Guards against a write that counts as done because the platform responded with status 000.
func TestStatusZeroIsNoAcknowledgement(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
				_, _ = io.WriteString(c, "HTTP/1.1 000 Trouble\r\nContent-Length: 2\r\n\r\n{}")
			}
			_ = c.Close()
		}
	}()
	h := platform.NewHTTP(l.Addr().String(), time.Second)
	_, err = h.Commit(context.Background(), platform.Txn{Operation: "op-1"})
	var unknown *platform.UnknownOutcomeError
	if !errors.As(err, &unknown) {
		t.Errorf("commit: got %v", err)
	}
	if err := h.PutObject(context.Background(), "name", nil); !errors.As(err, &unknown) {
		t.Errorf("put object: got %v", err)
	}
}
