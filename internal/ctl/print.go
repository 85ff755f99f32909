package ctl

import (
	"errors"
	"fmt"
	"strings"
	"text/tabwriter"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	cardamomyokev1 "github.com/cardamomyoke/cardamomyoke/internal/gen/cardamomyoke/v1"
)

// table prints rows under a header, aligned.
func (s *session) table(header []string, rows [][]string) {
	tw := tabwriter.NewWriter(s.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(tw, strings.Join(header, "\t"))
	for _, row := range rows {
		fmt.Fprintln(tw, strings.Join(row, "\t"))
	}
	_ = tw.Flush()
}

// json prints a message as one JSON object.
func (s *session) json(m proto.Message) error {
	text, err := protojson.MarshalOptions{Multiline: true, EmitUnpopulated: true}.Marshal(m)
	if err != nil {
		return fmt.Errorf("print: %w", err)
	}
	fmt.Fprintln(s.out, string(text))
	return nil
}

// printEdits prints what a change does, one line an object: + created, ~ changed, - deleted.
func (s *session) printEdits(edits []*cardamomyokev1.Edit) {
	if len(edits) == 0 {
		fmt.Fprintln(s.out, "nothing to change")
		return
	}
	signs := map[cardamomyokev1.EditAction]string{
		cardamomyokev1.EditAction_EDIT_ACTION_CREATE: "+",
		cardamomyokev1.EditAction_EDIT_ACTION_CHANGE: "~",
		cardamomyokev1.EditAction_EDIT_ACTION_DELETE: "-",
	}
	for _, e := range edits {
		fmt.Fprintf(s.out, "%s %s\n", signs[e.GetAction()], object(e))
	}
}

// object is the kind and content of an edit's object as one line.
func object(e *cardamomyokev1.Edit) string {
	m := e.ProtoReflect()
	field := m.WhichOneof(m.Descriptor().Oneofs().ByName("object"))
	if field == nil {
		return "nothing"
	}
	return fmt.Sprintf("%s %s", field.Name(), protojson.MarshalOptions{}.Format(m.Get(field).Message().Interface()))
}

// describe adds the typed detail of an RPC's error to its text.
func describe(err error) string {
	text := err.Error()
	var ce *connect.Error
	if !errors.As(err, &ce) {
		return text
	}
	for _, d := range ce.Details() {
		value, err := d.Value()
		if err != nil {
			continue
		}
		text += fmt.Sprintf(" (%s)", protojson.MarshalOptions{}.Format(value))
	}
	return text
}
