package audit_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/cardamomyoke/cardamomyoke/internal/state/audit"
)

// validAudit returns the rows of an audit without faults: the chains of two nodes, the changes and the register.
func validAudit() []*audit.Row {
	var heads, rows []*audit.Row
	add := func(chain audit.Chain, list ...*audit.Row) {
		linked, head := audit.Head{Chain: chain}.Link(list)
		heads = append(heads, head.Row())
		rows = append(rows, linked...)
	}
	add("a", row(audit.KindInForce, "1"), row(audit.KindInForce, "2"), row(audit.KindInForce, "3"))
	add("b", row(audit.KindLeaseAcquired, "map/g"))
	add(audit.ChangesChain, row(audit.KindChange, "1"), row(audit.KindChange, "2"))
	add(audit.RegisterChain, row(audit.KindStarted, "a"), row(audit.KindStarted, "b"))
	return slices.Concat(heads, rows)
}

func row(kind, subject string) *audit.Row {
	return &audit.Row{Kind: kind, Subject: subject, Actor: "n", UnixMs: 1}
}

func faults(rows []*audit.Row) string {
	v := audit.NewVerifier()
	for _, r := range rows {
		v.Add(r)
	}
	var out []string
	for _, f := range v.Faults() {
		out = append(out, f.Error())
	}
	return strings.Join(out, "\n")
}

func without(key string) func([]*audit.Row) []*audit.Row {
	return func(rows []*audit.Row) []*audit.Row {
		return slices.DeleteFunc(rows, func(r *audit.Row) bool { return strings.HasPrefix(r.GetKey(), key) })
	}
}

func edit(key string, change func(*audit.Row)) func([]*audit.Row) []*audit.Row {
	return func(rows []*audit.Row) []*audit.Row {
		for _, r := range rows {
			if r.GetKey() == key {
				change(r)
			}
		}
		return rows
	}
}

// Guards against a false record that a regulator takes for the true one. An attacker with access to the table removes
// or changes rows afterwards; each manipulation must be detected by the hashes, the heads or the register.
func TestVerifyDetectsTampering(t *testing.T) {
	if got := faults(validAudit()); got != "" {
		t.Fatalf("a valid audit has faults: %s", got)
	}
	second := audit.Chain("a").RowKey(2)
	last := audit.Chain("a").RowKey(3)
	for name, c := range map[string]struct {
		tamper func([]*audit.Row) []*audit.Row
		want   string
	}{
		"a row in the middle is missing":  {without(second), "rows 2 to 2 are missing before it"},
		"the first row is missing":        {without(audit.Chain("a").RowKey(1)), "rows 1 to 1 are missing"},
		"the last row is missing":         {without(last), "rows 3 to 3 are missing at the end"},
		"the last row is changed":         {edit(last, func(r *audit.Row) { r.Actor = "m" }), "does not have the hash that the chain's head names"},
		"a row's reason is changed":       {edit(second, func(r *audit.Row) { r.Reason = "x" }), "does not carry the hash"},
		"a row's time is changed":         {edit(second, func(r *audit.Row) { r.UnixMs = 2 }), "does not carry the hash"},
		"a row is moved":                  {edit(second, func(r *audit.Row) { r.Key = "audit/row/a/x" }), "is no key of the audit"},
		"a head is missing":               {without(audit.Chain("b").HeadKey()), "has no head"},
		"a head belongs to another chain": {edit(audit.Chain("b").HeadKey(), func(r *audit.Row) { r.Subject = "a" }), "is the head of another chain"},
		"the rows of a chain are missing": {without("audit/row/b/"), "rows 1 to 1 are missing at the end"},
		"a chain with its head is missing": {func(rows []*audit.Row) []*audit.Row {
			return without("audit/row/b/")(without(audit.Chain("b").HeadKey())(rows))
		}, "is in the register, but has no head"},
		"a row of the register is missing":    {without(audit.RegisterChain.RowKey(2)), "the chain is not in the register"},
		"the head of the register is missing": {without(audit.RegisterChain.HeadKey()), "the chain has no head"},
		"the head of the changes is missing":  {without(audit.ChangesChain.HeadKey()), "the chain has no head"},
	} {
		t.Run(name, func(t *testing.T) {
			if got := faults(c.tamper(validAudit())); !strings.Contains(got, c.want) {
				t.Fatalf("got %q, want %q", got, c.want)
			}
		})
	}
}

// Guards against faults reported for rows and chains that are added after the heads were read, because rows are written
// while a reader lists the audit.
func TestVerifyAllowsRowsWrittenAfterHeads(t *testing.T) {
	before := validAudit()
	more, _ := audit.HeadOf(before[0]).Link([]*audit.Row{row(audit.KindInForce, "4")})
	newChain, _ := audit.Head{Chain: "c"}.Link([]*audit.Row{row(audit.KindInForce, "4")})
	registered, _ := audit.HeadOf(before[3]).Link([]*audit.Row{row(audit.KindStarted, "c")})
	rows := slices.Concat(before[:7], more, before[7:], newChain, registered)
	if got := faults(rows); got != "" {
		t.Fatal(got)
	}
}

func TestHashCoversEveryField(t *testing.T) {
	r := validAudit()[5]
	fields := r.ProtoReflect().Descriptor().Fields()
	for i := range fields.Len() {
		other := proto.Clone(r).(*audit.Row)
		m := other.ProtoReflect()
		if m.Has(fields.Get(i)) {
			m.Clear(fields.Get(i))
		} else {
			one, _ := audit.Head{Chain: "x"}.Link([]*audit.Row{{Reason: "r", Before: "b", After: "a", OperationId: "o", Revision: 1}})
			m.Set(fields.Get(i), one[0].ProtoReflect().Get(fields.Get(i)))
		}
		if m.Has(fields.Get(i)) == r.ProtoReflect().Has(fields.Get(i)) {
			t.Fatalf("field %s was not changed", fields.Get(i).Name())
		}
		if string(audit.Hash(other)) == string(audit.Hash(r)) {
			t.Errorf("field %s is not covered", fields.Get(i).Name())
		}
	}
}

// Guards against an invisible gap in the audit. The table is unavailable until the buffer overflows, and the newest
// rows are lost. Once there is capacity again, one row must record how many rows were lost.
func TestOverflowIsRecordedAsRow(t *testing.T) {
	b := audit.Buffer{Actor: "e1"}
	at := time.Unix(100, 0)
	for i := range audit.MaxRows + 3 {
		b.Add(at.Add(time.Duration(i)*time.Second), row(audit.KindUpstream, fmt.Sprint(i)))
	}
	if b.Len() != audit.MaxRows || b.Lost() != 3 {
		t.Fatalf("%d rows, %d lost", b.Len(), b.Lost())
	}
	b.Drop(10)
	rows := b.Peek(audit.MaxRows)
	last := rows[len(rows)-1]
	if last.GetKind() != audit.KindOverflow || !strings.HasPrefix(last.GetAfter(), "3 rows lost") || rows[0].GetSubject() != "10" {
		t.Fatalf("last %v, first %v", last, rows[0])
	}
	if !b.Add(at, row(audit.KindUpstream, "x")) || b.Lost() != 0 {
		t.Fatal("the buffer accepts no rows after the overflow")
	}
	big := row(audit.KindUpstream, strings.Repeat("x", audit.MaxBytes))
	if b.Add(at, big) {
		t.Fatal("a row that exceeds the bound in bytes was accepted")
	}
}
