package ctl_test

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"github.com/cardamomyoke/cardamomyoke/internal/tool/ctl"
)

// Guards against an operator's view of a request that was sent twice that lacks the proof, or a gateway's log.
func TestExplainShowsRequestsSentTwice(t *testing.T) {
	dir := t.TempDir()
	logs := map[string]string{
		"g1.log": `level=info ts=2026-12-04T10:59:38.010Z node=g1 msg="retrying request" request=r1 route=pay upstream=u1 address=10.0.0.1:80 repeatable=false proof=refused status=503 err="u1 refused"
`,
		"g2.log": `level=info ts=2026-12-04T10:59:39.000Z node=g2 msg=request outcome=answered request=r1 route=pay upstream=u2
`,
	}
	args := []string{"explain", "--twice"}
	for name, text := range logs {
		file := filepath.Join(dir, name)
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		args = append(args, file)
	}
	var out, errOut bytes.Buffer
	if code := ctl.Main(args, &out, &errOut); code != ctl.ExitOK {
		t.Fatalf("exit code %d, %s", code, errOut.String())
	}
	want := `REQUEST  ATTEMPT  AT            NODE  UPSTREAM  ADDRESS      PROOF    RESPONSE    RESULT
r1       1        10:59:38.010  g1    u1        10.0.0.1:80  refused  status=503  u1 refused
r1       2        10:59:39.000  g2    u2                     -        -           answered
`
	if out.String() != want {
		t.Fatalf("got\n%s", out.String())
	}
}
