// Package lint checks two rules of the project for which there is no linter: every error has a type, and the layers of
// internal/ import each other in one direction only.
//
// An error made by errors.New, or by fmt.Errorf without %w, is only a string, so a caller cannot distinguish it from other
// errors or handle it. Such calls are reported outside test files.
package lint

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"strconv"
	"strings"
)

// Finding is a call that makes an error without a type.
type Finding struct {
	Pos  token.Position
	Call string
}

// String formats the finding as FILE:LINE:COLUMN: MESSAGE.
func (f Finding) String() string {
	return fmt.Sprintf("%s: %s makes an error without a type", f.Pos, f.Call)
}

// CheckTree returns the findings in all Go files below root that are neither tests nor generated.
func CheckTree(root string) ([]Finding, error) {
	var found []Finding
	fset := token.NewFileSet()
	err := filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || skipped(path) {
			return err
		}
		file, err := parser.ParseFile(fset, path, nil, 0)
		if err != nil {
			return fmt.Errorf("parse %s: %w", path, err)
		}
		found = append(found, CheckFile(fset, file)...)
		return nil
	})
	return found, err
}

func skipped(path string) bool {
	if !strings.HasSuffix(path, ".go") {
		return true
	}
	for _, end := range []string{"_test.go", ".pb.go", ".connect.go"} {
		if strings.HasSuffix(path, end) {
			return true
		}
	}
	return false
}

// CheckFile returns the findings of one file.
func CheckFile(fset *token.FileSet, file *ast.File) []Finding {
	var found []Finding
	ast.Inspect(file, func(n ast.Node) bool {
		call, ok := n.(*ast.CallExpr)
		if !ok {
			return true
		}
		if name, bad := untyped(call); bad {
			found = append(found, Finding{fset.Position(call.Pos()), name})
		}
		return true
	})
	return found
}

func untyped(call *ast.CallExpr) (string, bool) {
	sel, ok := call.Fun.(*ast.SelectorExpr)
	if !ok {
		return "", false
	}
	pkg, ok := sel.X.(*ast.Ident)
	if !ok {
		return "", false
	}
	name := pkg.Name + "." + sel.Sel.Name
	switch name {
	case "errors.New":
		return name, true
	case "fmt.Errorf":
		return name, !wraps(call)
	}
	return name, false
}

func wraps(call *ast.CallExpr) bool {
	if len(call.Args) == 0 {
		return false
	}
	lit, ok := call.Args[0].(*ast.BasicLit)
	if !ok {
		return false
	}
	format, err := strconv.Unquote(lit.Value)
	return err == nil && strings.Contains(format, "%w")
}
