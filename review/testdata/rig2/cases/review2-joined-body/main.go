// Command review2-joined-body has faulty runners break off some of their answers and send a copy of an earlier answer where the rest is due.
package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cardamomyoke/cardamomyoke/platform/standin"
	"github.com/cardamomyoke/cardamomyoke/review/testdata/rig2/rig"
)

const (
	runners = 3
	// faulty is the number of faulty runners: a share of 0.6 of them, rounded down.
	faulty = 1
	// spoiledShare of the answers of a faulty runner are spoiled, for garbleTime.
	spoiledShare = 0.05
	garbleTime   = 6500 * time.Millisecond
	answerBytes  = 800
	clients      = 12
	playTime     = 9 * time.Second
	work         = 20 * time.Millisecond
	// pause is the time between an answer and the next request of a client.
	pause = 20 * time.Millisecond
	// copyDelay is how long after the broken answer the copy of another one arrives.
	copyDelay = 30 * time.Millisecond
	remaining = 1500 * time.Millisecond
)

var (
	rec    = rig.NewRecord()
	garble atomic.Bool
	sent   sync.Map // the whole body that a runner made, by attempt
	spoilt atomic.Int64
)

func main() {
	defer rig.KillAll()
	store, err := standin.StartStore()
	if err != nil {
		rig.Fail("store: %v", err)
	}
	store.Put("op", "config", rig.Configuration(1, []map[string]any{rig.Route("/hold/", "unsafe", "bridge", false)},
		map[string]any{"name": "bridge", "health_path": "/health", "connection_limit": 100}))
	for i := range runners {
		startRunner(store, fmt.Sprintf("i-%d", i+1), i < faulty)
	}
	list := rig.StartGateways(2, store.Address(), "")
	for _, g := range list {
		if !g.AwaitReady(10 * time.Second) {
			rig.Fail("%s is not ready", g.Name)
		}
	}
	time.Sleep(time.Second)
	garble.Store(rig.Trouble())
	time.AfterFunc(garbleTime, func() { garble.Store(false) })
	var wait sync.WaitGroup
	var wrong, right, other atomic.Int64
	end := time.Now().Add(playTime)
	for c := range clients {
		wait.Go(func() { client(c, list[c%len(list)].Callers, end, &right, &wrong, &other) })
	}
	wait.Wait()
	rec.Logf("spoiled answers %d; successes with the runner's whole body %d, with another body %d; other answers %d", spoilt.Load(), right.Load(), wrong.Load(), other.Load())
	rig.KillAll()
	switch {
	case right.Load() == 0:
		os.Exit(rig.ExitFailed)
	case wrong.Load() > 0:
		rec.Logf("rule broken: MIXED")
		os.Exit(rig.ExitBroken)
	}
	rec.Logf("rule held")
}

// client sends requests on kept connections, one after another.
func client(n int, address string, end time.Time, right, wrong, other *atomic.Int64) {
	var c net.Conn
	var in *bufio.Reader
	for i := 0; time.Now().Before(end); i++ {
		if c == nil {
			var err error
			if c, err = net.DialTimeout("tcp", address, time.Second); err != nil {
				other.Add(1)
				continue
			}
			in = bufio.NewReader(c)
		}
		attempt := fmt.Sprintf("c%d-%d", n, i)
		_ = c.SetDeadline(time.Now().Add(remaining + time.Second))
		_, _ = io.WriteString(c, rig.Request("POST", "/hold/"+attempt, attempt, remaining, "Content-Length: 2")+"hi")
		a := rig.ReadAnswer(in)
		judge(attempt, a, right, wrong, other)
		if a.Err != nil || a.Header.Get("Connection") == "close" {
			_ = c.Close()
			c = nil
		}
		time.Sleep(pause)
	}
}

func judge(attempt string, a rig.Answer, right, wrong, other *atomic.Int64) {
	body, _ := sent.Load(attempt)
	switch {
	case a.Status/100 != 2 || a.Err != nil:
		other.Add(1)
		rec.Logf("%s: %s", attempt, a)
	case a.Body == body:
		right.Add(1)
		rec.Logf("%s: the client gets the whole answer", attempt)
	default:
		wrong.Add(1)
		at := firstDifference(a.Body, body.(string))
		rec.Logf("%s: the client gets %s; from byte %d on it has %.160q, the runner had made %.40q", attempt, a, at, a.Body[at:], body.(string)[at:])
	}
}

func firstDifference(a, b string) int {
	n := 0
	for n < min(len(a), len(b)) && a[n] == b[n] {
		n++
	}
	return n
}

func startRunner(store *standin.Store, id string, isFaulty bool) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		rig.Fail("listen: %v", err)
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go serve(c, id, isFaulty)
		}
	}()
	rig.Register(store, id, "bridge", l.Addr().String(), "ready", 6)
}

// serve answers the requests of one connection, one at a time.
func serve(c net.Conn, id string, isFaulty bool) {
	defer func() { _ = c.Close() }()
	in := bufio.NewReader(c)
	last := ""
	for {
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		if req.URL.Path == "/health" {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nInstance-Id: "+id+"\r\nContent-Length: 0\r\n\r\n")
			continue
		}
		attempt := req.Header.Get("Attempt-Id")
		if req.Header.Get("Expected-Instance") != id {
			_, _ = io.WriteString(c, "HTTP/1.1 421 Misdirected Request\r\nAttempt-Id: "+attempt+"\r\nInstance-Id: "+id+"\r\nContent-Length: 0\r\n\r\n")
			continue
		}
		time.Sleep(work)
		body := bodyOf(id, attempt)
		sent.Store(attempt, body)
		rec.Logf("%s: runner %s has run it", attempt, id)
		answer := fmt.Sprintf("HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nResponse-Seal: %s.seal\r\nContent-Type: text/plain\r\nContent-Length: %d\r\n\r\n%s", attempt, id, len(body), body)
		if isFaulty && garble.Load() && last != "" && rand.Float64() < spoiledShare {
			spoilt.Add(1)
			rec.Logf("%s: runner %s breaks off its answer in the middle of the body and then sends a copy of its answer before", attempt, id)
			_, _ = io.WriteString(c, answer[:len(answer)-answerBytes/2])
			time.Sleep(copyDelay)
			if _, err := io.WriteString(c, last); err != nil {
				return
			}
			continue
		}
		if _, err := io.WriteString(c, answer); err != nil {
			return
		}
		last = answer
	}
}

// bodyOf returns a body that names its attempt in each line.
func bodyOf(id, attempt string) string {
	line := "hold of " + attempt + " by " + id + "; "
	return strings.Repeat(line, answerBytes/len(line)+1)[:answerBytes]
}
