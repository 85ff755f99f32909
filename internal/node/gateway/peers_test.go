package gateway

import (
	"testing"
	"time"

	cardamomyokev1 "github.com/cardamomyoke/cardamomyoke/internal/gen/cardamomyoke/v1"
)

// A gateway's host has its time of day ahead, the gateway starts, the time is set back, and the gateway starts again. Its
// new life sorts before the old one. The others must hear it once the old one is silent, or callers are not told of its
// address for half a minute; a late digest of an ended life must not bring that back.
func TestALifeThatSortsEarlierIsHeard(t *testing.T) {
	heard := time.Unix(1000, 0)
	digest := func(life string, sequence uint64) *cardamomyokev1.Digest {
		return &cardamomyokev1.Digest{Incarnation: life, Sequence: sequence}
	}
	known := &peer{digest: digest("b", 7), heardAt: heard}
	for _, c := range []struct {
		name string
		next *cardamomyokev1.Digest
		at   time.Time
		want bool
	}{
		{"the next of the same life", digest("b", 8), heard, true},
		{"a copy", digest("b", 7), heard, false},
		{"a later life", digest("c", 1), heard, true},
		{"a late digest of an earlier life", digest("a", 9), heard.Add(peerSilent), false},
		{"an earlier life after silence", digest("a", 1), heard.Add(peerSilent + 1), true},
	} {
		if got := known.replacedBy(c.next, c.at); got != c.want {
			t.Errorf("%s: %v", c.name, got)
		}
	}
}

// All gateways start again at once, and the lease names one that this gateway has not heard yet. Taking the duty over would
// depose a leader that lives, and the next gateway would do the same.
func TestALeaderThatIsNotKnownYetHasNotEnded(t *testing.T) {
	g := &Gateway{}
	g.settings.Store(&Settings{Name: "own"})
	for _, c := range []struct {
		name  string
		since time.Duration
		heard time.Duration
		want  bool
	}{
		{"never heard, just started", 600 * time.Millisecond, -1, false},
		{"never heard, long after the start", unknownFor + time.Second, -1, true},
		{"heard just now", unknownFor + time.Second, 0, false},
		{"silent", unknownFor + time.Second, leaderSilent + time.Second, true},
		{"silent, just started", 200 * time.Millisecond, leaderSilent + time.Second, false},
	} {
		p := &peers{g: g, began: time.Now().Add(-c.since), known: map[string]*peer{}}
		if c.heard >= 0 {
			p.known["other"] = &peer{digest: &cardamomyokev1.Digest{Incarnation: "a"}, heardAt: time.Now().Add(-c.heard)}
		}
		if got := p.ended("other", "a"); got != c.want {
			t.Errorf("%s: %v", c.name, got)
		}
	}
}
