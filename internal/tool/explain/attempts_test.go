package explain_test

import (
	"os"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/cardamomyoke/cardamomyoke/internal/tool/explain"
)

func readTwiceLog(t *testing.T) []*explain.Line {
	t.Helper()
	text, err := os.ReadFile("testdata/twice.log")
	if err != nil {
		t.Fatal(err)
	}
	lines, err := explain.Read(strings.NewReader(string(text)))
	if err != nil {
		t.Fatal(err)
	}
	return lines
}

// Guards against an explanation that leaves open to whom a request was sent again, and with which proof.
func TestAttemptsHaveProofAndResponse(t *testing.T) {
	lines := readTwiceLog(t)
	for request, want := range map[string][]string{
		"r1": {"g1 u1 10.0.0.1:80 other-instance [status=421 responder=u9 has_id=false first=true]", "g1 u2 10.0.0.2:80  []"},
		"r2": {"g2 u1 10.0.0.1:80 may have run []", "g2 u2   []"},
		"r3": {"g2 u3 10.0.0.3:80 refused [status=503 responder= has_id=true first=false]", "g2 u2   []"},
		"r4": {"g1 u1 10.0.0.1:80  []", "g2 u2 10.0.0.2:80  []"},
		"r5": {"g1 u1 10.0.0.1:80 may have run []"},
		"r6": {"g1 u1 10.0.0.1:80 not-written []"},
		"r7": {"g3 u1  not recorded []"},
		"r9": {"e1 u5 10.0.0.5:80 fenced [source=fence]", "e1 u6 10.0.0.6:80 may have run [source=]"},
		"r0": nil,
	} {
		var got []string
		for _, a := range explain.Attempts(lines, request) {
			got = append(got, a.Node+" "+a.Upstream+" "+a.Address+" "+a.Proof+" ["+a.Response+"]")
		}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("%s: %s", request, diff)
		}
	}
}

// Guards against a request that may run once and was sent twice, and that no list shows; and against requests in it that may be
// repeated or were sent once.
func TestResendsListsRequestsThatMayRunOnce(t *testing.T) {
	got := map[string][]string{}
	var order []string
	for _, r := range explain.Resends(readTwiceLog(t)) {
		got[r.Request] = r.Proofs()
		order = append(order, r.Request)
	}
	want := map[string][]string{
		"r1": {"other-instance"}, "r3": {"refused"}, "r4": nil, "r6": {"not-written"}, "r7": {"not recorded"}, "r8": {"may have run"},
		"r9": {"fenced"},
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
	if diff := cmp.Diff([]string{"r1", "r3", "r4", "r6", "r7", "r8", "r9"}, order); diff != "" {
		t.Error(diff)
	}
}
