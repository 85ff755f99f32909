package health_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/cardamomyoke/cardamomyoke/internal/base/charts"
	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
	"github.com/cardamomyoke/cardamomyoke/internal/policy/health"
)

const (
	service  ids.Service     = "desk-model"
	life1    ids.Incarnation = "1"
	life2    ids.Incarnation = "2"
	period                   = 250 * time.Millisecond
	usual                    = 10 * time.Millisecond
	readyNow charts.State    = "ready"
)

// fleet is a tracker with upstreams whose slots report every period, unless a test changes their behaviour.
type fleet struct {
	t       *testing.T
	tracker *health.Tracker
	now     time.Time
	slots   map[ids.Upstream]*slot
	names   []ids.Upstream
}

// slot is what one upstream's reports say.
type slot struct {
	silent, stalled, leaving bool
	life                     ids.Incarnation
	steps                    uint64
	running                  int
	stepTime                 time.Duration
}

func newFleet(t *testing.T, n int) *fleet {
	f := &fleet{t: t, now: time.Unix(1000, 0), slots: make(map[ids.Upstream]*slot)}
	f.tracker = health.New(health.Defaults(), f.now)
	for i := range n {
		id := ids.Upstream(fmt.Sprintf("u%d", i))
		f.names = append(f.names, id)
		f.slots[id] = &slot{life: life1, running: 4, stepTime: usual}
	}
	f.list()
	f.run(time.Second)
	return f
}

// list delivers a fresh host list, with the named upstreams marked as leaving.
func (f *fleet) list(leaving ...ids.Upstream) { f.listFrom(f.now, leaving...) }

func (f *fleet) listFrom(takenAt time.Time, leaving ...ids.Upstream) {
	ev := health.Listed{TakenAt: takenAt}
	for _, id := range f.names {
		h := health.ListedHost{Upstream: id, Service: service}
		for _, l := range leaving {
			h.Leaving = h.Leaving || l == id
		}
		ev.Hosts = append(ev.Hosts, h)
	}
	f.tracker.Apply(ev, f.now)
}

// run lets time pass.
func (f *fleet) run(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(period) {
		for _, id := range f.names {
			f.report(id)
		}
		f.tracker.Evaluate(f.now)
	}
}

func (f *fleet) report(id ids.Upstream) {
	s := f.slots[id]
	if !s.stalled {
		s.steps += 10
	}
	if s.silent {
		return
	}
	f.tracker.Apply(health.Heard{
		Upstream: id, Service: service, Incarnation: s.life, Leaving: s.leaving,
		Steps: s.steps, Running: s.running, StepTime: s.stepTime,
	}, f.now)
}

func (f *fleet) status(id ids.Upstream) health.Status {
	s, _ := f.tracker.Status(id, f.now)
	return s
}

func (f *fleet) want(id ids.Upstream, state charts.State, reason health.Reason) {
	f.t.Helper()
	s := f.status(id)
	if s.State != state || s.Reason != reason {
		f.t.Errorf("%s is %s (%s), want %s (%s)", id, s.State, s.Reason, state, reason)
	}
}

// A caller whose request goes to a faulty runner waits for nothing. The three faults look alike to the caller; they
// are told apart by what is still heard, because only a slow runner can show recovery without being left alone first.
func TestFaultsAreToldApart(t *testing.T) {
	tests := map[health.Reason]func(*slot){
		health.ReasonSilent:  func(s *slot) { s.silent = true },
		health.ReasonStalled: func(s *slot) { s.stalled = true },
		health.ReasonSlow:    func(s *slot) { s.stepTime = 3 * usual },
	}
	for reason, fault := range tests {
		t.Run(string(reason), func(t *testing.T) {
			f := newFleet(t, 8)
			fault(f.slots["u3"])
			f.run(4 * time.Second)
			f.want("u3", "ejected", reason)
			if w := f.status("u3").Weight; w != 0 {
				t.Errorf("weight %v while ejected", w)
			}
			f.want("u4", readyNow, health.ReasonNone)
		})
	}
}

func TestAnIdleUpstreamIsNeitherStalledNorSlow(t *testing.T) {
	f := newFleet(t, 4)
	f.slots["u0"].stalled = true
	f.slots["u0"].running = 0
	f.run(10 * time.Second)
	f.want("u0", readyNow, health.ReasonNone)
}

// A runner with a full batch among nearly idle ones takes three times as long for a step. It is busy and not slow.
func TestABusyUpstreamIsNotSlow(t *testing.T) {
	f := newFleet(t, 8)
	f.slots["u0"].running = 32
	f.slots["u0"].stepTime = 3 * usual
	f.run(10 * time.Second)
	f.want("u0", readyNow, health.ReasonNone)
}

