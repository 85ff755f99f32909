// Package logging builds the structured logger of a process.
package logging

import (
	"fmt"
	"io"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
)

// Format is the encoding of log lines.
type Format string

// The formats of log lines.
const (
	FormatLogfmt Format = "logfmt"
	FormatJSON   Format = "json"
)

// Options configures the logger.
type Options struct {
	// Format is logfmt (the default) or json.
	Format Format `yaml:"format"`
	// Level is debug, info (the default), warn or error.
	Level string `yaml:"level"`
}

// OptionError reports that an option has an unknown value.
type OptionError struct {
	Option string
	Value  string
	Want   string
}

// Error implements error.
func (e *OptionError) Error() string {
	return fmt.Sprintf("log.%s: %q is not one of %s", e.Option, e.Value, e.Want)
}

// Check returns *OptionError if an option has an unknown value.
func (o Options) Check() error {
	switch o.Format {
	case "", FormatLogfmt, FormatJSON:
	default:
		return &OptionError{"format", string(o.Format), "logfmt, json"}
	}
	switch o.Level {
	case "", "debug", "info", "warn", "error":
		return nil
	}
	return &OptionError{"level", o.Level, "debug, info, warn, error"}
}

// New returns a logger that writes to w with UTC timestamps.
func New(w io.Writer, o Options) log.Logger {
	var l log.Logger
	if o.Format == FormatJSON {
		l = log.NewJSONLogger(log.NewSyncWriter(w))
	} else {
		l = log.NewLogfmtLogger(log.NewSyncWriter(w))
	}
	l = level.NewFilter(l, levelOption(o.Level))
	return log.With(l, "ts", log.DefaultTimestampUTC)
}

func levelOption(name string) level.Option {
	switch name {
	case "debug":
		return level.AllowDebug()
	case "warn":
		return level.AllowWarn()
	case "error":
		return level.AllowError()
	}
	return level.AllowInfo()
}
