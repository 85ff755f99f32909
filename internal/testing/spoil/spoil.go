// Package spoil makes a peer of tests send bytes that are not the answer to the latest request: copies of earlier answers, at once or
// late, whole or cut off, responses to other requests, and heads and bodies without an end.
package spoil

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"slices"
	"strings"
	"sync"
	"time"
)

// Kind is what a peer sends besides, or in place of, its answer to a request.
type Kind string

// Kinds after an answer. Late bytes are sent when the next request has arrived on the connection, before its answer.
const (
	// CopyAtOnce sends the answer twice.
	CopyAtOnce Kind = "copy at once"
	// CopyWhileIdle sends the answer once more some ms later.
	CopyWhileIdle Kind = "copy while idle"
	// CopyLate sends the answer once more, late.
	CopyLate Kind = "copy late"
	// CopySplit is CopyLate in two writes.
	CopySplit Kind = "copy late, split"
	// CopiesLate sends three copies late.
	CopiesLate Kind = "copies late"
	// CopyCut sends the first part of the answer's head late.
	CopyCut Kind = "copy late, cut in its head"
)

// Kinds before an answer.
const (
	// Foreign sends a response to another request first.
	Foreign Kind = "response to another request"
	// ForeignTwo sends responses to two other requests first.
	ForeignTwo Kind = "responses to two other requests"
	// ForeignLong sends a response to another request with a long body first.
	ForeignLong Kind = "long response to another request"
)

// Kinds that break an answer.
const (
	// BrokenName puts a line into the answer's head whose name has a blank.
	BrokenName Kind = "blank in a name"
	// HeadRunsOn cuts the answer in its head and sends the answer before it on the connection.
	HeadRunsOn Kind = "cut in its head, runs on in another answer"
	// BodyRunsOn cuts the answer in its body and sends the answer before it on the connection.
	BodyRunsOn Kind = "cut in its body, runs on in another answer"
)

// Kinds in place of an answer, without an end until the connection is closed.
const (
	HeadLine         Kind = "head of one line"
	HeadLines        Kind = "head of many lines"
	Interim          Kind = "interim responses"
	ForeignBody      Kind = "body of another request"
	ForeignChunks    Kind = "chunks of another request"
	Chunks           Kind = "chunks"
	Length           Kind = "body of a huge length"
	UntilClose       Kind = "body until close"
	Extension        Kind = "chunk extension"
	HeadLineDrops    Kind = "head of one line by drops"
	InterimDrops     Kind = "interim responses by drops"
	ForeignBodyDrops Kind = "body of another request by drops"
	ChunksDrops      Kind = "chunks by drops"
	LengthDrops      Kind = "body of a length by drops"
	Event            Kind = "event"
	EventDrops       Kind = "event by drops"
	Silence          Kind = "nothing"
)

// Kinds before the answer to the first request of a connection, or to any: a refusal that the same process gave earlier on another connection.
const (
	// CrossedRefusal sends it with the id that it bore.
	CrossedRefusal Kind = "refusal of another connection"
	// CrossedRefusalBare sends it without an id.
	CrossedRefusalBare Kind = "refusal of another connection, without its id"
	// CrossedRefusalLater sends it with the id that it bore, also before the answers to later requests.
	CrossedRefusalLater Kind = "refusal of another connection, at any request"
)

// ByDrops reports whether the peer sends the bytes of the kind one by one.
func (k Kind) ByDrops() bool { return strings.HasSuffix(string(k), "by drops") }

// After, Before, Breaking, Crossed and Endless list all kinds.
var (
	After    = []Kind{CopyAtOnce, CopyWhileIdle, CopyLate, CopySplit, CopiesLate, CopyCut}
	Before   = []Kind{Foreign, ForeignTwo, ForeignLong}
	Breaking = []Kind{BrokenName, HeadRunsOn, BodyRunsOn}
	Crossed  = []Kind{CrossedRefusal, CrossedRefusalBare, CrossedRefusalLater}
	Endless  = []Kind{
		HeadLine, HeadLines, Interim, ForeignBody, ForeignChunks, Chunks, Length, UntilClose, Extension,
		HeadLineDrops, InterimDrops, ForeignBodyDrops, ChunksDrops, LengthDrops, Event, EventDrops,
	}
)

