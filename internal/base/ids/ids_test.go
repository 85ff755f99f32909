package ids_test

import (
	"errors"
	"testing"

	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
)

// Guards against untyped errors, and against ids that change when they are formatted and parsed again.
func FuzzParseAttempt(f *testing.F) {
	f.Add("0190-abc/7")
	f.Add("/7")
	f.Add("a/-1")
	f.Add("a/b/2")
	f.Fuzz(func(t *testing.T, text string) {
		a, err := ids.ParseAttempt(text)
		if err != nil {
			var typed *ids.AttemptError
			if !errors.As(err, &typed) {
				t.Fatalf("untyped error %v", err)
			}
			return
		}
		again, err := ids.ParseAttempt(a.String())
		if err != nil || again != a {
			t.Fatalf("%q: parsed %v, after formatting parsed %v (%v)", text, a, again, err)
		}
	})
}
