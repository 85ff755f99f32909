package settings_test

import (
	"context"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/cardamomyoke/cardamomyoke/internal/base/settings"
)

// named is a settings value with one required key.
type named struct {
	Name string `yaml:"name"`
}

// Check implements settings.Checker.
func (n *named) Check() error { return settings.CheckName("$.name", n.Name, "a name") }

// Guards against losing the settings in use when an operator writes invalid ones, triggers a reload, and corrects them.
// The process must keep its settings, report the error and apply the corrected settings. A signal without a change must
// be reported as such.
func TestWatcherRejectsInvalidSettings(t *testing.T) {
	file := filepath.Join(t.TempDir(), "settings.yaml")
	write := func(text string) {
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write("name: first\n")
	signals, calls := make(chan os.Signal), make(chan string)
	w := &settings.Watcher{
		File: file, Interval: time.Hour, Signals: signals,
		NewSettings: func() settings.Checker { return &named{} },
		Changed:     func(c settings.Checker) { calls <- "changed to " + c.(*named).Name },
		Refused:     func(err error) { calls <- "refused: " + filepath.Base(err.Error()) },
		Unchanged:   func() { calls <- "unchanged" },
	}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go w.Run(ctx, []byte("name: first\n"))
	for _, step := range []struct{ text, want string }{
		{"name: first\n", "unchanged"},
		{"name: \"\"\n", "refused: settings.yaml:1: key $.name is missing: want a name"},
		{"name: second\n", "changed to second"},
		{"nom: third\n", "refused: settings.yaml:1: [1:1] unknown field \"nom\"\n>  1 | nom: third\n       ^\n"},
	} {
		write(step.text)
		signals <- syscall.SIGHUP
		if got := <-calls; got != step.want {
			t.Fatalf("got %q, want %q", got, step.want)
		}
	}
}
