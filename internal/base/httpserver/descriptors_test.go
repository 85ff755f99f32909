package httpserver_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"github.com/cardamomyoke/cardamomyoke/internal/base/httpserver"
)

// Guards against a server that closes all its connections, and accepts no further one, once the process is short of descriptors.
func TestServerOutlastsShortageOfDescriptors(t *testing.T) {
	release := make(chan struct{})
	_, address := start(t, httpserver.Limits{}, func(ctx context.Context, x *httpserver.Exchange) {
		_ = x.Stream(http.StatusOK, nil)
		_ = x.Write(ctx, []byte("begun, "))
		<-release
		_ = x.Write(ctx, []byte("ended"))
		_ = x.End()
	})
	c := dial(t, address)
	_, _ = io.WriteString(c, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	in := bufio.NewReader(c)
	if _, err := in.Peek(1); err != nil {
		t.Fatal(err)
	}
	free := useAllDescriptorsButOne(t)
	if other, err := net.Dial("tcp", address); err == nil { // takes the last descriptor; none is left to accept it
		defer func() { _ = other.Close() }()
	}
	time.Sleep(100 * time.Millisecond)
	free()
	close(release)
	expectBody(t, in, "begun, ended")
}

// Guards against a server that accepts no further connection, for as long as its process runs, after a shortage of descriptors.
func TestServerAcceptsAfterShortageOfDescriptors(t *testing.T) {
	const limit = 2 * time.Second
	server, address := start(t, httpserver.Limits{}, echo)
	free := useAllDescriptorsButOne(t)
	if other, err := net.Dial("tcp", address); err == nil { // takes the last descriptor; none is left to accept it
		defer func() { _ = other.Close() }()
	}
	time.Sleep(100 * time.Millisecond)
	free()
	c, err := net.Dial("tcp", address)
	for began := time.Now(); err != nil && time.Since(began) < limit; c, err = net.Dial("tcp", address) {
		time.Sleep(time.Millisecond)
	}
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	_, _ = io.WriteString(c, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nok")
	expectBody(t, bufio.NewReader(c), "ok")
	ctx, cancel := context.WithTimeout(t.Context(), limit)
	defer cancel()
	if err := server.Stop(ctx); err != nil {
		t.Error(err)
	}
}

// useAllDescriptorsButOne lowers the process's limit on descriptors and opens files up to it, but one. free, or the test's end, reverts both.
func useAllDescriptorsButOne(t *testing.T) (free func()) {
	t.Helper()
	const spare = 64
	var files []*os.File
	var before unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &before); err != nil {
		t.Fatal(err)
	}
	free = func() {
		for _, f := range files {
			_ = f.Close()
		}
		files = nil
		_ = unix.Setrlimit(unix.RLIMIT_NOFILE, &before)
	}
	t.Cleanup(free)
	for f, err := os.Open(os.DevNull); err == nil; f, err = os.Open(os.DevNull) {
		if files = append(files, f); len(files) > 1 {
			continue
		}
		if err := unix.Setrlimit(unix.RLIMIT_NOFILE, &unix.Rlimit{Cur: uint64(f.Fd()) + spare, Max: before.Max}); err != nil {
			t.Fatal(err)
		}
	}
	_ = files[len(files)-1].Close()
	return free
}
