// Package gnetlog adapts gnet's logging. It drops everything except errors, which it writes to standard error.
package gnetlog

import (
	"fmt"
	"os"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
)

// Logger implements gnet's logging.Logger.
type Logger struct{ next log.Logger }

// New returns a logger that writes errors to standard error as logfmt.
func New() *Logger { return &Logger{log.NewLogfmtLogger(log.NewSyncWriter(os.Stderr))} }

// Debugf drops the line.
func (l *Logger) Debugf(string, ...any) {}

// Infof drops the line.
func (l *Logger) Infof(string, ...any) {}

// Warnf drops the line.
func (l *Logger) Warnf(string, ...any) {}

// Errorf writes the line at level error.
func (l *Logger) Errorf(format string, args ...any) {
	_ = level.Error(l.next).Log("msg", "gnet", "err", fmt.Sprintf(format, args...))
}

// Fatalf writes the line at level error. It does not exit: only the program decides when to exit.
func (l *Logger) Fatalf(format string, args ...any) { l.Errorf(format, args...) }
