package scripts_test

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// playBench imitates the output of the users' bench for one run. It reads the worth from a file of the checked-out commit.
const playBench = `#!/bin/sh
[ "$3" != broken ] || exit 1
echo "day                  own/srv  score  worth served refused failed  weakest part"
echo "worth 0.$(cat worth) = whole day 0.971 (weight 0.35), worst windows 0.663 (weight 0.5) less prices"
`

// git runs git in dir and returns its trimmed output.
func git(t *testing.T, dir string, args ...string) string {
	t.Helper()
	cmd := exec.Command("git", append([]string{"-C", dir, "-c", "user.name=t", "-c", "user.email=t@example.org"}, args...)...)
	out, err := cmd.CombinedOutput()
	if err != nil {
		t.Fatalf("git %v: %v\n%s", args, err, out)
	}
	return strings.TrimSpace(string(out))
}

// pairedRepository creates a repository with the script and two commits whose runs have a worth of 0.500 and 0.600.
func pairedRepository(t *testing.T) (dir, before, after string) {
	t.Helper()
	dir = t.TempDir()
	script, err := os.ReadFile("paired.sh")
	if err != nil {
		t.Fatal(err)
	}
	for _, sub := range []string{"scripts", "journal"} {
		if err := os.Mkdir(filepath.Join(dir, sub), 0o755); err != nil {
			t.Fatal(err)
		}
	}
	commits := [2]string{}
	git(t, dir, "init", "-q")
	for i, worth := range []string{"500", "600"} {
		for name, text := range map[string]string{"worth": worth, "scripts/paired.sh": string(script), "journal/none": ""} {
			if err := os.WriteFile(filepath.Join(dir, name), []byte(text), 0o755); err != nil {
				t.Fatal(err)
			}
		}
		git(t, dir, "add", "-A")
		git(t, dir, "commit", "-q", "-m", worth)
		commits[i] = git(t, dir, "rev-parse", "HEAD")
	}
	return dir, commits[0], commits[1]
}

// Guards against a run without a result that counts as a difference, and against both commits being run with the code of
// one of them.
func TestPairedRunsBothCommits(t *testing.T) {
	dir, before, after := pairedRepository(t)
	plays := filepath.Join(dir, "plays")
	if err := os.WriteFile(plays, []byte("# site day\nsome.toml day --seed 1\nsome.toml day\nsome.toml broken\n"), 0o644); err != nil {
		t.Fatal(err)
	}
	bench := filepath.Join(dir, "bench")
	if err := os.WriteFile(bench, []byte(playBench), 0o755); err != nil {
		t.Fatal(err)
	}
	out, err := exec.Command("bash", filepath.Join(dir, "scripts", "paired.sh"), bench, "sites", "why", before, after, plays).CombinedOutput()
	if err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	for _, want := range []string{"0.500    0.600   +0.100", "none     none     none", "mean change +0.100 over 2 plays, standard deviation 0.000"} {
		if !strings.Contains(string(out), want) {
			t.Errorf("no %q in\n%s", want, out)
		}
	}
}
