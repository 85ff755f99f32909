package gateway

import (
	"bytes"
	"context"
	"errors"
	"io"
	"time"

	"github.com/cardamomyoke/cardamomyoke/internal/base/httpclient"
	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
	"github.com/cardamomyoke/cardamomyoke/internal/policy/dispatch"
	"github.com/cardamomyoke/cardamomyoke/internal/policy/notrun"
	"github.com/cardamomyoke/cardamomyoke/internal/policy/retry"
)

// successor is an attempt that goes on with a stream where another one has left it. It has sent its first event, or the end.
type successor struct {
	service  *service
	ticket   *dispatch.Ticket
	placedAt time.Time
	res      *httpclient.Response
	info     ResponseInfo
	// received is what was read of the body; ended is set if that is all of it.
	received []byte
	ended    bool
	// cancel closes the connection.
	cancel context.CancelFunc
}

// body returns the whole body.
func (s *successor) body() io.Reader {
	if s.ended {
		return bytes.NewReader(s.received)
	}
	return io.MultiReader(bytes.NewReader(s.received), s.res.Body)
}

// discard gives the successor up.
func (s *successor) discard() {
	s.cancel()
	s.res.Release(false)
	s.service.gate.Done(s.ticket, dispatch.OutcomeNone)
}

// NoPlaceError reports that no upstream has a place for a successor.
type NoPlaceError struct{}

// Error implements error.
func (*NoPlaceError) Error() string { return "no other upstream has a free place" }

// NoRetryError reports that no retry is left for a successor.
type NoRetryError struct{}

// Error implements error.
func (*NoRetryError) Error() string { return "no retry is left" }

// resumePoint is where a successor goes on.
type resumePoint struct {
	lastEvent string
	begun     bool
	ids       idSequence
}

// beginHandover begins to pass the attempt on to another upstream, and reports whether it did.
func (n *run) beginHandover(h *handovers, reason moveReason, now time.Time) bool {
	p, ctx, ok := h.begin(reason, now)
	if ok {
		go n.handOver(ctx, h, p)
	}
	return ok
}

// handOver finds a successor of the attempt, which takes over if the attempt has not ended meanwhile.
func (n *run) handOver(ctx context.Context, h *handovers, p *handover) {
	began := time.Now()
	s, to, err := n.findSuccessor(ctx, h, p)
	tookOver := h.decide(p, s, time.Now())
	if s != nil && !tookOver {
		s.discard()
	}
	n.g.recordHandover(n, h, p, handoverResult{to: to, tookOver: tookOver, err: err, took: time.Since(began)})
}

// findSuccessor places a successor, sends it the request, and reads its first event. It also returns its upstream; empty if there was
// no place. Errors: *NoPlaceError, *NoRetryError, and those of an attempt.
func (n *run) findSuccessor(ctx context.Context, h *handovers, p *handover) (*successor, ids.Upstream, error) {
	t, ok := n.service.gate.TryPlace(n.successorRequest(h))
	if !ok {
		return nil, "", &NoPlaceError{}
	}
	to := t.Upstream().ID
	paid, err := n.payForSuccessor()
	if err != nil {
		n.service.gate.Done(t, dispatch.OutcomeNone)
		return nil, to, err
	}
	var at resumePoint
	h.hold(p, func() { at = resumePoint{n.stream.lastEvent, n.stream.events > 0, n.stream.ids} })
	placedAt := time.Now()
	s, err := n.startSuccessor(ctx, t, at)
	if err == nil {
		s.cancel = p.cancel
		return s, to, nil
	}
	if ctx.Err() == nil { // what this gateway has ended says nothing of the group
		n.reportGroupFailure(t.Upstream(), err, at.begun)
	}
	n.service.gate.Done(t, outcomeOf(ctx, err))
	h.failed(t.Upstream(), err)
	n.reject(t.Upstream(), err)
	if p := proofOf(err); p == notrun.NoConnection || p == notrun.NotWritten {
		n.service.budget.Unsent(paid, time.Now())
		n.g.recordRefusedConnection(t.Upstream(), err, placedAt)
	}
	return nil, to, err
}

// successorRequest describes a successor for the service's pool.
func (n *run) successorRequest(h *handovers) dispatch.Request {
	h.relay.Lock()
	defer h.relay.Unlock()
	r := n.dispatchRequest(n.stream.events > 0)
	r.MayHaveRun = true
	r.Exclude = append(h.excluded(), r.Exclude...)
	return r
}

