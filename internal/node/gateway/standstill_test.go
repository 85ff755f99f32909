package gateway

import (
	"context"
	"testing"
	"time"

	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
	"github.com/cardamomyoke/cardamomyoke/internal/experts/lockstep"
	"github.com/cardamomyoke/cardamomyoke/internal/state/catalog"
)

// passRanks report a group that is open, at a pass and epoch.
type passRanks struct {
	fakeRanks
	pass, epoch uint64
}

func (p *passRanks) Report(context.Context, *catalog.Upstream) (lockstep.Report, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return lockstep.Report{Size: p.size, Open: true, Fresh: true, Pass: p.pass, Epoch: p.epoch}, nil
}

func (p *passRanks) move(passes, epochs uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pass += passes
	p.epoch += epochs
}

// A rank crashes. The others wait for it and still say that their group is open; streams get no event any more, and what is
// sent is refused at the end of the wait, with its attempts used up. So requests must wait from the moment that the streams
// stand still, although the reports say "open", and be placed when a pass begins or the group has formed again.
func TestAGroupThatStandsStillIsKeptAwayFrom(t *testing.T) {
	for name, move := range map[string][2]uint64{"the next pass begins": {1, 0}, "the group forms again": {0, 1}} {
		t.Run(name, func(t *testing.T) {
			ranks := &passRanks{fakeRanks: fakeRanks{size: 2}, pass: 7, epoch: 1}
			w, _ := watched(t, &ranks.fakeRanks, 2)
			w.ranks, w.stall = ranks, time.Hour
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			w.stalled(ctx, time.Now())
			if got := taken(w.gate); len(got) > 0 {
				t.Fatalf("placed at %v, want nobody", got)
			}
			for seen := false; !seen; time.Sleep(time.Millisecond) {
				w.mu.Lock()
				seen = w.still.seen
				w.mu.Unlock()
			}
			if w.idle() {
				t.Fatal("open again though no pass has begun")
			}
			ranks.move(move[0], move[1])
			for !w.idle() {
				time.Sleep(time.Millisecond)
			}
			if got := taken(w.gate); !got[ids.Upstream("u-0")] {
				t.Fatalf("placed at %v after the group moves again", got)
			}
		})
	}
}

// What tells that a group moves again: a fresh report of a later pass or epoch, or that the time is over in which all work
// that hangs is cut off. A report that lags may show a pass that began before.
func TestWhenAStandstillIsOver(t *testing.T) {
	at := func(ms int) time.Time { return time.Unix(0, 0).Add(time.Duration(ms) * time.Millisecond) }
	fresh := func(pass, epoch uint64) lockstep.Report {
		return lockstep.Report{Fresh: true, Pass: pass, Epoch: epoch}
	}
	lagging := lockstep.Report{Pass: 9, Epoch: 1}
	for name, c := range map[string]struct {
		reports []lockstep.Report
		ms      int
		want    bool
	}{
		"the first report":         {[]lockstep.Report{fresh(7, 1)}, 100, false},
		"the same pass":            {[]lockstep.Report{fresh(7, 1), fresh(7, 1)}, 100, false},
		"a later pass":             {[]lockstep.Report{fresh(7, 1), fresh(8, 1)}, 100, true},
		"a later epoch":            {[]lockstep.Report{fresh(7, 1), fresh(0, 2)}, 100, true},
		"a later pass, which lags": {[]lockstep.Report{fresh(7, 1), lagging}, 100, false},
		"idle for long":            {[]lockstep.Report{fresh(7, 1), fresh(7, 1)}, 2001, true},
	} {
		t.Run(name, func(t *testing.T) {
			s := standstill{since: at(0)}
			got := false
			for _, r := range c.reports {
				got = s.over(r, at(c.ms), 2*time.Second)
			}
			if got != c.want {
				t.Fatalf("over: %v, want %v", got, c.want)
			}
		})
	}
}

// Only streams that have begun tell of a standstill: nobody knows how long a prompt takes to read.
func TestAPulseIsOfStreamsThatHaveBegun(t *testing.T) {
	var p pulse
	now := time.Unix(100, 0)
	if p.stalled(now) {
		t.Fatal("stalled without streams")
	}
	p.running.Add(1)
	p.beat(now)
	got := []bool{p.stalled(now.Add(stallsAfter)), p.stalled(now.Add(stallsAfter + 1))}
	if got[0] || !got[1] {
		t.Fatalf("stalled %v, want only after %v", got, stallsAfter)
	}
}
