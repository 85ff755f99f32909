package gateway

import (
	"bytes"
	"fmt"
	"strconv"
)

var eventEnd = []byte("\n\n")

// completeEvents returns the number of bytes of b up to the end of its last complete event.
func completeEvents(b []byte) int {
	i := bytes.LastIndex(b, eventEnd)
	if i < 0 {
		return 0
	}
	return i + len(eventEnd)
}

// firstEvent returns the first of complete events.
func firstEvent(events []byte) []byte {
	return events[:bytes.Index(events, eventEnd)+len(eventEnd)]
}

// eventsAfter drops the leading events up to the one with id last, which the caller already has. Ids are increasing numbers;
// events without a numeric id are kept.
func eventsAfter(events []byte, last string) []byte {
	lastNumber, err := strconv.ParseInt(last, 10, 64)
	if err != nil {
		lastNumber = -1
	}
	for len(events) > 0 {
		event := firstEvent(events)
		id, ok := eventID(event)
		if !ok || id > lastNumber {
			break
		}
		events = events[len(event):]
	}
	return events
}

// lastEventID returns the id of the last event that has a numeric one, or last if none has.
func lastEventID(events []byte, last string) string {
	for len(events) > 0 {
		event := firstEvent(events)
		if id, ok := eventID(event); ok {
			last = strconv.FormatInt(id, 10)
		}
		events = events[len(event):]
	}
	return last
}

var idField = []byte("id:")

// eventID returns the number in the event's id field.
func eventID(event []byte) (int64, bool) {
	for line := range bytes.SplitSeq(event, []byte("\n")) {
		if value, ok := bytes.CutPrefix(line, idField); ok {
			id, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64)
			return id, err == nil
		}
	}
	return 0, false
}

// MissingEventError reports that a stream whose events had consecutive ids leaves some out after the id After.
type MissingEventError struct{ After, Next int64 }

// Error implements error.
func (e *MissingEventError) Error() string {
	return fmt.Sprintf("stream: event %d follows event %d", e.Next, e.After)
}

// minConsecutive is the number of steps by one after which the ids of a stream count as consecutive.
const minConsecutive = 2

// idSequence finds events that are missing in a stream. Ids only have to increase, so a step by more than one shows a missing
// event only in a stream whose ids were consecutive before, and not if a second upstream makes the same step.
type idSequence struct {
	consecutive int
	irregular   bool
	// gap is the gap that was found.
	gap *MissingEventError
}

// check returns how many bytes of the events precede a missing one, the id of the last event before it, and the missing one; nil
// if none is missing. last is the id of the event before the first.
func (s *idSequence) check(events []byte, last string) (int, string, *MissingEventError) {
	previous, err := strconv.ParseInt(last, 10, 64)
	known := err == nil
	id := func() string {
		if !known {
			return last
		}
		return strconv.FormatInt(previous, 10)
	}
	for begin := 0; begin < len(events); {
		event := firstEvent(events[begin:])
		begin += len(event)
		number, ok := eventID(event)
		if !ok {
			continue
		}
		if known {
			if missing := s.step(previous, number); missing != nil {
				return begin - len(event), id(), missing
			}
		}
		previous, known = number, true
	}
	return len(events), id(), nil
}

func (s *idSequence) step(previous, id int64) *MissingEventError {
	confirmed := s.gap != nil && *s.gap == MissingEventError{previous, id}
	switch {
	case id == previous+1:
		s.consecutive++
	case s.irregular || s.consecutive < minConsecutive || confirmed:
		s.irregular = true
	default:
		s.gap = &MissingEventError{previous, id}
		return s.gap
	}
	return nil
}
