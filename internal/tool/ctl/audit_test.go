package ctl_test

import (
	"strings"
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
	"github.com/cardamomyoke/cardamomyoke/internal/state/audit"
	"github.com/cardamomyoke/cardamomyoke/internal/state/platform"
	"github.com/cardamomyoke/cardamomyoke/internal/tool/ctl"
)

// Guards against an export of a falsified audit log. A row was changed or removed directly in the table; the export must
// report the fault and exit with ExitAudit.
func TestAuditExportFailsOnTampering(t *testing.T) {
	changed := func(key string, value []byte) []byte {
		r := &audit.Row{}
		if err := proto.Unmarshal(value, r); err != nil {
			t.Fatal(err)
		}
		r.Actor = "nobody"
		value, err := proto.Marshal(r)
		if err != nil {
			t.Fatal(err)
		}
		return value
	}
	removed := func(string, []byte) []byte { return nil }
	for name, c := range map[string]struct {
		key  string
		edit func(string, []byte) []byte
	}{
		"a change's row is changed":     {audit.ChangesChain.RowKey(2), changed},
		"a change's row is removed":     {audit.ChangesChain.RowKey(2), removed},
		"the last row is removed":       {audit.ChangesChain.RowKey(3), removed},
		"an order's row is removed":     {audit.Chain("life-1").RowKey(1), removed},
		"the register's row is removed": {audit.RegisterChain.RowKey(1), removed},
	} {
		t.Run(name, func(t *testing.T) {
			d := deploy(t)
			check(t, step{}, run(t, d.address, firstConfig, strings.Fields("apply -f FILE"+metaFlags)...))
			check(t, step{}, run(t, d.address, "", strings.Fields("drain u1"+metaFlags)...))
			check(t, step{}, run(t, d.address, "", strings.Fields("order load-model u1 m v1"+metaFlags)...))
			check(t, step{err: []string{"verified:"}}, run(t, d.address, "", "audit", "export", "--verify"))
			old := d.store.Peek(c.key)
			if old.Version == 0 {
				t.Fatalf("there is no row %s", c.key)
			}
			_, err := d.store.Commit(t.Context(), platform.Txn{
				Operation: ids.NewOperation(), Puts: []platform.Put{{Key: c.key, Value: c.edit(c.key, old.Value)}},
			})
			if err != nil {
				t.Fatal(err)
			}
			check(t, step{code: ctl.ExitAudit, err: []string{"faults"}}, run(t, d.address, "", "audit", "export", "--verify"))
		})
	}
}
