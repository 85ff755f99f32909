package settings

import (
	"bytes"
	"context"
	"os"
	"time"
)

// Watcher reloads a settings file that may change while its process runs.
type Watcher struct {
	File string
	// Interval is how often the file is polled, since it may change without a signal.
	Interval time.Duration
	// Signals triggers an immediate check of the file; nil for none.
	Signals <-chan os.Signal
	// NewSettings returns an empty settings value.
	NewSettings func() Checker
	// Changed is called with changed settings after they passed their check. Refused is called with a *FileError if the
	// file cannot be read or the changed settings are invalid. Unchanged is called after a signal if the file is the same.
	Changed   func(Checker)
	Refused   func(error)
	Unchanged func()
}

// Run watches the file until ctx is done. current is the file's text as the process has read it.
func (w *Watcher) Run(ctx context.Context, current []byte) {
	tick := time.NewTicker(w.Interval)
	defer tick.Stop()
	for {
		signalled := false
		select {
		case <-ctx.Done():
			return
		case <-w.Signals:
			signalled = true
		case <-tick.C:
		}
		text, err := os.ReadFile(w.File)
		switch {
		case err != nil:
			w.Refused(&FileError{File: w.File, Cause: err})
			continue
		case bytes.Equal(text, current):
			if signalled {
				w.Unchanged()
			}
			continue
		}
		current = text
		w.apply(text)
	}
}

func (w *Watcher) apply(text []byte) {
	next := w.NewSettings()
	if err := Parse(w.File, text, next); err != nil {
		w.Refused(err)
		return
	}
	w.Changed(next)
}
