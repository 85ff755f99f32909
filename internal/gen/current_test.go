package gen_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/bufbuild/protocompile"
	"github.com/google/go-cmp/cmp"
	"google.golang.org/protobuf/reflect/protodesc"
	"google.golang.org/protobuf/reflect/protoreflect"
	"google.golang.org/protobuf/reflect/protoregistry"
	"google.golang.org/protobuf/testing/protocmp"

	_ "github.com/cardamomyoke/cardamomyoke/internal/gen/cardamomyoke/v1"
)

const (
	sources   = "../../proto"
	generated = "."
)

func compiled(t *testing.T) []protoreflect.FileDescriptor {
	paths, err := filepath.Glob(filepath.Join(sources, "cardamomyoke/v1/*.proto"))
	if err != nil || len(paths) == 0 {
		t.Fatalf("no schema found: %v", err)
	}
	names := make([]string, len(paths))
	for i, p := range paths {
		names[i] = "cardamomyoke/v1/" + filepath.Base(p)
	}
	c := protocompile.Compiler{
		Resolver: protocompile.WithStandardImports(&protocompile.SourceResolver{ImportPaths: []string{sources}}),
	}
	files, err := c.Compile(t.Context(), names...)
	if err != nil {
		t.Fatal(err)
	}
	out := make([]protoreflect.FileDescriptor, len(files))
	for i, f := range files {
		out[i] = f
	}
	return out
}

func TestGeneratedCodeIsCurrent(t *testing.T) {
	files := compiled(t)
	for _, f := range files {
		built, err := protoregistry.GlobalFiles.FindFileByPath(f.Path())
		if err != nil {
			t.Errorf("%s was never generated: run make proto", f.Path())
			continue
		}
		want := protodesc.ToFileDescriptorProto(f)
		want.SourceCodeInfo = nil
		if diff := cmp.Diff(want, protodesc.ToFileDescriptorProto(built), protocmp.Transform()); diff != "" {
			t.Errorf("%s differs from its generated code, run make proto:\n%s", f.Path(), diff)
		}
	}
	count := 0
	protoregistry.GlobalFiles.RangeFilesByPackage("cardamomyoke.v1", func(protoreflect.FileDescriptor) bool {
		count++
		return true
	})
	if count != len(files) {
		t.Errorf("%d files are generated, the schema has %d", count, len(files))
	}
}

func TestServicesAreCurrent(t *testing.T) {
	for _, f := range compiled(t) {
		for i := range f.Services().Len() {
			s := f.Services().Get(i)
			base := strings.TrimSuffix(filepath.Base(f.Path()), ".proto")
			text, err := os.ReadFile(filepath.Join(generated, "cardamomyoke/v1/cardamomyokev1connect", base+".connect.go"))
			if err != nil {
				t.Fatal(err)
			}
			for j := range s.Methods().Len() {
				procedure := `"/` + string(s.FullName()) + "/" + string(s.Methods().Get(j).Name()) + `"`
				if !strings.Contains(string(text), procedure) {
					t.Errorf("%s is not generated: run make proto", procedure)
				}
			}
		}
	}
}
