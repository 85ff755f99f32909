package lint_test

import (
	"go/parser"
	"go/token"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/cardamomyoke/cardamomyoke/internal/lint"
)

func TestEveryFailureHasAType(t *testing.T) {
	found, err := lint.Tree("../..")
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
	for _, f := range lint.File(fset, file) {
		calls = append(calls, f.Call)
	}
	if diff := cmp.Diff([]string{"errors.New", "fmt.Errorf"}, calls); diff != "" {
		t.Fatal(diff)
	}
}
