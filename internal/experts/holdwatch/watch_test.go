package holdwatch_test

import (
	"testing"
	"time"

	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
	"github.com/cardamomyoke/cardamomyoke/internal/experts/holdwatch"
)

const (
	interval = 20 * time.Millisecond
	silence  = 50 * time.Millisecond
)

// event is a notice at some ms, or the begin of a pause of the standby's process.
type event struct {
	at       int
	fence    ids.Fence
	sequence uint64
	held     bool
	paused   bool
}

// takeoverAt plays events against a standby with spare token 9, ticks it, and returns the ms of its takeover, or -1.
func takeoverAt(events []event, change func(ms int, in *holdwatch.Input)) int {
	var w holdwatch.Watch
	at := func(ms int) time.Time { return time.Unix(0, 0).Add(time.Duration(ms) * time.Millisecond) }
	for ms := range 3000 {
		for _, e := range events {
			if e.at == ms && !e.paused {
				w.Hear(at(ms), holdwatch.Notice{Fence: e.fence, Sequence: e.sequence, Outstanding: e.held})
			}
		}
		if ms%10 != 0 || inPause(events, ms) {
			continue
		}
		in := holdwatch.Input{
			Ready: true, Spare: 9, Newest: 5, Others: true, OtherHeardAt: at(ms), Interval: interval, Silence: silence,
		}
		if change != nil {
			change(ms, &in)
		}
		if w.Tick(at(ms), in) {
			return ms
		}
	}
	return -1
}

// pauseLength is how long a paused standby neither ticks nor reads.
const pauseLength = 300

func inPause(events []event, ms int) bool {
	for _, e := range events {
		if e.paused && ms >= e.at && ms < e.at+pauseLength {
			return true
		}
	}
	return false
}

// notices returns notices of token 5 each 20 ms from 100 up to the given ms.
func notices(until int) []event {
	var out []event
	for ms := 100; ms <= until; ms += 20 {
		out = append(out, event{at: ms, fence: 5, sequence: uint64(ms), held: true})
	}
	return out
}

// Guards against a group that stays held while its leader stalls, and against takeovers from a leader that is alive:
// with a datagram lost, late or duplicated, a leader that is delayed for less than the setting, a standby whose own
// process or network fails, and a standby whose token cannot be used.
func TestTakeover(t *testing.T) {
	released := event{at: 165, fence: 5, sequence: 165}
	for _, c := range []struct {
		name   string
		events []event
		change func(ms int, in *holdwatch.Input)
		want   int
	}{
		{"the leader goes silent", notices(160), nil, 230},
		{"the second standby", notices(160), func(_ int, in *holdwatch.Input) { in.LowerSpares = 1 }, 300},
		{"released", append(notices(160), released), nil, -1},
		{"a late copy after the release", append(notices(160), released, event{at: 180, fence: 5, sequence: 160, held: true}), nil, -1},
		{"the first copy of the release is lost", append(notices(160), event{at: 185, fence: 5, sequence: 185}), nil, -1},
		{"two notices are lost", append(notices(160), event{at: 225, fence: 5, sequence: 225, held: true}, event{at: 240, fence: 5, sequence: 240}), nil, -1},
		{"delayed for less than the setting", append(notices(160), event{at: 229, fence: 5, sequence: 229, held: true}, event{at: 240, fence: 5, sequence: 240}), nil, -1},
		{"a duplicate is no sign of life", append(notices(160), event{at: 200, fence: 5, sequence: 160, held: true}), nil, 230},
		{"a notice of an earlier leader", append(notices(160), released, event{at: 170, fence: 4, sequence: 900, held: true}), nil, -1},
		{"a later leader is known", notices(160), func(ms int, in *holdwatch.Input) {
			if ms >= 180 {
				in.Newest = 7
			}
		}, -1},
		{"a token that is too old", notices(160), func(_ int, in *holdwatch.Input) { in.Spare = 4 }, -1},
		{"not ready", notices(160), func(_ int, in *holdwatch.Input) { in.Ready = false }, -1},
		{"ready long after the hold", notices(160), func(ms int, in *holdwatch.Input) { in.Ready = ms > 2500 }, -1},
		{"nothing arrives from anyone until 400", notices(160), func(ms int, in *holdwatch.Input) {
			if ms < 400 {
				in.OtherHeardAt = time.Unix(0, 0).Add(160 * time.Millisecond)
			}
		}, 400},
		{"two gateways in all", notices(160), func(_ int, in *holdwatch.Input) { in.Others, in.OtherHeardAt = false, time.Time{} }, 230},
		{"the standby was paused", append(notices(160), event{at: 161, paused: true}, event{at: 475, fence: 5, sequence: 475}), nil, -1},
		{"the standby was paused and the leader is silent", append(notices(160), event{at: 161, paused: true}), nil, 530},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := takeoverAt(c.events, c.change); got != c.want {
				t.Errorf("takeover at %d ms, want %d", got, c.want)
			}
		})
	}
}
