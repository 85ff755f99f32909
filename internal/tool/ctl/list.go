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

// objectKey names an object of a configuration; the kind is that of ListRequest in lower case.
type objectKey struct{ kind, name string }

// kindOfField gives the kind of the objects in a field of Configuration.
var kindOfField = map[protoreflect.Name]string{
	"classes": "class", "services": "service", "groups": "group", "clients": "client", "policies": "policies", "upstreams": "upstream",
}

// kinds are the words for kinds of objects that the command line takes.
var kinds = []string{"all", "class", "service", "group", "client", "policies", "upstream"}

// row is one object of a configuration.
type row struct {
	key    objectKey
	object protoreflect.Message
}

// rowsOf returns the objects of a configuration in the order of the schema.
func rowsOf(c *cardamomyokev1.Configuration) []row {
	var out []row
	m := c.ProtoReflect()
	fields := m.Descriptor().Fields()
	for i := range fields.Len() {
		f := fields.Get(i)
		kind, ok := kindOfField[f.Name()]
		if !ok || !m.Has(f) {
			continue
		}
		if !f.IsList() {
			out = append(out, row{objectKey{kind, ""}, m.Get(f).Message()})
			continue
		}
		for j := range m.Get(f).List().Len() {
			o := m.Get(f).List().Get(j).Message()
			out = append(out, row{objectKey{kind, nameOf(o)}, o})
		}
	}
	return out
}

func objects(c *cardamomyokev1.Configuration) map[objectKey]protoreflect.Message {
	out := map[objectKey]protoreflect.Message{}
	for _, r := range rowsOf(c) {
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
	number := cardamomyokev1.ObjectKind(slices.Index(kinds, kind)) // kinds has the order of the schema
	r, err := s.client.List(ctx, &cardamomyokev1.ListRequest{Kind: number, InForce: inForce})
	if err != nil {
		return fmt.Errorf("list: %w", err)
	}
	if s.output == outputJSON {
		return s.json(r.GetConfiguration())
	}
	var rows [][]string
	for _, o := range rowsOf(r.GetConfiguration()) {
		rows = append(rows, []string{o.key.kind, o.key.name, line(o.object)})
	}
	fmt.Fprintf(s.out, "revision %d\n", r.GetConfiguration().GetRevision())
	s.table([]string{"KIND", "NAME", "CONTENT"}, rows)
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
		return s.json(r)
	}
	var rows [][]string
	for _, e := range r.GetEntries() {
		m := e.GetMeta()
		rows = append(rows, []string{
			fmt.Sprint(e.GetSeq()), fmt.Sprint(e.GetRevision()), formatTime(e.GetCommittedAtUnixMs()),
			m.GetOperator(), m.GetReason(), m.GetOperationId(), summary(e),
		})
	}
	s.table([]string{"ENTRY", "REVISION", "COMMITTED", "OPERATOR", "REASON", "OPERATION", "WHAT"}, rows)
	return nil
}

// summary says in short what an entry of the log does.
func summary(e *cardamomyokev1.LogEntry) string {
	var parts []string
	for _, edit := range e.GetEdits() {
		kind, m := editObject(edit)
		parts = append(parts, strings.TrimSpace(signs[edit.GetAction()]+" "+kind+" "+nameOf(m)))
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