// payForSuccessor uses up a retry. Errors: *NoRetryError.
func (n *run) payForSuccessor() (retry.Token, error) {
	now := time.Now()
	t, ok := n.service.budget.Take(now)
	if ok {
		t, ok = n.service.budget.Send(t, now)
	}
	if !ok {
		n.service.grants.request(now)
		return retry.Token{}, &NoRetryError{}
	}
	return t, nil
}

// startSuccessor sends the request to the upstream of a ticket and reads the first event of its response.
func (n *run) startSuccessor(ctx context.Context, t *dispatch.Ticket, at resumePoint) (*successor, error) {
	s := &successor{service: n.service, ticket: t, placedAt: time.Now()}
	res, err := n.send(ctx, t, sendInput{placedAt: s.placedAt, lastEvent: at.lastEvent, elsewhere: true})
	if err != nil {
		return nil, err
	}
	s.res, s.info = res, n.readStatements(t.Upstream(), res, s.placedAt)
	if s.info.NotRun {
		return nil, refusalOf(t.Upstream(), res, s.info)
	}
	if err = n.checkSuccessor(s); err == nil {
		err = s.readFirstEvent()
	}
	if err == nil {
		err = n.checkFirstEvent(s, at)
	}
	if err != nil {
		res.Release(false)
		return nil, err
	}
	return s, nil
}

// checkSuccessor returns *ResponseError if a successor's response is not the rest of the stream.
func (n *run) checkSuccessor(s *successor) error {
	reason := n.unusable(s.res, s.info)
	if reason == "" && (!isStream(s.res) || s.res.Status/100 != 2) {
		reason = "not the rest of a stream"
	}
	if reason != "" {
		return &ResponseError{s.ticket.Upstream().ID, s.res.Status, reason}
	}
	return nil
}

// readFirstEvent reads the body up to the end of its first event, or of the body.
func (s *successor) readFirstEvent() error {
	buf := make([]byte, streamBufferBytes)
	for completeEvents(s.received) == 0 {
		size, err := s.res.Body.Read(buf)
		s.received = append(s.received, buf[:size]...)
		switch {
		case err == io.EOF:
			s.ended = true
			if completeEvents(s.received) < len(s.received) {
				return &EventError{"ends within an event"}
			}
			return nil
		case err != nil:
			return &httpclient.BrokenError{Address: s.ticket.Upstream().Address, Stage: "read the first event from", Cause: err}
		case len(s.received) > maxEventBytes:
			return &EventError{"event is too long"}
		}
	}
	return nil
}

// checkFirstEvent returns an error if the first event is not the next one, or the response ends without one and without a proof of its
// end.
func (n *run) checkFirstEvent(s *successor, at resumePoint) error {
	events := eventsAfter(s.received[:completeEvents(s.received)], at.lastEvent)
	switch {
	case s.ended && len(s.received) == 0 && at.begun && !s.res.CloseDelimited:
		return nil // the stream had no further event
	case !goesOn(events, at.lastEvent):
		return &EventError{"does not go on with the next event"}
	}
	if n.service.gaps.Usual() {
		return nil
	}
	if _, _, missing := at.ids.check(events, at.lastEvent); missing != nil {
		return missing
	}
	return nil
}

// goesOn reports whether events that follow the one with id last contain another one.
func goesOn(events []byte, last string) bool {
	return len(events) > 0 && (last == "" || lastEventID(events, last) != last)
}

// relaySuccessor relays the response of a successor that has taken over.
func (n *run) relaySuccessor(ctx context.Context, t *dispatch.Ticket, s *successor) error {
	defer s.cancel()
	defer context.AfterFunc(ctx, s.cancel)()
	s.res.Body = s.body()
	err := n.relayStream(ctx, t, s.res, s.info)
	if s.res.CloseDelimited {
		n.recordCloseDelimited(t.Upstream(), s.res, err)
	}
	return err
}

// awaitsSuccessor reports whether the successor of an attempt that ended with err is wanted.
func awaitsSuccessor(ctx context.Context, err error) bool {
	return err != nil && ctx.Err() == nil && attemptEndOf(err) != endCaller && !errors.As(err, new(*PartRefusedError))
}
