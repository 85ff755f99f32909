package entry

import (
	"crypto/sha256"
	"strings"
	"testing"
	"time"

	"github.com/cardamomyoke/cardamomyoke/internal/policy/quarantine"
	"github.com/cardamomyoke/cardamomyoke/internal/state/audit"
)

// Guards against an audit that lacks a refusal, holds it twice or lists mere suspicions. A request crashes an upstream
// together with another request, then crashes one while it runs alone, as a quarantine trial run; the second crash is
// reported twice. Only the change to refused is recorded, once, with the end of the refusal and the client.
func TestRefusalsAreRecordedOnce(t *testing.T) {
	now := time.Unix(1000, 0)
	p := quarantine.NewPersistentTracker(nil, quarantine.Rules{Period: time.Minute}, quarantine.DefaultPersistentTrackerOptions())
	poison := quarantine.Running{Fingerprint: quarantine.FingerprintOf("azteca", sha256.Sum256([]byte("x"))), Client: "azteca"}
	other := quarantine.Running{Fingerprint: quarantine.FingerprintOf("norte", sha256.Sum256([]byte("y"))), Client: "norte"}
	var got []*audit.Row
	for _, c := range []quarantine.Crash{
		{ID: 1, At: now, Ran: []quarantine.Running{poison, other}},
		{ID: 2, At: now, Ran: []quarantine.Running{poison}, RanAlone: true},
		{ID: 2, At: now, Ran: []quarantine.Running{poison}, RanAlone: true},
	} {
		before := p.Snapshot()
		p.Merge(now, c.Suspects()...)
		got = append(got, refusals(now, before, p.Snapshot(), c.Suspects())...)
	}
	if len(got) != 1 {
		t.Fatalf("rows %v", got)
	}
	r := got[0]
	if r.GetSubject() != poison.Fingerprint.String() || r.GetBefore() != "suspected" ||
		r.GetAfter() != "refused until 1970-01-01T00:17:40Z" || !strings.HasSuffix(r.GetReason(), "azteca") {
		t.Fatalf("row %v", r)
	}
}