const (
	// dropInterval is the time between two bytes of what comes by drops.
	dropInterval = 100 * time.Millisecond
	// idlePause is the time after which CopyWhileIdle sends the copy.
	idlePause = 5 * time.Millisecond
	// maxEndless bounds how long a peer sends, in case nobody closes the connection.
	maxEndless = time.Minute
)

// Script chooses what is sent at each request. It is safe for concurrent use.
type Script struct {
	mu    sync.Mutex
	rng   *rand.Rand
	share float64
	kinds []Kind
	queue []Kind
	// status is the beginning of the status line of answers after which something is sent; empty for all.
	status string
	// idHeader is the name of the header field with the id of a request.
	idHeader string
	played   map[Kind]int
	// breaks draws the requests whose answers are broken; nil for none.
	breaks *rand.Rand
	// refusals are the latest refusals that were sent, for Crossed; the last one is the newest.
	refusals []refusal
	// inherited is the refusal of an earlier script that is sent in their place; empty for none.
	inherited string
}

// refusal is an answer that says that its request did not run, and the session of its connection.
type refusal struct {
	session *Session
	text    string
}

// maxRefusals bounds the refusals that a script keeps.
const maxRefusals = 8

// NewScript returns a script that plays one of the kinds, drawn from rng, at a share of the requests. idHeader is the name of the
// field with a request's id.
func NewScript(idHeader string, share float64, rng *rand.Rand, kinds ...Kind) *Script {
	return &Script{rng: rng, share: share, kinds: kinds, idHeader: idHeader, played: map[Kind]int{}}
}

// Add appends kinds for the next requests.
func (s *Script) Add(kinds ...Kind) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queue = append(s.queue, kinds...)
}

// AlsoBreak breaks an answer at a share of the requests at which no other kind is drawn, drawn from rng.
func (s *Script) AlsoBreak(rng *rand.Rand) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.breaks = rng
}

// OnlyAfter plays kinds after an answer only if its status is the given one.
func (s *Script) OnlyAfter(status int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.status = fmt.Sprintf("HTTP/1.1 %d ", status)
}

// SetShare changes the share of requests at which a kind is drawn.
func (s *Script) SetShare(share float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.share = share
}

// Stop ends the script.
func (s *Script) Stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.share, s.queue = 0, nil
}

// Played returns how often each kind was played.
func (s *Script) Played() map[Kind]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := map[Kind]int{}
	for k, n := range s.played {
		out[k] = n
	}
	return out
}

func (s *Script) next() Kind {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.queue) > 0 {
		first := s.queue[0]
		s.queue = s.queue[1:]
		return first
	}
	switch {
	case s.share == 0:
		return ""
	case s.rng.Float64() < s.share:
		return s.kinds[s.rng.IntN(len(s.kinds))]
	case s.breaks != nil && s.breaks.Float64() < s.share:
		return Breaking[s.breaks.IntN(len(Breaking))]
	}
	return ""
}

func (s *Script) intN(n int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.rng == nil {
		return n / 2
	}
	return s.rng.IntN(n)
}

// breakAt returns where an answer is cut, of n places.
func (s *Script) breakAt(n int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.breaks == nil {
		return n / 2
	}
	return s.breaks.IntN(n)
}

func (s *Script) count(k Kind) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.played[k]++
}

// keepRefusal keeps an answer if it says that its request did not run: a 421, or a 503 with the promise.
func (s *Script) keepRefusal(from *Session, answer string) {
	promised := strings.HasPrefix(answer, "HTTP/1.1 503 ") && strings.Contains(answer, "\r\nNot-Executed: 1\r\n")
	if !promised && !strings.HasPrefix(answer, "HTTP/1.1 421 ") {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refusals = append(s.refusals, refusal{from, answer})
	s.refusals = s.refusals[max(0, len(s.refusals)-maxRefusals):]
}

// Inherit makes the script send the latest refusal of an earlier script, if it has one, in place of its own, as something in front of both
// peers would that keeps their answers.
func (s *Script) Inherit(earlier *Script) {
	earlier.mu.Lock()
	refusals := slices.Clone(earlier.refusals)
	earlier.mu.Unlock()
	if len(refusals) == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inherited = refusals[len(refusals)-1].text
}

// refusalOfAnother returns the inherited refusal, or the newest that was sent on another connection than that of the session; empty if
// there is none.
func (s *Script) refusalOfAnother(session *Session) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.inherited != "" {
		return s.inherited
	}
	for _, r := range slices.Backward(s.refusals) {
		if r.session != session {
			return r.text
		}
	}
	return ""
}

