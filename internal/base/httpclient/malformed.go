package httpclient

import (
	"errors"
	"fmt"
)

// Defect is what is wrong with a response. Its value is a metric's label.
type Defect string

// The defects of responses.
const (
	DefectStatus     Defect = "status"
	DefectStatusLine Defect = "status line"
	DefectFieldName  Defect = "field name"
	DefectFieldValue Defect = "field value"
	DefectRepeated   Defect = "repeated field"
	DefectFraming    Defect = "framing"
	DefectJoined     Defect = "joined headers"
	// DefectHeader is one that fasthttp finds in a header of sound lines.
	DefectHeader     Defect = "header"
	DefectHeaderSize Defect = "header size"
	DefectChunks     Defect = "chunks"
	DefectTrailer    Defect = "trailer"
	DefectSecond     Defect = "second response in body"
	DefectUnwritten  Defect = "end before request was written"
)

// maxMalformedBytes is how much of a line at fault an error holds.
const maxMalformedBytes = 64

// MalformedError reports that a response does not have the form that RFC 9110 and RFC 9112 require of what says what it is and where it
// ends.
type MalformedError struct {
	Defect Defect
	// Line is the beginning of the line at fault; empty if there is none.
	Line string
}

func malformed(d Defect, line []byte) *MalformedError {
	return &MalformedError{d, string(line[:min(len(line), maxMalformedBytes)])}
}

// Error implements error.
func (e *MalformedError) Error() string {
	if e.Line == "" {
		return "malformed response: " + string(e.Defect)
	}
	return fmt.Sprintf("malformed response: %s: %q", e.Defect, e.Line)
}

// DefectOf returns the defect of a response that an error reports; empty if it reports none.
func DefectOf(err error) Defect {
	var m *MalformedError
	var status *InvalidStatusError
	var second *SecondResponseError
	var unwritten *UnwrittenRequestError
	switch {
	case errors.As(err, &m):
		return m.Defect
	case errors.As(err, &status):
		return DefectStatus
	case errors.As(err, &second):
		return DefectSecond
	case errors.As(err, &unwritten):
		return DefectUnwritten
	}
	return ""
}
