package ctl

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"google.golang.org/protobuf/reflect/protoreflect"

	cardamomyokev1 "github.com/cardamomyoke/cardamomyoke/internal/gen/cardamomyoke/v1"
)

// objectKey identifies an object of a configuration. kind is the ObjectKind of ListRequest in lower case.
type objectKey struct{ kind, name string }

// kindOfField maps the fields of Configuration to the kind of their objects.
var kindOfField = map[protoreflect.Name]string{
	"classes": "class", "services": "service", "groups": "group", "clients": "client", "policies": "policies", "upstreams": "upstream",
}

// kinds holds the kinds of objects that the command line accepts, indexed by ObjectKind.
var kinds = []string{"all", "class", "service", "group", "client", "policies", "upstream"}

// namedObject is one object of a configuration and its key.
type namedObject struct {
	key    objectKey
	object protoreflect.Message
}

// objectsOf returns the objects of a configuration, in the field order of the schema.
func objectsOf(c *cardamomyokev1.Configuration) []namedObject {
	var out []namedObject
	m := c.ProtoReflect()
	fields := m.Descriptor().Fields()
	for i := range fields.Len() {
		f := fields.Get(i)
		kind, ok := kindOfField[f.Name()]
		if !ok || !m.Has(f) {
			continue
		}
		if !f.IsList() {
			out = append(out, namedObject{objectKey{kind, ""}, m.Get(f).Message()})
			continue
		}
		for j := range m.Get(f).List().Len() {
			o := m.Get(f).List().Get(j).Message()
			out = append(out, namedObject{objectKey{kind, nameOf(o)}, o})
		}
	}
	return out
}

func objectsByKey(c *cardamomyokev1.Configuration) map[objectKey]protoreflect.Message {
	out := map[objectKey]protoreflect.Message{}
	for _, r := range objectsOf(c) {
		out[r.key] = r.object
	}
	return out
}

func (s *session) registerList(app *kingpin.Application) {
	cmd := app.Command("list", "List the objects of the committed configuration.")
	kind := cmd.Arg("kind", strings.Join(kinds, ", ")+".").Default(kinds[0]).Enum(kinds...)
	inForce := cmd.Flag("in-force", "What is in force at the entry asked; needs no table.").Bool()
	s.command(cmd, func(ctx context.Context) error { return s.list(ctx, *kind, *inForce) })
}

func (s *session) list(ctx context.Context, kind string, inForce bool) error {
	number := cardamomyokev1.ObjectKind(slices.Index(kinds, kind)) // kinds is indexed by ObjectKind
	r, err := s.client.List(ctx, &cardamomyokev1.ListRequest{Kind: number, InForce: inForce})
	if err != nil {
		return fmt.Errorf("list: %w", err)
	}
	if s.output == outputJSON {
		return s.printProto(r.GetConfiguration())
	}
	var rows [][]string
	for _, o := range objectsOf(r.GetConfiguration()) {
		rows = append(rows, []string{o.key.kind, o.key.name, formatMessage(o.object)})
	}
	fmt.Fprintf(s.out, "revision %d\n", r.GetConfiguration().GetRevision())
	s.printTable([]string{"KIND", "NAME", "CONTENT"}, rows)
	return nil
}

func (s *session) registerHistory(app *kingpin.Application) {
	cmd := app.Command("history", "List the log of changes, newest first.")
	limit := cmd.Flag("limit", "Most entries, at most 1000.").Default("20").Uint32()
	before := cmd.Flag("before", "Only entries before this one.").Uint64()
	s.command(cmd, func(ctx context.Context) error { return s.history(ctx, *before, *limit) })
}

func (s *session) history(ctx context.Context, before uint64, limit uint32) error {
	r, err := s.client.ListRevisions(ctx, &cardamomyokev1.ListRevisionsRequest{BeforeSeq: before, Limit: limit})
	if err != nil {
		return fmt.Errorf("history: %w", err)
	}
	if s.output == outputJSON {
		return s.printProto(r)
	}
	var rows [][]string
	for _, e := range r.GetEntries() {
		m := e.GetMeta()
		rows = append(rows, []string{
			fmt.Sprint(e.GetSeq()), fmt.Sprint(e.GetRevision()), formatTime(e.GetCommittedAtUnixMs()),
			m.GetOperator(), m.GetReason(), m.GetOperationId(), summary(e),
		})
	}
	s.printTable([]string{"ENTRY", "REVISION", "COMMITTED", "OPERATOR", "REASON", "OPERATION", "WHAT"}, rows)
	return nil
}

// summary lists the edits and member changes of a log entry on one line.
func summary(e *cardamomyokev1.LogEntry) string {
	var parts []string
	for _, edit := range e.GetEdits() {
		kind, m := editObject(edit)
		parts = append(parts, strings.TrimSpace(editSigns[edit.GetAction()]+" "+kind+" "+nameOf(m)))
	}
	for _, m := range e.GetRoster().GetAdd() {
		parts = append(parts, "+ node "+m.GetName())
	}
	for _, name := range e.GetRoster().GetRemove() {
		parts = append(parts, "- node "+name)
	}
	for _, name := range e.GetRoster().GetSilent() {
		parts = append(parts, "- silent node "+name)
	}
	return strings.Join(parts, "; ")
}

func formatTime(unixMS int64) string { return time.UnixMilli(unixMS).UTC().Format(time.RFC3339) }
