package ctl

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"
	"text/tabwriter"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"

	cardamomyokev1 "github.com/cardamomyoke/cardamomyoke/internal/gen/cardamomyoke/v1"
)

// printTable prints a header and rows in aligned columns.
func (s *session) printTable(header []string, rows [][]string) {
	tw := tabwriter.NewWriter(s.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(tw, strings.Join(header, "\t"))
	for _, row := range rows {
		fmt.Fprintln(tw, strings.Join(row, "\t"))
	}
	_ = tw.Flush()
}

// printProto prints a message as one line of JSON.
func (s *session) printProto(m proto.Message) error {
	text, err := protojson.MarshalOptions{EmitUnpopulated: true}.Marshal(m)
	if err != nil {
		return fmt.Errorf("print: %w", err)
	}
	return s.printJSON(json.RawMessage(text))
}

// printJSON prints a value as one line of JSON.
func (s *session) printJSON(v any) error {
	if err := json.NewEncoder(s.out).Encode(v); err != nil {
		return fmt.Errorf("print: %w", err)
	}
	return nil
}

// editSigns maps edit actions to the signs at the start of the lines of a diff.
var editSigns = map[cardamomyokev1.EditAction]string{
	cardamomyokev1.EditAction_EDIT_ACTION_CREATE: "+",
	cardamomyokev1.EditAction_EDIT_ACTION_CHANGE: "~",
	cardamomyokev1.EditAction_EDIT_ACTION_DELETE: "-",
}

// printEdits prints the edits of a change, one line per object. For a changed object it adds a line for each field that
// differs from before, the configuration to which the change applies; nil if that is unknown.
func (s *session) printEdits(edits []*cardamomyokev1.Edit, before *cardamomyokev1.Configuration) {
	if len(edits) == 0 {
		fmt.Fprintln(s.out, "nothing to change")
		return
	}
	old := objectsByKey(before)
	for _, e := range edits {
		kind, m := editObject(e)
		was := old[objectKey{kind, nameOf(m)}]
		if e.GetAction() != cardamomyokev1.EditAction_EDIT_ACTION_CHANGE || was == nil {
			fmt.Fprintf(s.out, "%s %s %s\n", editSigns[e.GetAction()], kind, formatMessage(m))
			continue
		}
		fmt.Fprintf(s.out, "~ %s %s\n", kind, nameOf(m))
		s.printFields(was, m)
	}
}

func (s *session) printFields(was, is protoreflect.Message) {
	fields := is.Descriptor().Fields()
	for i := range fields.Len() {
		f := fields.Get(i)
		if was.Get(f).Equal(is.Get(f)) {
			continue
		}
		fmt.Fprintf(s.out, "    %s: %s -> %s\n", f.Name(), formatField(was, f), formatField(is, f))
	}
}

func formatField(m protoreflect.Message, f protoreflect.FieldDescriptor) string {
	v := m.Get(f)
	if f.Message() != nil && !f.IsList() {
		return formatMessage(v.Message())
	}
	return fmt.Sprint(v.Interface())
}

// formatMessage returns a message as one line of JSON without spaces. protojson output varies its spaces from build to build,
// which scripts and tests must not depend on.
func formatMessage(m protoreflect.Message) string {
	var out bytes.Buffer
	text := protojson.MarshalOptions{UseProtoNames: true}.Format(m.Interface())
	if err := json.Compact(&out, []byte(text)); err != nil {
		return text
	}
	return out.String()
}

// editObject returns the kind of the object of an edit, which is the name of its field in the schema, and the object.
func editObject(e *cardamomyokev1.Edit) (string, protoreflect.Message) {
	m := e.ProtoReflect()
	field := m.WhichOneof(m.Descriptor().Oneofs().ByName("object"))
	if field == nil {
		return "nothing", m
	}
	return string(field.Name()), m.Get(field).Message()
}

// nameOf returns an object's name. It is empty for the policies, of which there is only one object.
func nameOf(m protoreflect.Message) string {
	f := m.Descriptor().Fields().ByName("name")
	if f == nil {
		return ""
	}
	return m.Get(f).String()
}
