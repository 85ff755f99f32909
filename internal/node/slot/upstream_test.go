package slot

import (
	"bufio"
	"io"
	"net"
	"testing"

	"github.com/valyala/fasthttp"

	"github.com/cardamomyoke/cardamomyoke/internal/base/httpclient"
)

// Guards against a request that crashes one engine after the other unsuspected. An engine crashes in mid-stream because
// of it. If the truncated stream did not count as a broken connection, the slot would report a crash during which no
// request ran, and the request would be resumed on another engine.
func TestTruncatedStreamCountsAsBrokenConnection(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		_, _ = bufio.NewReader(c).ReadString('\n')
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\ndata:\r\n")
		_ = c.Close()
	}()
	req := &fasthttp.Request{}
	req.SetRequestURI("/")
	req.Header.SetHost("engine")
	res, err := httpclient.New(httpclient.Options{}).Do(t.Context(), l.Addr().String(), req)
	if err != nil {
		t.Fatal(err)
	}
	defer res.Release(false)
	r := &modelRelay{incoming: &incomingAttempt{}}
	if err := r.relayEvents(t.Context(), res); !isBrokenConnection(err) {
		t.Fatalf("%v does not count as a broken connection", err)
	}
}
