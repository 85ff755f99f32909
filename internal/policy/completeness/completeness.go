// Package completeness decides what is known of a response whose end only the close of its connection tells.
//
// HTTP takes such a body for complete unless the connection was reset. A peer that crashes, and a link that ends, close
// connections in the same way, so the close alone proves nothing.
package completeness

import (
	"bytes"
	"encoding/json"
	"mime"
	"strings"
)

// Verdict is what a body tells about its own end.
type Verdict int

// The verdicts on a body.
const (
	// Unknown: the body may be complete or not.
	Unknown Verdict = iota
	// Complete: nothing can follow the body.
	Complete
	// Incomplete: the body cannot be all of a response.
	Incomplete
)

// String returns the verdict's name in logs.
func (v Verdict) String() string { return [...]string{"unknown", "complete", "incomplete"}[v] }

// Judge returns what a body that was read to the close of its connection tells about its end. An empty body counts as
// incomplete: who sends nothing can say so with a length.
func Judge(contentType string, body []byte) Verdict {
	switch {
	case len(body) == 0:
		return Incomplete
	case !isJSON(contentType):
		return Unknown
	case !json.Valid(body):
		return Incomplete
	case bytes.ContainsAny(bytes.TrimSpace(body)[:1], `{["`):
		return Complete
	}
	return Unknown // the beginning of a longer number is a number, too
}

func isJSON(contentType string) bool {
	media, _, err := mime.ParseMediaType(contentType)
	return err == nil && (media == "application/json" || strings.HasSuffix(media, "+json"))
}
