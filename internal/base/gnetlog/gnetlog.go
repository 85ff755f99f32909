// Package gnetlog keeps gnet's own lines out of a process's structured log, but for its errors.
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

// Errorf writes the line.
func (l *Logger) Errorf(format string, args ...any) {
	_ = level.Error(l.next).Log("msg", "gnet", "err", fmt.Sprintf(format, args...))
}

// Fatalf writes the line; ending the process is the process's own business.
func (l *Logger) Fatalf(format string, args ...any) { l.Errorf(format, args...) }
