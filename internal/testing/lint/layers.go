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

// Layers maps each folder of internal/, a layer, to the layers that it may import. docs/architecture.md shows the same graph.
var Layers = map[string][]string{
	"gen":     {},
	"base":    {"gen"},
	"state":   {"base", "gen"},
	"policy":  {"state", "base", "gen"},
	"experts": {"state", "base", "gen"},
	"node":    {"policy", "experts", "state", "base", "gen"},
	"tool":    {"state", "base", "gen"},
	"testing": {"node", "policy", "experts", "state", "base", "gen"},
}

// internalPath is the prefix of the import paths of the project's internal packages.
const internalPath = "github.com/cardamomyoke/cardamomyoke/internal/"

// LayerFinding is an import that Layers does not allow.
type LayerFinding struct {
	File     string
	From, To string
}

// String formats the finding as FILE: MESSAGE.
func (f LayerFinding) String() string {
	return fmt.Sprintf("%s: %s must not import from %s", f.File, f.From, f.To)
}

// CheckLayers returns the imports below dir, the path of internal/, that Layers does not allow. Test files are not checked,
// so that they may import test helpers.
func CheckLayers(dir string) ([]LayerFinding, error) {
	var found []LayerFinding
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
			return fmt.Errorf("layer of %s: %w", path, err)
		}
		from := layerOf(filepath.ToSlash(relative))
		for _, spec := range file.Imports {
			if to, ok := importedLayer(spec.Path.Value); ok && !mayImport(from, to) {
				found = append(found, LayerFinding{path, from, to})
			}
		}
		return nil
	})
	return found, err
}

func layerOf(path string) string {
	layer, _, _ := strings.Cut(path, "/")
	return layer
}

func importedLayer(literal string) (string, bool) {
	path, err := strconv.Unquote(literal)
	if err != nil {
		return "", false
	}
	rest, ok := strings.CutPrefix(path, internalPath)
	return layerOf(rest), ok
}

func mayImport(from, to string) bool {
	if from == to {
		return true
	}
	for _, layer := range Layers[from] {
		if layer == to {
			return true
		}
	}
	return false
}