// withoutID returns an answer without the field that has the id of its request.
func (s *Script) withoutID(answer string) string {
	before, rest, found := strings.Cut(answer, "\r\n"+s.idHeader+": ")
	if !found {
		return answer
	}
	_, after, _ := strings.Cut(rest, "\r\n")
	return before + "\r\n" + after
}

func (s *Script) playsAfter(answer string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return strings.HasPrefix(answer, s.status)
}

// Session plays a script on one connection. A nil session plays nothing.
type Session struct {
	script *Script
	conn   net.Conn
	kind   Kind
	late   []string
	sent   strings.Builder
	// requests is the number of requests that have arrived.
	requests int
	// previous is the latest whole answer.
	previous string
}

// Session returns the session of a connection; nil if the script is nil.
func (s *Script) Session(conn net.Conn) *Session {
	if s == nil {
		return nil
	}
	return &Session{script: s, conn: conn}
}

// Request plays what comes before the answer to a request that has arrived. It returns false if Replace is to be called in place of
// the answer.
func (s *Session) Request() bool {
	if s == nil {
		return true
	}
	for _, text := range s.late {
		_, _ = io.WriteString(s.conn, text)
		time.Sleep(time.Millisecond)
	}
	s.late = nil
	s.sent.Reset()
	s.requests++
	s.kind = s.script.next()
	switch s.kind {
	case CrossedRefusal, CrossedRefusalBare, CrossedRefusalLater:
		s.cross()
	case Foreign:
		s.write(s.foreign(20))
	case ForeignTwo:
		s.write(s.foreign(20), s.foreign(0))
	case ForeignLong:
		s.write(s.foreign(100_000))
	}
	return !slices.Contains(Endless, s.kind) && s.kind != Silence
}

// cross sends a refusal of another connection if there is one and the kind plays at this request.
func (s *Session) cross() {
	copied := s.script.refusalOfAnother(s)
	if copied == "" || s.requests > 1 && s.kind != CrossedRefusalLater {
		return
	}
	if s.kind == CrossedRefusalBare {
		copied = s.script.withoutID(copied)
	}
	s.write(copied)
}

func (s *Session) write(texts ...string) {
	s.script.count(s.kind)
	for _, text := range texts {
		_, _ = io.WriteString(s.conn, text)
	}
}

// statuses are those of responses to other requests.
var statuses = []string{"200 OK", "400 Bad Request", "421 Misdirected Request", "429 Too Many Requests", "500 Internal Server Error", "503 Service Unavailable"}

// foreign returns a response to another request, with a promise that it did not run.
func (s *Session) foreign(bytes int) string {
	status := statuses[s.script.intN(len(statuses))]
	return fmt.Sprintf("HTTP/1.1 %s\r\n%s: other\r\nNot-Executed: 1\r\nResponse-Seal: other.seal\r\nServer-Leaving: 1\r\nContent-Length: %d\r\n\r\n%s",
		status, s.script.idHeader, bytes, strings.Repeat("f", bytes))
}

// Write records and sends a part of the answer.
func (s *Session) Write(p []byte) (int, error) {
	if slices.Contains(Breaking, s.kind) && s.sent.Len() == 0 {
		return s.writeBroken(p)
	}
	s.sent.Write(p)
	return s.conn.Write(p)
}

// BrokenOffError reports that the answer was broken off.
type BrokenOffError struct{}

// Error implements error.
func (*BrokenOffError) Error() string { return "answer broken off" }

// writeBroken breaks the first part of an answer.
func (s *Session) writeBroken(p []byte) (int, error) {
	head := bytes.Index(p, []byte("\r\n\r\n"))
	if head < 0 || s.kind != BrokenName && s.previous == "" {
		s.kind = "" // there is nothing to break, or no answer to run on in
		return s.Write(p)
	}
	kind := s.kind
	s.script.count(kind)
	s.sent.Write(p)
	cut := s.script.breakAt(head)
	switch kind {
	case BrokenName:
		_, err := fmt.Fprintf(s.conn, "%s\r\nX Y: v%s", p[:head], p[head:])
		return len(p), err
	case BodyRunsOn:
		cut = head + len("\r\n\r\n") + s.script.breakAt(len(p)-head-len("\r\n\r\n")+1)
	}
	_, _ = fmt.Fprintf(s.conn, "%s%s", p[:cut], s.previous)
	return 0, &BrokenOffError{}
}

