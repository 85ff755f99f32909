package ctl

import (
	"context"
	"fmt"
	"os"

	"github.com/alecthomas/kingpin/v2"
	"github.com/goccy/go-yaml"
	"google.golang.org/protobuf/encoding/protojson"

	cardamomyokev1 "github.com/cardamomyoke/cardamomyoke/internal/gen/cardamomyoke/v1"
)

func fileFlag(cmd *kingpin.CmdClause) *string {
	return cmd.Flag("file", "Configuration (JSON or YAML).").Short('f').Required().String()
}

func (s *session) registerApply(app *kingpin.Application) {
	cmd := app.Command("apply", "Make the configuration equal to a file; prints what changes.")
	file := fileFlag(cmd)
	dryRun := cmd.Flag("dry-run", "Only print what would change.").Bool()
	f := s.addChangeFlags(cmd)
	s.command(cmd, func(ctx context.Context) error {
		diff, err := s.diff(ctx, *file)
		if err != nil || *dryRun || len(diff.GetEdits()) == 0 {
			return err
		}
		return s.change(ctx, f, diff)
	})
}

func (s *session) registerDiff(app *kingpin.Application) {
	cmd := app.Command("diff", "Print what separates the committed configuration from a file.")
	file := fileFlag(cmd)
	s.command(cmd, func(ctx context.Context) error {
		_, err := s.diff(ctx, *file)
		return err
	})
}

// diff prints and returns the edits that turn the committed configuration into that of a file.
func (s *session) diff(ctx context.Context, file string) (*cardamomyokev1.DiffResponse, error) {
	wanted, err := readConfiguration(file)
	if err != nil {
		return nil, err
	}
	diff, err := s.client.Diff(ctx, &cardamomyokev1.DiffRequest{Wanted: wanted})
	if err != nil {
		return nil, fmt.Errorf("diff: %w", err)
	}
	if s.output == outputJSON {
		return diff, s.printProto(diff)
	}
	before, err := s.client.List(ctx, &cardamomyokev1.ListRequest{})
	if err != nil {
		return nil, fmt.Errorf("diff: %w", err)
	}
	s.printEdits(diff.GetEdits(), before.GetConfiguration())
	return diff, nil
}

func (s *session) change(ctx context.Context, f *changeFlags, diff *cardamomyokev1.DiffResponse) error {
	request := &cardamomyokev1.ChangeRequest{Meta: f.meta(diff.GetBaseRevision()), Edits: diff.GetEdits(), WaitMs: f.waitMS()}
	var response *cardamomyokev1.ChangeResponse
	err := sendWithRetry(ctx, f.operation, func(ctx context.Context) error {
		var err error
		response, err = s.client.Change(ctx, request)
		return err
	})
	if err != nil {
		return fmt.Errorf("change: %w", err)
	}
	return s.printOutcome(f.operation, response.GetOutcome())
}

// readConfiguration reads a configuration in YAML or JSON, which is a subset of YAML. Errors: *FileError.
func readConfiguration(file string) (*cardamomyokev1.Configuration, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, &FileError{file, err}
	}
	text, err = yaml.YAMLToJSON(text)
	if err != nil {
		return nil, &FileError{file, err}
	}
	c := &cardamomyokev1.Configuration{}
	if err := protojson.Unmarshal(text, c); err != nil {
		return nil, &FileError{file, err}
	}
	return c, nil
}
