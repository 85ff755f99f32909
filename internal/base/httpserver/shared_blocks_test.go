package httpserver

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cardamomyoke/cardamomyoke/internal/testing/loopback"
)

// answerOf returns the only right body of a request: its text depends on its name and the position.
func answerOf(name string, size int) []byte {
	line := []byte(fmt.Sprintf("%s:%d;", name, size))
	return bytes.Repeat(line, size/len(line)+1)[:size]
}

// answerSizes are around the size of a block, of minUnreadBytes and of one system call.
var answerSizes = []int{1, 100, blockBytes - 1, blockBytes, blockBytes + 1, minUnreadBytes + 1, 40_000, 300_000, maxBlocksPerWrite*blockBytes + 5}

// mixedAnswer serves /NAME/SIZE/FORM: with a length, in chunks, until the connection's end, or given up in the middle.
func mixedAnswer(_ context.Context, x *Exchange) {
	var name, form string
	var size int
	if _, err := fmt.Sscanf(string(x.Req.URI().Path()), "/%s", &name); err != nil {
		return
	}
	parts := bytes.Split([]byte(name), []byte("/"))
	name, form = string(parts[0]), string(parts[2])
	_, _ = fmt.Sscan(string(parts[1]), &size)
	body := answerOf(name, size)
	ctx := context.Background()
	switch form {
	case "length":
		_ = x.Respond(http.StatusOK, nil, body)
		return
	case "until-close":
		_ = x.RespondUntilClose(ctx, http.StatusOK, nil, body)
		return
	}
	_ = x.Stream(http.StatusOK, nil)
	rng := rand.New(rand.NewPCG(uint64(size), 74))
	for len(body) > 0 {
		n := min(len(body), 1+rng.IntN(20_000))
		if x.Write(ctx, body[:n]) != nil {
			return
		}
		clear(body[:n]) // a piece may be reused after Write
		body = body[n:]
		if form == "given-up" && rng.IntN(3) == 0 {
			return
		}
	}
	_ = x.End()
}

// mixedCaller sends requests on its connections, some of which it reads slowly or resets, and reports each byte that is not its own.
type mixedCaller struct {
	t       *testing.T
	address string
	rng     *rand.Rand
	counts  *mixedCounts
}

type mixedCounts struct{ whole, givenUp, reset atomic.Int64 }

func (m *mixedCaller) connection(name string) {
	c, err := net.Dial("tcp", m.address)
	if err != nil {
		m.t.Error(err)
		return
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(time.Minute))
	r := bufio.NewReader(&slowReader{c, m.rng})
	for i := range 1 + m.rng.IntN(6) {
		size := answerSizes[m.rng.IntN(len(answerSizes))]
		form := []string{"length", "chunks", "chunks", "until-close", "given-up"}[m.rng.IntN(5)]
		own := fmt.Sprintf("%s-%d", name, i)
		if _, err := fmt.Fprintf(c, "GET /%s/%d/%s HTTP/1.1\r\nHost: a\r\n\r\n", own, size, form); err != nil {
			m.t.Errorf("%s: %v", own, err)
			return
		}
		if m.rng.IntN(8) == 0 {
			_, _ = r.Peek(1)
			_ = c.(*net.TCPConn).SetLinger(0)
			m.counts.reset.Add(1)
			return
		}
		if !m.check(r, own, size, form) {
			return
		}
	}
}

// check reads one answer and reports whether the connection may carry another one.
func (m *mixedCaller) check(r *bufio.Reader, own string, size int, form string) bool {
	res, err := http.ReadResponse(r, nil)
	if err != nil {
		m.t.Errorf("%s %d %s: %v", own, size, form, err)
		return false
	}
	got, err := io.ReadAll(res.Body)
	want := answerOf(own, size)
	switch {
	case !bytes.HasPrefix(want, got):
		m.t.Errorf("%s %d %s: got other bytes than those of its answer", own, size, form)
	case err == nil && len(got) < size:
		m.t.Errorf("%s %d %s: looks complete after %d bytes", own, size, form, len(got))
	case err != nil && (form != "given-up" || !errors.Is(err, io.ErrUnexpectedEOF)):
		m.t.Errorf("%s %d %s: cut after %d bytes: %v", own, size, form, len(got), err)
	case err != nil:
		m.counts.givenUp.Add(1)
	default:
		m.counts.whole.Add(1)
	}
	return err == nil && !res.Close && form != "until-close"
}

