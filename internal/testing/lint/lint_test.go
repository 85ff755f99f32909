package lint_test

import (
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/cardamomyoke/cardamomyoke/internal/testing/lint"
)

// Guards against errors that a caller cannot distinguish from others.
func TestEveryErrorHasAType(t *testing.T) {
	found, err := lint.CheckTree("../../..")
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range found {
		t.Error(f)
	}
}

func TestFileFindsErrorsWithoutAType(t *testing.T) {
	const src = `package p
import ("errors"; "fmt")
var a = errors.New("x")
var b = fmt.Errorf("y %d", 1)
var c = fmt.Errorf("z: %w", a)
`
	fset := token.NewFileSet()
	file, err := parser.ParseFile(fset, "p.go", src, 0)
	if err != nil {
		t.Fatal(err)
	}
	var calls []string
	for _, f := range lint.CheckFile(fset, file) {
		calls = append(calls, f.Call)
	}
	if diff := cmp.Diff([]string{"errors.New", "fmt.Errorf"}, calls); diff != "" {
		t.Fatal(diff)
	}
}

func TestLayersImportOneWay(t *testing.T) {
	found, err := lint.CheckLayers("../..")
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range found {
		t.Error(f)
	}
}

// Guards against a policy that imports the process which runs it: the policy could not be tested without that process.
func TestCheckLayersFindsForbiddenImport(t *testing.T) {
	dir := t.TempDir()
	file := filepath.Join(dir, "policy", "p.go")
	if err := os.MkdirAll(filepath.Dir(file), 0o700); err != nil {
		t.Fatal(err)
	}
	const src = `package p
import (
	_ "github.com/cardamomyoke/cardamomyoke/internal/base/ids"
	_ "github.com/cardamomyoke/cardamomyoke/internal/node/gateway"
)
`
	if err := os.WriteFile(file, []byte(src), 0o600); err != nil {
		t.Fatal(err)
	}
	found, err := lint.CheckLayers(dir)
	if err != nil {
		t.Fatal(err)
	}
	want := []lint.LayerFinding{{File: file, From: "policy", To: "node"}}
	if diff := cmp.Diff(want, found); diff != "" {
		t.Fatal(diff)
	}
}
