package writer_test

import (
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
	cardamomyokev1 "github.com/cardamomyoke/cardamomyoke/internal/gen/cardamomyoke/v1"
	"github.com/cardamomyoke/cardamomyoke/internal/state/audit"
	"github.com/cardamomyoke/cardamomyoke/internal/state/audit/writer"
	"github.com/cardamomyoke/cardamomyoke/internal/state/config"
	"github.com/cardamomyoke/cardamomyoke/internal/state/platform"
	"github.com/cardamomyoke/cardamomyoke/internal/state/revision"
	"github.com/cardamomyoke/cardamomyoke/internal/state/revision/store"
	standin "github.com/cardamomyoke/cardamomyoke/internal/testing/standin/platform"
)

var at = time.Unix(1000, 0)

func newWriter(s *standin.Store, name string) *writer.Writer {
	return writer.New(writer.Options{Node: "n-" + name, Incarnation: ids.Incarnation(name), Table: s, Objects: s})
}

// storedRows ends all faults of the table, verifies its audit rows and returns them without the heads.
func storedRows(t *testing.T, s *standin.Store) []*audit.Row {
	t.Helper()
	s.SetFaults(standin.PartTable, standin.Faults{})
	rows, err := s.List(t.Context(), audit.Prefix, "", 10_000)
	if err != nil {
		t.Fatal(err)
	}
	v := audit.NewVerifier()
	var out []*audit.Row
	for _, row := range rows {
		r := &audit.Row{}
		if err := proto.Unmarshal(row.Value, r); err != nil {
			t.Fatal(err)
		}
		v.Add(r)
		if !audit.IsHead(r) {
			out = append(out, r)
		}
	}
	for _, f := range v.Faults() {
		t.Error(f)
	}
	return out
}

// subjects returns the subjects of the rows of one kind, in sequence.
func subjects(rows []*audit.Row, kind string) string {
	var out []string
	for _, r := range rows {
		if r.GetKind() == kind {
			out = append(out, r.GetSubject())
		}
	}
	return strings.Join(out, " ")
}

func record(w *writer.Writer, subject string) {
	w.Record(at, &audit.Row{Kind: audit.KindUpstream, Subject: subject})
}

// flushAll flushes until all rows are written. Each attempt consumes one failure of the stand-in.
func flushAll(t *testing.T, w *writer.Writer) {
	t.Helper()
	var err error
	for range 20 {
		if err = w.Flush(t.Context()); err == nil {
			return
		}
	}
	t.Fatalf("the rows are not written: %v", err)
}

// Guards against rows that are in the chain twice. Responses of the table are lost after the writes took effect, first
// of the registration, then of the rows, while another row is recorded. Retried in another transaction, the rows would
// be appended again.
func TestLostResponsesWriteEachRowOnce(t *testing.T) {
	s := standin.NewStore(standin.Limits{})
	w := newWriter(s, "a")
	record(w, "u1")
	s.SetFaults(standin.PartTable, standin.Faults{LoseResponses: 3})
	if err := w.Flush(t.Context()); err == nil {
		t.Fatal("no response was lost")
	}
	record(w, "u2")
	flushAll(t, w)
	if got := subjects(storedRows(t, s), audit.KindUpstream); got != "u1 u2" {
		t.Fatalf("rows %q", got)
	}
	if got := subjects(storedRows(t, s), audit.KindStarted); got != "a" {
		t.Fatalf("register %q", got)
	}
}

// Guards against rows within the buffer's bound that are lost or reordered because the table is unavailable while they
// are recorded.
func TestRowsSurviveTableOutage(t *testing.T) {
	s := standin.NewStore(standin.Limits{})
	w := newWriter(s, "a")
	s.SetFaults(standin.PartTable, standin.Faults{Outage: true})
	for i := range 200 {
		record(w, fmt.Sprintf("u%03d", i))
		if err := w.Flush(t.Context()); err == nil {
			t.Fatal("written during an outage")
		}
	}
	s.SetFaults(standin.PartTable, standin.Faults{})
	flushAll(t, w)
	got := strings.Fields(subjects(storedRows(t, s), audit.KindUpstream))
	if len(got) != 200 || got[0] != "u000" || got[199] != "u199" {
		t.Fatalf("%d rows: %v", len(got), got)
	}
}