func TestFailuresInARowEjectAndAnAnswerClears(t *testing.T) {
	f := newFleet(t, 8)
	for range 2 {
		f.tracker.Apply(health.Failed{Upstream: "u1"}, f.now)
	}
	f.tracker.Apply(health.Answered{Upstream: "u1"}, f.now)
	f.tracker.Apply(health.Failed{Upstream: "u1"}, f.now)
	f.run(period)
	f.want("u1", readyNow, health.ReasonNone)
	for range 2 {
		f.tracker.Apply(health.Failed{Upstream: "u1"}, f.now)
	}
	f.run(period)
	f.want("u1", "ejected", health.ReasonFailing)
}

// A switch fails and half of the upstreams fall silent. Ejecting them all would send their load to the rest, which
// would fail too; up to the cap go, the worst first, and the others keep a small share.
func TestEjectionIsCapped(t *testing.T) {
	f := newFleet(t, 10)
	for _, id := range f.names[:2] {
		f.slots[id].stepTime = 4 * usual
	}
	f.run(4 * time.Second)
	f.want("u0", "ejected", health.ReasonSlow)
	for _, id := range f.names[2:7] {
		f.slots[id].silent = true
	}
	f.run(2 * time.Second)
	states := make(map[charts.State]int)
	for _, s := range f.tracker.Statuses(f.now) {
		states[s.State]++
		if s.State == "ejected" && s.Reason != health.ReasonSilent {
			t.Errorf("%s is ejected as %s while silent ones are in use", s.Upstream, s.Reason)
		}
	}
	if diff := cmp.Diff(map[charts.State]int{"ejected": 3, "suspect": 4, "ready": 3}, states); diff != "" {
		t.Fatal(diff)
	}
}

func TestTheCapIsConfiguration(t *testing.T) {
	for percent, want := range map[int]int{0: 0, 1: 1, 30: 1, 70: 2, 100: 3} {
		f := newFleet(t, 3)
		f.tracker.SetEjectionPercent(percent)
		for _, s := range f.slots {
			s.silent = true
		}
		f.run(3 * time.Second)
		ejected := 0
		for _, s := range f.tracker.Statuses(f.now) {
			if s.State == "ejected" {
				ejected++
			}
		}
		if ejected != want {
			t.Errorf("%d percent of 3: %d ejected, want %d", percent, ejected, want)
		}
	}
}

// A recovered runner that got its full share at once would compute all prompts with a cold cache and fall behind again.
func TestReturnIsGradual(t *testing.T) {
	f := newFleet(t, 8)
	f.slots["u2"].silent = true
	f.run(3 * time.Second)
	f.want("u2", "ejected", health.ReasonSilent)
	f.slots["u2"].silent = false
	f.run(4 * time.Second)
	f.want("u2", "returning", health.ReasonNone)
	last := f.status("u2").Weight
	if last > 0.5 {
		t.Fatalf("weight %v soon after the return", last)
	}
	for range 8 {
		f.run(time.Second)
		w := f.status("u2").Weight
		if w < last {
			t.Fatalf("weight fell from %v to %v", last, w)
		}
		last = w
	}
	f.run(4 * time.Second)
	f.want("u2", readyNow, health.ReasonNone)
}

func TestRepeatedEjectionsLastLonger(t *testing.T) {
	f := newFleet(t, 8)
	f.slots["u2"].stepTime = 4 * usual
	var ejections []time.Duration
	since, out := f.now, false
	for range 4 * 120 {
		f.run(period)
		if isOut := f.status("u2").State == "ejected"; isOut != out {
			if out {
				ejections = append(ejections, f.now.Sub(since))
			}
			since, out = f.now, isOut
		}
	}
	if len(ejections) < 3 || ejections[1] < 2*ejections[0]-2*period || ejections[2] < 2*ejections[1]-2*period {
		t.Fatalf("ejections lasted %v", ejections)
	}
}

// The slot's own word is enough: the caller's next request goes elsewhere although the host list still says live.
func TestTheSlotsWordCountsBeforeTheHostList(t *testing.T) {
	f := newFleet(t, 4)
	f.slots["u1"].leaving = true
	f.run(period)
	f.want("u1", "leaving", health.ReasonNone)
	f.slots["u1"].leaving = false
	f.list()
	f.run(5 * time.Second)
	f.want("u1", "leaving", health.ReasonNone)
}

// Every report that says "leaving" is lost and the host list lags. The first request that is sent there is refused
// before its start, and that refusal is evidence enough: no second one is sent.
func TestARefusalStandsInForALostReport(t *testing.T) {
	f := newFleet(t, 4)
	f.slots["u1"].silent = true
	f.tracker.Apply(health.RefusedLeaving{Upstream: "u1", Incarnation: life1}, f.now)
	f.want("u1", "leaving", health.ReasonNone)
	if w := f.status("u1").Weight; w != 0 {
		t.Fatalf("weight %v", w)
	}
}