// slowReader pauses before some reads.
type slowReader struct {
	net.Conn
	rng *rand.Rand
}

func (s *slowReader) Read(p []byte) (int, error) {
	if s.rng.IntN(20) == 0 {
		time.Sleep(time.Duration(s.rng.Int64N(int64(20 * time.Millisecond))))
	}
	return s.Conn.Read(p[:min(len(p), 1+s.rng.IntN(60_000))])
}

// Guards against answers with bytes of other connections, without some of their own, or that never end, while connections share the
// blocks of their outboxes and the bound on unread bytes, and against a count of unread bytes that does not return to zero.
func TestAnswersOfManyConnectionsKeepTheirBytes(t *testing.T) {
	const callers, connections = 60, 12
	for name, limits := range map[string]Limits{
		"no bound on the total": {MaxUnreadBytes: 64 << 10},
		"ample total":           {MaxUnreadBytes: 64 << 10, MaxUnreadTotal: 48 << 20},
		"small total":           {MaxUnreadBytes: 64 << 10, MaxUnreadTotal: 200 << 10},
	} {
		t.Run(name, func(t *testing.T) {
			address := loopback.Address()
			s, err := Start(address, 2, limits, mixedAnswer)
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = s.Stop(context.Background()) }()
			var counts mixedCounts
			var wait sync.WaitGroup
			for i := range callers {
				wait.Go(func() {
					m := &mixedCaller{t, address, rand.New(rand.NewPCG(74, uint64(i))), &counts}
					for j := range connections {
						m.connection(fmt.Sprintf("c%d-%d", i, j))
					}
				})
			}
			wait.Wait()
			waitForBusy(t, s, 0)
			waitForUnread(t, s, 0)
			t.Logf("whole %d, given up by the handler %d, reset by the caller %d", counts.whole.Load(), counts.givenUp.Load(), counts.reset.Load())
		})
	}
}

// Guards against a caller that reads and whose answer stops because others, who read nothing, have left as much unread as all may.
func TestCallerIsServedWhileOthersLeaveAllBytesUnread(t *testing.T) {
	const stalled, size, piece = 40, 1 << 20, 16 << 10
	address := loopback.Address()
	s, err := Start(address, 1, Limits{MaxUnreadBytes: 64 << 10, MaxUnreadTotal: 64 << 10}, func(ctx context.Context, x *Exchange) {
		_ = x.Stream(http.StatusOK, nil)
		endless := string(x.Req.URI().Path()) == "/stalled"
		for n := 0; (endless || n < size) && x.Write(ctx, make([]byte, piece)) == nil; n += piece {
		}
		_ = x.End()
	})
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = s.Stop(context.Background()) }()
	for range stalled {
		c := request(t, address, "/stalled")
		defer func() { _ = c.Close() }()
	}
	for end := time.Now().Add(10 * time.Second); s.unread.Load() <= 64<<10 && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	if n := s.unread.Load(); n <= 64<<10 {
		t.Fatalf("the others have left %d bytes unread", n)
	}
	c := request(t, address, "/reads")
	defer func() { _ = c.Close() }()
	_ = c.SetReadDeadline(time.Now().Add(8 * time.Second)) // less than the default write timeout, which ends the others
	began := time.Now()
	res, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	if n, err := io.Copy(io.Discard, res.Body); n != size || err != nil {
		t.Fatalf("got %d of %d bytes: %v", n, size, err)
	}
	t.Logf("%d bytes in %v", size, time.Since(began))
}

func request(t *testing.T, address, path string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := io.WriteString(c, "GET "+path+" HTTP/1.1\r\nHost: a\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	return c
}
