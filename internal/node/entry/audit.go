package entry

import (
	"time"

	"github.com/cardamomyoke/cardamomyoke/internal/policy/quarantine"
	"github.com/cardamomyoke/cardamomyoke/internal/state/audit"
)

// mergeSuspects merges the suspects of a digest: requests that may crash their upstreams. It records those that this
// entry refuses from now on. Refusals that are read from the table were recorded by the process that decided them.
func (e *Entry) mergeSuspects(now time.Time, updates []quarantine.Suspect) {
	before := e.quarantine.Snapshot()
	e.quarantine.Merge(now, updates...)
	for _, r := range refusals(now, before, e.quarantine.Snapshot(), updates) {
		e.state.record(now, r)
	}
}

// refusals returns an audit row for each request that is refused after the update and was not before.
func refusals(now time.Time, before, after *quarantine.Snapshot, updates []quarantine.Suspect) []*audit.Row {
	var out []*audit.Row
	for _, s := range updates {
		was, _ := before.Classify(now, s.Fingerprint)
		is, until := after.Classify(now, s.Fingerprint)
		if is != quarantine.Refused || was == quarantine.Refused {
			continue
		}
		out = append(out, &audit.Row{
			Kind: audit.KindQuarantined, Subject: s.Fingerprint.String(), Before: was.String(),
			After:  is.String() + " until " + until.UTC().Format(time.RFC3339),
			Reason: "upstreams died that ran this request of client " + string(s.Client),
		})
	}
	return out
}