// Answered plays what comes after the answer.
func (s *Session) Answered() {
	if s == nil {
		return
	}
	answer := s.sent.String()
	s.previous = answer
	s.script.keepRefusal(s, answer)
	if answer == "" || !s.script.playsAfter(answer) {
		return
	}
	switch s.kind {
	case CopyAtOnce:
		s.write(answer)
	case CopyWhileIdle:
		s.script.count(s.kind)
		conn := s.conn
		time.AfterFunc(idlePause, func() { _, _ = io.WriteString(conn, answer) })
	case CopyLate:
		s.later(answer)
	case CopySplit:
		middle := s.script.intN(len(answer))
		s.later(answer[:middle], answer[middle:])
	case CopiesLate:
		s.later(answer, answer, answer)
	case CopyCut:
		head := strings.Index(answer, "\r\n\r\n")
		s.later(answer[:1+s.script.intN(head)])
	}
}

func (s *Session) later(texts ...string) {
	s.script.count(s.kind)
	s.late = texts
}

// endlessText and endlessChunk are pieces of what has no end.
var (
	endlessText  = strings.Repeat("e", 8<<10)
	endlessChunk = fmt.Sprintf("%x\r\n%s\r\n", len(endlessText), endlessText)
)

// Replace sends what has no end in place of the answer to the request with the id, until the connection is closed.
func (s *Session) Replace(id string) {
	own := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\nResponse-Seal: own.seal\r\n", s.script.idHeader, id)
	other := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: other\r\n", s.script.idHeader)
	text, chunk := endlessText, endlessChunk
	const chunked, huge = "Transfer-Encoding: chunked\r\n\r\n", "Content-Length: 1000000000000\r\n\r\n"
	events := "Content-Type: text/event-stream\r\n" + chunked
	interim := "HTTP/1.1 102 Processing\r\nX: y\r\n\r\n"
	switch s.kind {
	case HeadLine:
		s.repeat("HTTP/1.1 200 OK\r\nX: ", text, 0)
	case HeadLines:
		s.repeat("HTTP/1.1 200 OK\r\n", "X: "+text[:100]+"\r\n", 0)
	case Interim:
		s.repeat("", interim, 0)
	case ForeignBody:
		s.repeat(other+huge, text, 0)
	case ForeignChunks:
		s.repeat(other+chunked, chunk, 0)
	case Chunks:
		s.repeat(own+chunked, chunk, 0)
	case Length:
		s.repeat(own+huge, text, 0)
	case UntilClose:
		s.repeat(own+"\r\n", text, 0)
	case Extension:
		s.repeat(own+chunked+"5;", text, 0)
	case HeadLineDrops:
		s.repeat("HTTP/1.1 200 OK\r\nX: ", "e", dropInterval)
	case InterimDrops:
		s.repeat("", interim, dropInterval)
	case ForeignBodyDrops:
		s.repeat(other+huge, "e", dropInterval)
	case ChunksDrops:
		s.repeat(own+chunked, "1\r\ne\r\n", dropInterval)
	case LengthDrops:
		s.repeat(own+"Content-Length: 100000\r\n\r\n", "e", dropInterval)
	case Event:
		s.repeat(own+events, chunk, 0)
	case EventDrops:
		s.repeat(own+events, "1\r\ne\r\n", dropInterval)
	case Silence:
		s.script.count(s.kind)
		_, _ = io.Copy(io.Discard, s.conn)
	}
}

// repeat sends the head, and then the text with the pause after each time.
func (s *Session) repeat(head, text string, pause time.Duration) {
	s.write(head)
	piece := []byte(text) // once: tests measure the memory of this process, in which many sessions write
	for end := time.Now().Add(maxEndless); time.Now().Before(end); time.Sleep(pause) {
		if _, err := s.conn.Write(piece); err != nil {
			return
		}
	}
}
