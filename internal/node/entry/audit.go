package entry

import (
	"time"

	"github.com/cardamomyoke/cardamomyoke/internal/policy/quarantine"
	"github.com/cardamomyoke/cardamomyoke/internal/state/audit"
)

// hearSuspects takes in what a digest says of requests that crash their upstreams, and records which are refused here
// from now on. Refusals that are read from the table were recorded where they were decided.
func (e *Entry) hearSuspects(now time.Time, news []quarantine.Suspect) {
	before := e.quarantine.Snapshot()
	e.quarantine.Merge(now, news...)
	for _, r := range refusals(now, before, e.quarantine.Snapshot(), news) {
		e.state.record(now, r)
	}
}

// refusals returns a row for each request that is refused after the news and was not before.
func refusals(now time.Time, before, after *quarantine.Snapshot, news []quarantine.Suspect) []*audit.Row {
	var out []*audit.Row
	for _, s := range news {
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