// Guards against a node that is not registered because many nodes start at the same time, as after the outage of a data
// centre, and conflict at the end of the register.
func TestNodesRegisterConcurrently(t *testing.T) {
	s := standin.NewStore(standin.Limits{})
	var all sync.WaitGroup
	for i := range 8 {
		w := newWriter(s, fmt.Sprint("life-", i))
		record(w, "u1")
		all.Go(func() { flushAll(t, w) })
	}
	all.Wait()
	if got := strings.Fields(subjects(storedRows(t, s), audit.KindStarted)); len(got) != 8 {
		t.Fatalf("register %v", got)
	}
}

// Guards against a writer that appends rows to a chain that an attacker has truncated, with its head reset. It must
// report a conflict instead.
func TestWriterStopsOnModifiedChain(t *testing.T) {
	s := standin.NewStore(standin.Limits{})
	w := newWriter(s, "a")
	record(w, "u1")
	flushAll(t, w)
	head := audit.Head{Chain: "a"}
	value, _ := proto.Marshal(head.Row())
	_, err := s.Commit(t.Context(), platform.Txn{Operation: "cut", Puts: []platform.Put{
		{Key: head.Chain.HeadKey(), Value: value}, {Key: head.Chain.RowKey(1)},
	}})
	if err != nil {
		t.Fatal(err)
	}
	record(w, "u2")
	var conflict *platform.ConflictError
	if err := w.Flush(t.Context()); !errors.As(err, &conflict) {
		t.Fatalf("got %v", err)
	}
}

// Guards against rows that are missing, repeated or out of sequence in the archive because the object store is
// unavailable at first.
func TestArchiveAfterOutage(t *testing.T) {
	s := standin.NewStore(standin.Limits{})
	w := newWriter(s, "a")
	s.SetFaults(standin.PartObjects, standin.Faults{Outage: true})
	for i := range 300 {
		record(w, fmt.Sprint(i))
	}
	if err := w.Flush(t.Context()); err == nil {
		t.Fatal("archived during an outage")
	}
	s.SetFaults(standin.PartObjects, standin.Faults{})
	if err := w.Flush(t.Context()); err != nil {
		t.Fatal(err)
	}
	var got []*audit.Row
	for _, span := range [][2]int{{1, 256}, {257, 300}} {
		name := writer.ObjectName("a", fmt.Sprintf("%016d", span[0]), fmt.Sprintf("%016d", span[1]))
		rows, err := writer.ReadObject(t.Context(), s, name)
		if err != nil {
			t.Fatal(err)
		}
		got = append(got, rows...)
	}
	for i, r := range got {
		if r.GetKey() != audit.Chain("a").RowKey(uint64(i)+1) || r.GetSubject() != fmt.Sprint(i) {
			t.Fatalf("row %d is %v", i, r)
		}
	}
	if len(got) != 300 {
		t.Fatalf("%d rows", len(got))
	}
}

// changePolicy commits a change of one policy. The operation id is also the reason.
func changePolicy(t *testing.T, l *store.Store, id string, base uint64, ms uint32) {
	t.Helper()
	meta := &cardamomyokev1.ChangeMeta{Operator: "ana", Reason: id, OperationId: id, BaseRevision: base}
	_, err := l.Change(t.Context(), nil, meta, func(*revision.State) ([]*cardamomyokev1.Edit, error) {
		return []*cardamomyokev1.Edit{{
			Action: cardamomyokev1.EditAction_EDIT_ACTION_CHANGE,
			Object: &cardamomyokev1.Edit_Policies{Policies: &cardamomyokev1.Policies{AddressKeepMs: ms, EjectionPercent: 30, QuarantineS: 60}},
		}}, nil
	})
	if err != nil {
		t.Fatal(err)
	}
}

