package explain

import (
	"regexp"
	"time"
)

// Message and field of gateways' lines about decisions on parts of prompts.
const (
	messagePartDecision = "part decision"
	fieldPart           = "part"
)

// refusedPartText matches the error of a request that is refused because upstreams crashed under a part of its prompt.
var refusedPartText = regexp.MustCompile(`part ([0-9a-f]+) of the prompt is `)

// refusedPart returns the part because of which a request was refused; empty if it was not.
func refusedPart(lines []*Line) string {
	for _, l := range lines {
		if found := refusedPartText.FindStringSubmatch(l.Get("err")); found != nil {
			return found[1]
		}
	}
	return ""
}

// partDecisions returns the lines at which the given nodes decided on a part, or learned of a decision, before a time. A part may
// have been refused long before the requests that it refuses.
func partDecisions(lines []*Line, nodes map[string]bool, part string, before time.Time) []*Line {
	if part == "" {
		return nil
	}
	var out []*Line
	for _, l := range lines {
		if l.Message == messagePartDecision && nodes[l.Node] && l.Get(fieldPart) == part && l.At.Before(before) {
			out = append(out, l)
		}
	}
	return out
}
