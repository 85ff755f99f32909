package lint

import (
	"fmt"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"strconv"
	"strings"
)

// Wings maps each folder of internal/ to those that it may import from; docs/architecture.md draws the same picture.
var Wings = map[string][]string{
	"gen":     {},
	"base":    {"gen"},
	"state":   {"base", "gen"},
	"policy":  {"state", "base", "gen"},
	"experts": {"state", "base", "gen"},
	"node":    {"policy", "experts", "state", "base", "gen"},
	"tool":    {"state", "base", "gen"},
	"testing": {"node", "policy", "experts", "state", "base", "gen"},
}

// internalPath is what import paths of the project's own packages begin with.
const internalPath = "github.com/cardamomyoke/cardamomyoke/internal/"

// WingFinding is an import against the direction of the wings.
type WingFinding struct {
	File     string
	From, To string
}

// String formats the finding as linters do.
func (f WingFinding) String() string {
	return fmt.Sprintf("%s: %s must not import from %s", f.File, f.From, f.To)
}

// CheckWings returns the imports below dir, which is internal/, that go against the direction. Tests may import helpers for
// tests.
func CheckWings(dir string) ([]WingFinding, error) {
	var found []WingFinding
	fset := token.NewFileSet()
	err := filepath.WalkDir(dir, func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || skipped(path) {
			return err
		}
		file, err := parser.ParseFile(fset, path, nil, parser.ImportsOnly)
		if err != nil {
			return fmt.Errorf("parse %s: %w", path, err)
		}
		relative, err := filepath.Rel(dir, path)
		if err != nil {
			return fmt.Errorf("wing of %s: %w", path, err)
		}
		from := wingOf(filepath.ToSlash(relative))
		for _, spec := range file.Imports {
			if to, ok := importedWing(spec.Path.Value); ok && !mayImport(from, to) {
				found = append(found, WingFinding{path, from, to})
			}
		}
		return nil
	})
	return found, err
}

func wingOf(path string) string {
	wing, _, _ := strings.Cut(path, "/")
	return wing
}

func importedWing(literal string) (string, bool) {
	path, err := strconv.Unquote(literal)
	if err != nil {
		return "", false
	}
	rest, ok := strings.CutPrefix(path, internalPath)
	return wingOf(rest), ok
}

func mayImport(from, to string) bool {
	if from == to {
		return true
	}
	for _, w := range Wings[from] {
		if w == to {
			return true
		}
	}
	return false
}
