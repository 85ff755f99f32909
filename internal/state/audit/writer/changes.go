package writer

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"sync"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/reflect/protoreflect"

	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
	cardamomyokev1 "github.com/cardamomyoke/cardamomyoke/internal/gen/cardamomyoke/v1"
	"github.com/cardamomyoke/cardamomyoke/internal/state/audit"
	"github.com/cardamomyoke/cardamomyoke/internal/state/platform"
	"github.com/cardamomyoke/cardamomyoke/internal/state/revision"
	"github.com/cardamomyoke/cardamomyoke/internal/state/revision/store"
)

// Changes copies the configuration log into the chain of changes, row by row. The log is written together with each
// change, so none can be lost when the entry that took it dies: any other entry's next CatchUp writes its row.
type Changes struct {
	table platform.Table
	log   *store.Store
	// newest returns a state that this process holds, to start from; it may be nil.
	newest func() *revision.State

	mu sync.Mutex
	// state is the state at the end of the chain, or nil.
	state *revision.State
}

// NewChanges returns a copier for one process.
func NewChanges(table platform.Table, log *store.Store, newest func() *revision.State) *Changes {
	return &Changes{table: table, log: log, newest: newest}
}

// CatchUp writes a row for each entry that has none yet. Two processes that do it together write each row once: only
// one's transaction finds the end where it was, and the other's work is found done.
func (c *Changes) CatchUp(ctx context.Context) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	head, err := c.log.Head(ctx)
	if err != nil {
		return fmt.Errorf("audit: %w", err)
	}
	for {
		e, err := readEnd(ctx, c.table, audit.ChangesChain)
		if err != nil || e.Seq >= head.GetCommitted() {
			return err
		}
		rows, after, err := c.rows(ctx, e.Seq, min(head.GetCommitted(), e.Seq+maxBatch))
		if err != nil {
			return err
		}
		t, _, _ := appendTxn(e, rows, ids.NewOperation())
		_, err = c.table.Commit(ctx, t)
		switch {
		case err == nil:
			c.state = after
		case isConflict(err) || isUnknown(err):
			// The end, read again, tells what happened.
		default:
			return fmt.Errorf("audit: %w", err)
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
	}
}

// rows returns the rows of the entries after one up to another, and the state at the last.
func (c *Changes) rows(ctx context.Context, after, last uint64) ([]*audit.Row, *revision.State, error) {
	st, err := c.stateAt(ctx, after)
	if err != nil {
		return nil, nil, err
	}
	entries, err := c.log.Entries(ctx, after, last)
	if err != nil {
		return nil, nil, err
	}
	var out []*audit.Row
	for _, e := range entries {
		next, err := st.Apply(e)
		if err != nil {
			return nil, nil, err
		}
		out = append(out, rowOf(e, st, next))
		st = next
	}
	return out, st, nil
}

// stateAt returns the state at one entry: from what this process holds if that is old enough, else from the whole log,
// which is read only when an entry died before it wrote its row.
func (c *Changes) stateAt(ctx context.Context, seq uint64) (*revision.State, error) {
	st := revision.Empty()
	for _, have := range []*revision.State{c.state, c.newest()} {
		if have != nil && have.Seq <= seq && have.Seq > st.Seq {
			st = have
		}
	}
	entries, err := c.log.Entries(ctx, st.Seq, seq)
	if err != nil {
		return nil, err
	}
	for _, e := range entries {
		if st, err = st.Apply(e); err != nil {
			return nil, err
		}
	}
	return st, nil
}

// rowOf tells an entry of the log: who, when, why, from what to what. Of the roster only the nodes that left and joined
// are told: whole rosters of 1,140 names would make the chain large.
func rowOf(e *revision.Entry, before, after *revision.State) *audit.Row {
	r := &audit.Row{
		UnixMs: e.GetCommittedAtUnixMs(), Actor: e.GetMeta().GetOperator(), Reason: e.GetMeta().GetReason(),
		Kind: audit.KindChange, OperationId: e.GetMeta().GetOperationId(), Revision: e.GetRevision(),
	}
	if e.GetRoster() != nil {
		r.Kind = audit.KindRoster
		r.Subject = "roster"
		r.Before = strings.Join(slices.Concat(e.GetRoster().GetRemove(), e.GetRoster().GetSilent()), ", ")
		r.After = names(e.GetRoster().GetAdd())
		return r
	}
	var subjects []string
	for _, edit := range e.GetEdits() {
		subjects = append(subjects, keyOf(edit))
	}
	r.Subject = strings.Join(subjects, ", ")
	r.Before, r.After = list(subjects, before.Configuration()), list(subjects, after.Configuration())
	return r
}

func names(members []*cardamomyokev1.Member) string {
	var out []string
	for _, m := range members {
		out = append(out, m.GetName())
	}
	return strings.Join(out, ", ")
}

// list returns objects as a JSON list; one that does not exist is null.
func list(keys []string, c *cardamomyokev1.Configuration) string {
	found := find(keys, c)
	objects := make([]json.RawMessage, 0, len(keys))
	for _, k := range keys {
		objects = append(objects, found[k])
	}
	text, err := json.Marshal(objects)
	if err != nil {
		panic(err) // protojson wrote them
	}
	return string(text)
}

func keyOf(e *cardamomyokev1.Edit) string {
	m := e.ProtoReflect()
	f := m.WhichOneof(m.Descriptor().Oneofs().ByName("object"))
	if f == nil {
		return ""
	}
	return key(m.Get(f).Message())
}

// key names an object by its type and name; policies, which exist once, have no name.
func key(m protoreflect.Message) string {
	kind := string(m.Descriptor().Name())
	if f := m.Descriptor().Fields().ByName("name"); f != nil {
		return kind + " " + m.Get(f).String()
	}
	return kind
}

// find returns the objects of a configuration that have one of the keys, as JSON.
func find(keys []string, c *cardamomyokev1.Configuration) map[string]json.RawMessage {
	out := map[string]json.RawMessage{}
	take := func(m protoreflect.Message) {
		if k := key(m); slices.Contains(keys, k) {
			out[k] = json.RawMessage(protojson.MarshalOptions{UseProtoNames: true}.Format(m.Interface()))
		}
	}
	c.ProtoReflect().Range(func(f protoreflect.FieldDescriptor, v protoreflect.Value) bool {
		switch {
		case f.Message() == nil:
		case f.IsList():
			for i := range v.List().Len() {
				take(v.List().Get(i).Message())
			}
		default:
			take(v.Message())
		}
		return true
	})
	return out
}
