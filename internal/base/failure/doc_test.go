package failure_test

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/cardamomyoke/cardamomyoke/internal/base/failure"
)

// Guards against a code that is added, or whose meaning changes, without an update of its row in docs/api.md.
func TestEveryCodeIsInTheAPIPage(t *testing.T) {
	page, err := os.ReadFile("../../../docs/api.md")
	if err != nil {
		t.Fatal(err)
	}
	for code, m := range failure.Codes() {
		row := fmt.Sprintf("| `%s` | %d | %s | %s | %s |", code, m.Status, yesNo(m.NotRun), yesNo(m.Resend), m.Text)
		if !strings.Contains(string(page), row) {
			t.Errorf("docs/api.md lacks the row\n%s", row)
		}
	}
}

func yesNo(v bool) string {
	if v {
		return "yes"
	}
	return "no"
}
