package logging_test

import (
	"bytes"
	"encoding/json"
	"errors"
	"strings"
	"testing"

	"github.com/go-kit/log/level"

	"github.com/cardamomyoke/cardamomyoke/internal/base/logging"
)

// Guards against a process that panics because a goroutine logs while it exits.
func TestLineAfterCloseIsDropped(t *testing.T) {
	var out bytes.Buffer
	a := logging.NewAsync(&out, 1, logging.FormatLogfmt)
	_, _ = a.Write([]byte("before\n"))
	a.Close()
	_, _ = a.Write([]byte("after\n"))
	if out.String() != "before\n" || a.Dropped() != 1 {
		t.Fatalf("got %q, %d dropped", out.String(), a.Dropped())
	}
}

func TestLevelAndFormat(t *testing.T) {
	var out bytes.Buffer
	l := logging.New(&out, logging.Options{Format: logging.FormatJSON, Level: "warn"})
	_ = level.Info(l).Log("msg", "hidden")
	_ = level.Warn(l).Log("msg", "shown")
	line := map[string]string{}
	if err := json.Unmarshal(out.Bytes(), &line); err != nil {
		t.Fatalf("%v in %q", err, out.String())
	}
	if line["msg"] != "shown" || line["level"] != "warn" || line["ts"] == "" {
		t.Fatalf("got %v", line)
	}
	if strings.Contains(out.String(), "hidden") {
		t.Fatal("a line below the level was written")
	}
}

func TestCheckNamesTheOption(t *testing.T) {
	var typed *logging.OptionError
	if err := (logging.Options{Format: "xml"}).Check(); !errors.As(err, &typed) || typed.Option != "format" {
		t.Fatalf("got %v", err)
	}
	if err := (logging.Options{Level: "loud"}).Check(); !errors.As(err, &typed) || typed.Option != "level" {
		t.Fatalf("got %v", err)
	}
	if err := (logging.Options{}).Check(); err != nil {
		t.Fatal(err)
	}
}
