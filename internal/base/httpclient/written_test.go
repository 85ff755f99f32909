package httpclient_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/cardamomyoke/cardamomyoke/internal/base/httpclient"
)

// brokenPeer reads some bytes of each connection and then resets it, closes it, stays silent or responds in part. It records the
// targets of the requests that arrived.
func brokenPeer(l net.Listener, arrived *sync.Map, rng *rand.Rand) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		end, size := rng.IntN(4), 100+rng.IntN(40<<10)
		go func() {
			defer func() { _ = c.Close() }()
			b := make([]byte, size)
			n, _ := c.Read(b)
			if fields := strings.Fields(string(b[:n])); len(fields) > 1 {
				arrived.Store(fields[1], true)
			}
			switch end {
			case 0:
				_ = c.(*net.TCPConn).SetLinger(0)
			case 1:
				time.Sleep(60 * time.Millisecond)
			case 2:
				_, _ = c.Write([]byte("HTTP/1.1 20"))
			}
		}()
	}
}

// Guards against an error after written bytes that errors.As takes for a failed dial, the proof that nothing was sent.
func TestErrorAfterWrittenBytesIsNoDialError(t *testing.T) {
	for seed := range uint64(4) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			rng := rand.New(rand.NewPCG(seed, 5904))
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = l.Close() }()
			var arrived sync.Map
			go brokenPeer(l, &arrived, rand.New(rand.NewPCG(seed, 5905)))
			c := httpclient.New(httpclient.Options{SilentAfter: time.Second})
			defer c.Close()
			count := 0
			for i := range 150 {
				target := fmt.Sprint("/a-", i)
				err := sendBroken(c, l.Addr().String(), rng, target)
				time.Sleep(3 * time.Millisecond)
				var dial *httpclient.DialError
				_, has := arrived.Load(target)
				if err == nil || has && errors.As(err, &dial) {
					t.Fatalf("request %d: %v", i, err)
				}
				if has {
					count++
				}
			}
			if count == 0 {
				t.Fatal("no request arrived")
			}
			t.Log("arrived", count)
		})
	}
}

// sendBroken sends a request whose context ends at a random time, by its deadline or by a cancellation with a failed dial as its cause.
func sendBroken(c *httpclient.Client, address string, rng *rand.Rand, target string) error {
	ctx, stop := context.WithTimeout(context.Background(), time.Duration(1+rng.IntN(40))*time.Millisecond)
	defer stop()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	if rng.IntN(2) == 0 {
		timer := time.AfterFunc(time.Duration(rng.IntN(20))*time.Millisecond, func() { cancel(&httpclient.DialError{Address: address}) })
		defer timer.Stop()
	}
	var req fasthttp.Request
	req.Header.SetMethod("POST")
	req.SetRequestURI("http://" + address + target)
	req.SetBodyString(strings.Repeat("b", []int{10, 5 << 10, 300 << 10}[rng.IntN(3)]))
	res, err := c.Do(ctx, address, httpclient.Exchange{
		Request: &req, ID: target, ReadID: func(h *fasthttp.ResponseHeader) string { return string(h.Peek("Attempt-Id")) },
	})
	if err == nil {
		res.Release(false)
	}
	return err
}
