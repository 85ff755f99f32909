package explain_test

import (
	"errors"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/cardamomyoke/cardamomyoke/internal/tool/explain"
)

func readDayLog(t *testing.T) []*explain.Line {
	t.Helper()
	file, err := os.Open("testdata/day.log")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = file.Close() }()
	lines, err := explain.Read(file)
	if err != nil {
		t.Fatal(err)
	}
	return lines
}

// Guards against an explanation that lacks the cause. For each kind of failure, the lines for a request's id must include
// the decision that explains it, with its inputs, and the events of the same processes around it.
func TestForRequestFindsTheCause(t *testing.T) {
	lines := readDayLog(t)
	for _, c := range []struct {
		name, id string
		messages []string
		// want are fields of the request's last line.
		want map[string]string
	}{
		{
			"refused as not run", "2dbdd9dd8025e43c", []string{"map switch", "configuration in force", "request", "configuration in force"},
			map[string]string{"outcome": "failed", "code": "overloaded", "proof": "never-sent", "sent": "0", "retry_after_ms": "178"},
		},
		{
			"failed with 502", "961ec035e9736b68", []string{"configuration in force", "configuration in force", "placed", "request", "configuration in force"},
			map[string]string{"outcome": "failed", "code": "upstream-failed", "upstream": "i-f145ede250", "sent": "1"},
		},
		{
			"late stream", "ac34d483ac1f5a20", []string{"placed", "request"},
			map[string]string{"outcome": "late", "first_ms": "171", "longest_gap_ms": "772"},
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			var messages []string
			var last *explain.Line
			for _, l := range explain.ForRequest(lines, c.id, 1500*time.Millisecond, time.Second) {
				messages = append(messages, l.Message)
				if l.Request == c.id {
					last = l
				}
			}
			if diff := cmp.Diff(c.messages, messages); diff != "" {
				t.Fatal(diff)
			}
			for key, value := range c.want {
				if got := last.Get(key); got != value {
					t.Errorf("%s: got %q, want %q", key, got, value)
				}
			}
		})
	}
	if got := explain.ForRequest(lines, "unknown", time.Second, time.Second); got != nil {
		t.Fatalf("got lines for an unknown request: %v", got)
	}
}

// Guards against equal failures that are counted as different causes because their ids, addresses or times differ.
func TestFailuresByCauseGroupsRequests(t *testing.T) {
	causes := explain.FailuresByCause(readDayLog(t))
	if causes[0].Code != "overloaded" || causes[0].Count < 2 || causes[0].Example == "" || causes[0].Last.Before(causes[0].First) {
		t.Fatalf("got %+v", causes[0])
	}
	for _, c := range causes {
		if strings.ContainsAny(c.Reason, "0123456789") {
			t.Errorf("%q has a number", c.Reason)
		}
	}
}

// Guards against an incomplete explanation from a log that is truncated in the middle of a line: Read must fail with the
// line's number.
func TestReadRejectsTruncatedLine(t *testing.T) {
	_, err := explain.Read(strings.NewReader("level=info msg=started\nlevel=info ts=yesterday msg=x\n"))
	var bad *explain.ReadError
	if !errors.As(err, &bad) || bad.Line != 2 {
		t.Fatalf("got %v", err)
	}
}

// Guards against a refusal because of an evacuation that is not explained, as the evacuation began long before it; and against
// evacuations of other gateways, or that have ended, in the explanation.
func TestRefusalByEvacuationIsExplained(t *testing.T) {
	const day = `level=info ts=2026-12-04T10:00:00Z node=g1 msg="data centre evacuated" data_centre=a version=7
level=info ts=2026-12-04T10:00:01Z node=g1 msg="data centre evacuated" data_centre=b version=8
level=info ts=2026-12-04T10:00:02Z node=g2 msg="data centre evacuated" data_centre=a version=7
level=info ts=2026-12-04T10:00:03Z node=g1 msg="evacuation ended" data_centre=a version=7
level=info ts=2026-12-04T10:01:00Z node=g1 msg=request outcome=failed request=r1 code=no-upstream err="no-upstream: all upstreams that would take the request are evacuated: 3 upstreams, waited 0 ms"
level=info ts=2026-12-04T10:01:00Z node=g1 msg=request outcome=failed request=r2 code=overloaded err="no free slot in time"
`
	lines, err := explain.Read(strings.NewReader(day))
	if err != nil {
		t.Fatal(err)
	}
	for request, want := range map[string][]string{"r1": {"data centre evacuated b", "request "}, "r2": {"request "}} {
		var got []string
		for _, l := range explain.ForRequest(lines, request, time.Second, time.Second) {
			got = append(got, l.Message+" "+l.Get("data_centre"))
		}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("%s: %s", request, diff)
		}
	}
}

// Guards against a refusal because of a part of the prompt that is not explained, as the decision came long before it; and against
// decisions on other parts, or of other gateways, in the explanation.
func TestRefusalOfPartIsExplained(t *testing.T) {
	const day = `level=warn ts=2026-12-04T10:00:00Z node=g1 msg="part decision" part=bad state=refused
level=warn ts=2026-12-04T10:00:01Z node=g1 msg="part decision" part=cafe state=refused
level=warn ts=2026-12-04T10:00:02Z node=g2 msg="part decision" part=bad state=refused
level=info ts=2026-12-04T10:01:00Z node=g1 msg=request outcome=failed request=r1 code=no-upstream err="no-upstream: part bad of the prompt is refused by g1 since 2026-12-04T10:00:00Z: 2 upstreams crashed under it, 0 trials"
`
	lines, err := explain.Read(strings.NewReader(day))
	if err != nil {
		t.Fatal(err)
	}
	var got []string
	for _, l := range explain.ForRequest(lines, "r1", time.Second, time.Second) {
		got = append(got, l.Message+" "+l.Get("part"))
	}
	if diff := cmp.Diff([]string{"part decision bad", "request "}, got); diff != "" {
		t.Error(diff)
	}
}