func TestTheHostListAloneIsEnough(t *testing.T) {
	f := newFleet(t, 4)
	f.list("u1")
	f.want("u1", "leaving", health.ReasonNone)
}

// A host is replaced under its old name. The lagging list still marks the name as leaving, and a report of the old
// life arrives late. Neither may take the new life out of use, nor bring the old one back.
func TestANewLifeIsNotBoundByTheOldOne(t *testing.T) {
	f := newFleet(t, 4)
	f.run(3 * time.Second)
	f.slots["u1"].leaving = true
	f.run(time.Second)
	old := f.now
	f.slots["u1"].life, f.slots["u1"].leaving = life2, false
	f.run(time.Second)
	f.listFrom(old, "u1")
	f.tracker.Apply(health.Heard{Upstream: "u1", Service: service, Incarnation: life1, Leaving: true}, f.now)
	f.tracker.Apply(health.RefusedLeaving{Upstream: "u1", Incarnation: life1}, f.now)
	f.want("u1", "returning", health.ReasonNone)
	f.list("u1")
	f.want("u1", "leaving", health.ReasonNone)
}

// The entry's host is paused for ten seconds. When it goes on, it has heard nobody for that long; were each upstream
// taken as silent, the entry would eject a third of them and refuse callers, although it was away and they were not.
func TestAnEntryThatWasPausedBlamesItself(t *testing.T) {
	f := newFleet(t, 6)
	f.now = f.now.Add(10 * time.Second)
	if changes := f.tracker.Evaluate(f.now); len(changes) > 0 {
		t.Fatalf("changes after the pause: %v", changes)
	}
	f.run(time.Second)
	f.want("u0", readyNow, health.ReasonNone)
}

func TestGoneUpstreamsAreForgotten(t *testing.T) {
	f := newFleet(t, 4)
	f.slots["u1"].leaving = true
	f.run(time.Second)
	f.slots["u1"].silent = true
	f.run(31 * time.Second)
	if _, known := f.tracker.Status("u1", f.now); known {
		t.Fatal("a leaving upstream that is silent for half a minute is still known")
	}
	f.tracker.Apply(health.Heard{Upstream: "u1", Service: service, Incarnation: life1}, f.now)
	if _, known := f.tracker.Status("u1", f.now); known {
		t.Fatal("a late report brought back an upstream that is gone")
	}
}

// Whatever events come in whatever order: the cap holds after each Evaluate, weights stay between 0 and 1, and what
// is leaving has none.
func TestInvariantsUnderAnyEvents(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		now := time.Unix(1000, 0)
		tracker := health.New(health.Defaults(), now)
		names := []ids.Upstream{"u0", "u1", "u2", "u3", "u4", "u5", "u6"}
		left := make(map[ids.Upstream]ids.Incarnation)
		for range rapid.IntRange(1, 60).Draw(rt, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 900).Draw(rt, "ms")) * time.Millisecond)
			id := rapid.SampledFrom(names).Draw(rt, "upstream")
			life := rapid.SampledFrom([]ids.Incarnation{life1, life2}).Draw(rt, "life")
			switch rapid.IntRange(0, 4).Draw(rt, "event") {
			case 0, 1:
				leaving := rapid.IntRange(0, 9).Draw(rt, "leaving") == 0
				tracker.Apply(health.Heard{
					Upstream: id, Service: service, Incarnation: life, Leaving: leaving, Running: rapid.IntRange(0, 9).Draw(rt, "running"),
					Steps: rapid.Uint64Range(0, 3).Draw(rt, "steps"), StepTime: time.Duration(rapid.IntRange(0, 50).Draw(rt, "step")) * time.Millisecond,
				}, now)
				if s, ok := tracker.Status(id, now); ok && leaving && s.Incarnation == life {
					left[id] = life
				}
			case 2:
				tracker.Apply(health.Failed{Upstream: id}, now)
			case 3:
				tracker.Apply(health.Answered{Upstream: id}, now)
			case 4:
				tracker.Evaluate(now)
				checkInvariants(rt, tracker, now, left)
			}
		}
	})
}

func checkInvariants(t *rapid.T, tracker *health.Tracker, now time.Time, left map[ids.Upstream]ids.Incarnation) {
	ejected, known := 0, 0
	for _, s := range tracker.Statuses(now) {
		if s.Weight < 0 || s.Weight > 1 {
			t.Fatalf("weight %v", s.Weight)
		}
		if life, ok := left[s.Upstream]; ok && life == s.Incarnation && s.Weight > 0 {
			t.Fatalf("%s said that it leaves and has weight %v", s.Upstream, s.Weight)
		}
		switch s.State {
		case "ejected":
			ejected++
			known++
		case "ready", "returning", "suspect":
			known++
		}
	}
	if ejected > max(1, known*30/100) {
		t.Fatalf("%d of %d ejected", ejected, known)
	}
}
