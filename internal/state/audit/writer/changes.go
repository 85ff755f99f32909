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

// Changes copies the configuration log to ChangesChain, one row for each log entry. Each change is committed together
// with its log entry, so no audit row is lost if the process that committed the change crashes: the next CatchUp of any
// other process writes it.
type Changes struct {
	table platform.Table
	log   *store.Store
	// localState returns a configuration state of this process from which to apply the log; the state may be nil.
	localState func() *revision.State

	mu sync.Mutex
	// state is the state at the end of the chain, or nil.
	state *revision.State
}

// NewChanges returns the Changes of one process.
func NewChanges(table platform.Table, log *store.Store, localState func() *revision.State) *Changes {
	return &Changes{table: table, log: log, localState: localState}
}

// CatchUp writes a row for each log entry that has none yet. Processes that do so concurrently write each row
// once: a transaction is applied only if the end of the chain is unchanged, and the other process then reads the new
// end.
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
			// The next iteration reads the end again and continues from there.
		default:
			return fmt.Errorf("audit: %w", err)
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
	}
}

// rows returns the audit rows of the log entries with sequence numbers above after, up to and including last, and the
// state at last.
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
		out = append(out, newChangeRow(e, st, next))
		st = next
	}
	return out, st, nil
}

// stateAt returns the configuration state at log entry seq. It starts from the newest state of this process that is
// not newer than seq, else from the start of the log. The full log is read only if a process crashed before it wrote its
// row.
func (c *Changes) stateAt(ctx context.Context, seq uint64) (*revision.State, error) {
	st := revision.Empty()
	for _, have := range []*revision.State{c.state, c.localState()} {
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

// newChangeRow returns the audit row of a log entry: the operator, time, reason, and the objects before and after. For
// a change of the roster it lists only the nodes removed and added: full rosters of 1,140 names would make the chain
// large.
func newChangeRow(e *revision.LogEntry, before, after *revision.State) *audit.Row {
	r := &audit.Row{
		UnixMs: e.GetCommittedAtUnixMs(), Actor: e.GetMeta().GetOperator(), Reason: e.GetMeta().GetReason(),
		Kind: audit.KindChange, OperationId: e.GetMeta().GetOperationId(), Revision: e.GetRevision(),
	}
	if e.GetRoster() != nil {
		r.Kind = audit.KindRoster
		r.Subject = "roster"
		r.Before = strings.Join(slices.Concat(e.GetRoster().GetRemove(), e.GetRoster().GetSilent()), ", ")
		r.After = memberNames(e.GetRoster().GetAdd())
		return r
	}
	var subjects []string
	for _, edit := range e.GetEdits() {
		subjects = append(subjects, editKey(edit))
	}
	r.Subject = strings.Join(subjects, ", ")
	r.Before, r.After = objectsJSON(subjects, before.Configuration()), objectsJSON(subjects, after.Configuration())
	return r
}

func memberNames(members []*cardamomyokev1.Member) string {
	var out []string
	for _, m := range members {
		out = append(out, m.GetName())
	}
	return strings.Join(out, ", ")
}

// objectsJSON returns the objects with the given keys as a JSON list. An object that does not exist is null.
func objectsJSON(keys []string, c *cardamomyokev1.Configuration) string {
	found := findObjects(keys, c)
	objects := make([]json.RawMessage, 0, len(keys))
	for _, k := range keys {
		objects = append(objects, found[k])
	}
	text, err := json.Marshal(objects)
	if err != nil {
		panic(err) // the list elements were encoded by protojson
	}
	return string(text)
}

func editKey(e *cardamomyokev1.Edit) string {
	m := e.ProtoReflect()
	f := m.WhichOneof(m.Descriptor().Oneofs().ByName("object"))
	if f == nil {
		return ""
	}
	return objectKey(m.Get(f).Message())
}

// objectKey identifies an object by its type and name. Policies exist only once and have no name.
func objectKey(m protoreflect.Message) string {
	kind := string(m.Descriptor().Name())
	if f := m.Descriptor().Fields().ByName("name"); f != nil {
		return kind + " " + m.Get(f).String()
	}
	return kind
}

// findObjects returns the objects of a configuration that have one of the keys, encoded as JSON.
func findObjects(keys []string, c *cardamomyokev1.Configuration) map[string]json.RawMessage {
	out := map[string]json.RawMessage{}
	collect := func(m protoreflect.Message) {
		if k := objectKey(m); slices.Contains(keys, k) {
			out[k] = json.RawMessage(protojson.MarshalOptions{UseProtoNames: true}.Format(m.Interface()))
		}
	}
	c.ProtoReflect().Range(func(f protoreflect.FieldDescriptor, v protoreflect.Value) bool {
		switch {
		case f.Message() == nil:
		case f.IsList():
			for i := range v.List().Len() {
				collect(v.List().Get(i).Message())
			}
		default:
			collect(v.Message())
		}
		return true
	})
	return out
}
