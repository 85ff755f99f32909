package settings

import (
	"bytes"
	"context"
	"os"
	"time"
)

// Watcher follows a settings file that may change while its process runs.
type Watcher struct {
	File string
	// Interval is the time between two looks at the file, since it may change without a signal.
	Interval time.Duration
	// Signals makes the watcher look at once; nil for none.
	Signals <-chan os.Signal
	// Fresh returns an empty settings value.
	Fresh func() Checker
	// Changed is called with settings that are new and checked, Refused with the error of new ones that cannot be used, and
	// Unchanged after a signal that brought nothing new.
	Changed   func(Checker)
	Refused   func(error)
	Unchanged func()
}

// Run looks until ctx ends; known is the file's text as the process has read it.
func (w *Watcher) Run(ctx context.Context, known []byte) {
	tick := time.NewTicker(w.Interval)
	defer tick.Stop()
	for {
		asked := false
		select {
		case <-ctx.Done():
			return
		case <-w.Signals:
			asked = true
		case <-tick.C:
		}
		text, err := os.ReadFile(w.File)
		switch {
		case err != nil:
			w.Refused(&FileError{File: w.File, Cause: err})
			continue
		case bytes.Equal(text, known):
			if asked {
				w.Unchanged()
			}
			continue
		}
		known = text
		w.take(text)
	}
}

func (w *Watcher) take(text []byte) {
	next := w.Fresh()
	if err := Parse(w.File, text, next); err != nil {
		w.Refused(err)
		return
	}
	w.Changed(next)
}