// Guards against changes without an audit row, or with two. An entry process commits changes and crashes before it
// writes their rows; several others find the changes in the log at the same time, and a response is lost. Each change
// must have one row, with its objects before and after.
func TestChangesOfDeadEntryAreAudited(t *testing.T) {
	s := standin.NewStore(standin.Limits{})
	l := store.New(s, func() time.Time { return at })
	changePolicy(t, l, "op-1", 0, 5000)
	changePolicy(t, l, "op-2", 1, 6000)
	noState := func() *revision.State { return nil }
	s.SetFaults(standin.PartTable, standin.Faults{LoseResponses: 1})
	var all sync.WaitGroup
	for range 4 {
		c := writer.NewChanges(s, l, noState)
		all.Go(func() {
			if err := c.CatchUp(t.Context()); err != nil {
				t.Error(err)
			}
		})
	}
	all.Wait()
	changePolicy(t, l, "op-3", 2, 7000)
	if err := writer.NewChanges(s, l, noState).CatchUp(t.Context()); err != nil {
		t.Fatal(err)
	}
	rows := storedRows(t, s)
	var got []string
	for _, r := range rows {
		got = append(got, r.GetOperationId())
	}
	if strings.Join(got, " ") != "op-1 op-2 op-3" {
		t.Fatalf("rows %v", got)
	}
	if !strings.Contains(rows[2].GetBefore(), "6000") || !strings.Contains(rows[2].GetAfter(), "7000") ||
		rows[0].GetBefore() != "[null]" || rows[2].GetActor() != "ana" || rows[2].GetUnixMs() != at.UnixMilli() {
		t.Fatalf("rows %v", rows)
	}
}

func TestRevisionRecorderRecordsEachRevisionOnce(t *testing.T) {
	s := standin.NewStore(standin.Limits{})
	l := store.New(s, func() time.Time { return at })
	w := newWriter(s, "a")
	r := &writer.RevisionRecorder{Writer: w}
	r.Observe(at, &revision.View{})
	for n := range 3 {
		changePolicy(t, l, fmt.Sprint("op-", n), uint64(n), uint32(5000+n))
		st, err := l.Committed(t.Context(), nil)
		if err != nil {
			t.Fatal(err)
		}
		r.Observe(at, &revision.View{InForce: st})
		r.Observe(at, &revision.View{InForce: st})
	}
	flushAll(t, w)
	var got []string
	for _, r := range storedRows(t, s) {
		if r.GetKind() == audit.KindInForce {
			got = append(got, fmt.Sprint(r.GetActor(), " ", r.GetBefore(), " -> ", r.GetAfter()))
		}
	}
	want := "n-a revision 0 -> revision 1; n-a revision 1 -> revision 2; n-a revision 2 -> revision 3"
	if strings.Join(got, "; ") != want {
		t.Fatalf("rows %v", got)
	}
}

// Guards against an audit that says that every live node held a revision, while the node put it in force because it knew of no
// recent read of the table.
func TestRevisionInForceBeforeAcceptanceIsAuditedAsSuch(t *testing.T) {
	s := standin.NewStore(standin.Limits{})
	w := newWriter(s, "a")
	r := &writer.RevisionRecorder{Writer: w}
	const accepted = 3
	for _, revisionNumber := range []uint64{3, 4} {
		snap, err := config.NewSnapshot(&cardamomyokev1.Configuration{Revision: revisionNumber, Policies: &cardamomyokev1.Policies{AddressKeepMs: 1000, QuarantineS: 60}})
		if err != nil {
			t.Fatal(err)
		}
		r.Observe(at, &revision.View{InForce: &revision.State{Seq: revisionNumber, Config: snap}, Accepted: accepted})
	}
	if err := w.Flush(t.Context()); err != nil {
		t.Fatal(err)
	}
	for _, row := range storedRows(t, s) {
		if row.GetKind() != audit.KindInForce {
			continue
		}
		held := row.GetReason() == "every live node holds it"
		if held != (row.GetRevision() == 3) {
			t.Errorf("revision %d: %q", row.GetRevision(), row.GetReason())
		}
	}
}
