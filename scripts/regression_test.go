// Package scripts_test tests the scripts in this folder.
package scripts_test

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// bench imitates the final output of the users' bench; SCORE is replaced by the score.
const bench = `#!/bin/sh
echo "score on the standard days of some-site (set 3625cddc): SCORE, -0.002 against snapshot c99f268a"
echo "day                  own/srv  score  worth served refused failed  weakest part"
echo "quiet-1               109/75   0.69  0.899  0.999   0.000  0.002  worst class 0.92; prices 0.087"
echo "GATE passed"
`

// Guards against a score that is not found in the bench's output, so that every site counts as fallen.
func TestRegressionReadsScores(t *testing.T) {
	for _, c := range []struct {
		score string
		ok    bool
	}{{"0.999", true}, {"0.100", false}} {
		path := filepath.Join(t.TempDir(), "bench")
		if err := os.WriteFile(path, []byte(strings.Replace(bench, "SCORE", c.score, 1)), 0o755); err != nil {
			t.Fatal(err)
		}
		cmd := exec.Command("bash", "regression.sh", path, "sites", "why")
		cmd.Env = append(os.Environ(), "REGRESSION_OUT="+t.TempDir())
		out, err := cmd.CombinedOutput()
		if (err == nil) != c.ok || !strings.Contains(string(out), c.score) || strings.Contains(string(out), "fell") == c.ok {
			t.Errorf("score %s: %v\n%s", c.score, err, out)
		}
	}
}
