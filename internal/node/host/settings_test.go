package host_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/cardamomyoke/cardamomyoke/internal/base/settings"
	"github.com/cardamomyoke/cardamomyoke/internal/node/entry"
	"github.com/cardamomyoke/cardamomyoke/internal/node/slot"
)

func read(t *testing.T, name string) string {
	t.Helper()
	text, err := os.ReadFile(filepath.Join("../../../examples/arriaga", name))
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// What entries and slots have in common is checked in both, and a key that nobody knows is refused in either.
func TestSettingsOfEntriesAndSlots(t *testing.T) {
	entryOf := func() settings.Checker { return &entry.Settings{} }
	slotOf := func() settings.Checker { return &slot.Settings{} }
	for _, c := range []struct {
		name, file, old, text, want string
		empty                       func() settings.Checker
	}{
		{"an entry", "entry-churubusco.yaml", "", "", "", entryOf},
		{"a slot", "slot-desk-model.yaml", "", "", "", slotOf},
		{"entry: unknown key", "entry-churubusco.yaml", "platform:", "extra: 1\nplatform:", `unknown field "extra"`, entryOf},
		{"slot: unknown key", "slot-desk-model.yaml", "platform:", "extra: 1\nplatform:", `unknown field "extra"`, slotOf},
		{"entry: no name", "entry-churubusco.yaml", "name:", "name: \"\" #", "$.name", entryOf},
		{"slot: bad address", "slot-desk-model.yaml", "platform: ", "platform: x", "$.platform", slotOf},
	} {
		t.Run(c.name, func(t *testing.T) {
			text := strings.Replace(read(t, c.file), c.old, c.text, 1)
			err := settings.Parse(c.file, []byte(text), c.empty())
			switch {
			case c.want == "" && err != nil:
				t.Fatal(err)
			case c.want != "" && (err == nil || !strings.Contains(err.Error(), c.want)):
				t.Fatalf("got %v, want %q in it", err, c.want)
			}
		})
	}
}
