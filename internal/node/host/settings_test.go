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

func readExample(t *testing.T, name string) string {
	t.Helper()
	text, err := os.ReadFile(filepath.Join("../../../examples/arriaga", name))
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// Guards against shared settings that are checked for only one of entries and slots, or accept unknown keys.
func TestSettingsOfEntriesAndSlots(t *testing.T) {
	newEntry := func() settings.Checker { return &entry.Settings{} }
	newSlot := func() settings.Checker { return &slot.Settings{} }
	for _, c := range []struct {
		name, file, old, text, want string
		empty                       func() settings.Checker
	}{
		{"an entry", "entry-churubusco.yaml", "", "", "", newEntry},
		{"a slot", "slot-desk-model.yaml", "", "", "", newSlot},
		{"entry: unknown key", "entry-churubusco.yaml", "platform:", "extra: 1\nplatform:", `unknown field "extra"`, newEntry},
		{"slot: unknown key", "slot-desk-model.yaml", "platform:", "extra: 1\nplatform:", `unknown field "extra"`, newSlot},
		{"entry: no name", "entry-churubusco.yaml", "name:", "name: \"\" #", "$.name", newEntry},
		{"slot: bad address", "slot-desk-model.yaml", "platform: ", "platform: x", "$.platform", newSlot},
	} {
		t.Run(c.name, func(t *testing.T) {
			text := strings.Replace(readExample(t, c.file), c.old, c.text, 1)
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
