package httpserver

import "sync"

// Closer names what closed the connection of an answer.
type Closer string

// The values of Closer.
const (
	// ClosedByNone: the connection is still open.
	ClosedByNone Closer = ""
	// ClosedByCaller: the caller closed or reset the connection, or its host did not respond.
	ClosedByCaller Closer = "caller"
	// ClosedByServer: this server closes the connection after the answer.
	ClosedByServer Closer = "server"
	// ClosedByHandler: the handler gave the answer up in the middle.
	ClosedByHandler Closer = "handler"
	// ClosedByTimeout: the caller left the answer unread for too long.
	ClosedByTimeout Closer = "timeout"
	// ClosedByStop: the server stopped.
	ClosedByStop Closer = "stop"
)

// AnswerEnd says how the answer to a request ended at the caller's connection.
type AnswerEnd struct {
	// WrittenBytes is the size of the answer as far as the handler wrote it, head included, DeliveredBytes the part of it that the
	// socket has accepted.
	WrittenBytes, DeliveredBytes int64
	// Ended is set if the handler wrote the answer to its end.
	Ended bool
	// ClosedBy is what closed the connection, or will close it now.
	ClosedBy Closer
}

// Whole reports whether the caller's socket got the whole answer.
func (e AnswerEnd) Whole() bool {
	return e.Ended && e.WrittenBytes > 0 && e.DeliveredBytes == e.WrittenBytes
}

// answer is the accounting of the answer that a connection sends. It is safe for concurrent use.
type answer struct {
	mu      sync.Mutex
	written int64
	// report is called once with the answer's end; nil while the handler runs.
	report func(AnswerEnd)
	ended  bool
	// closedBy is what closed the connection, unsent what the socket had not accepted by then.
	closedBy Closer
	unsent   int64
}

// begin starts the accounting of the next answer. It reports the end of the one before if the caller has sent its next request with
// a number of bytes unsent.
func (a *answer) begin(unsent int64) {
	a.end(ClosedByNone, unsent)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.written, a.report, a.ended = 0, nil, false
}

// wrote adds to what the handler has written.
func (a *answer) wrote(n int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.written += int64(n)
}

// done records that the handler has returned. The end is reported by progress or closed, or now if the connection is closed already.
func (a *answer) done(ended bool, report func(AnswerEnd)) {
	a.mu.Lock()
	a.ended, a.report = ended, report
	closedBy, unsent := a.closedBy, a.unsent
	a.mu.Unlock()
	if closedBy != ClosedByNone {
		a.close(closedBy, unsent)
	}
}

// progress reports the end of an answer whose handler has returned once nothing of it is unsent.
func (a *answer) progress(unsent int64, closes Closer) {
	if unsent == 0 {
		a.end(closes, 0)
	}
}

// close records that the connection is closed with a number of bytes unsent, and reports the end if the handler has returned.
func (a *answer) close(by Closer, unsent int64) {
	a.mu.Lock()
	a.closedBy, a.unsent = by, unsent
	a.mu.Unlock()
	a.end(by, unsent)
}

func (a *answer) end(by Closer, unsent int64) {
	a.mu.Lock()
	report := a.report
	a.report = nil
	e := AnswerEnd{WrittenBytes: a.written, DeliveredBytes: max(0, a.written-unsent), Ended: a.ended, ClosedBy: by}
	a.mu.Unlock()
	if report != nil {
		report(e)
	}
}
