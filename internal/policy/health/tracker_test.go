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
	service      ids.Service     = "desk-model"
	incarnation1 ids.Incarnation = "1"
	incarnation2 ids.Incarnation = "2"
	period                       = 250 * time.Millisecond
	normalStep                   = 10 * time.Millisecond
	stateReady   charts.State    = "ready"
)

// fleet is a tracker with upstreams whose slots report every period, unless a test changes their behaviour.
type fleet struct {
	t       *testing.T
	tracker *health.Tracker
	now     time.Time
	slots   map[ids.Upstream]*slot
	names   []ids.Upstream
}

// slot is the content and the behaviour of one upstream's reports.
type slot struct {
	silent, stalled, draining bool
	incarnation               ids.Incarnation
	steps                     uint64
	running                   int
	stepTime                  time.Duration
}

func newFleet(t *testing.T, n int) *fleet {
	f := &fleet{t: t, now: time.Unix(1000, 0), slots: make(map[ids.Upstream]*slot)}
	f.tracker = health.New(health.Defaults(), f.now)
	for i := range n {
		id := ids.Upstream(fmt.Sprintf("u%d", i))
		f.names = append(f.names, id)
		f.slots[id] = &slot{incarnation: incarnation1, running: 4, stepTime: normalStep}
	}
	f.sendHostList()
	f.run(time.Second)
	return f
}

// sendHostList delivers a fresh host list in which the named upstreams are marked as draining.
func (f *fleet) sendHostList(draining ...ids.Upstream) { f.sendHostListTakenAt(f.now, draining...) }

func (f *fleet) sendHostListTakenAt(takenAt time.Time, draining ...ids.Upstream) {
	ev := health.HostList{TakenAt: takenAt}
	for _, id := range f.names {
		h := health.ListedHost{Upstream: id, Service: service}
		for _, l := range draining {
			h.Draining = h.Draining || l == id
		}
		ev.Hosts = append(ev.Hosts, h)
	}
	f.tracker.Apply(ev, f.now)
}

// run advances the clock by d, with a report of each slot and an Evaluate every period.
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
	f.tracker.Apply(health.SlotReport{
		Upstream: id, Service: service, Incarnation: s.incarnation, Draining: s.draining,
		Steps: s.steps, Running: s.running, StepTime: s.stepTime,
	}, f.now)
}

func (f *fleet) status(id ids.Upstream) health.Status {
	s, _ := f.tracker.Status(id, f.now)
	return s
}

func (f *fleet) wantStatus(id ids.Upstream, state charts.State, reason health.Reason) {
	f.t.Helper()
	s := f.status(id)
	if s.State != state || s.Reason != reason {
		f.t.Errorf("%s is %s (%s), want %s (%s)", id, s.State, s.Reason, state, reason)
	}
}

// Guards against faults that are mistaken for each other. Silent, stalled and slow upstreams look alike to a client,
// whose request waits in vain; the tracker distinguishes them by the messages that still arrive, because only a slow
// one needs work to show its recovery.
func TestSilentStalledAndSlowAreDistinguished(t *testing.T) {
	tests := map[health.Reason]func(*slot){
		health.ReasonSilent:  func(s *slot) { s.silent = true },
		health.ReasonStalled: func(s *slot) { s.stalled = true },
		health.ReasonSlow:    func(s *slot) { s.stepTime = 3 * normalStep },
	}
	for reason, fault := range tests {
		t.Run(string(reason), func(t *testing.T) {
			f := newFleet(t, 8)
			fault(f.slots["u3"])
			f.run(4 * time.Second)
			f.wantStatus("u3", "ejected", reason)
			if w := f.status("u3").Weight; w != 0 {
				t.Errorf("weight %v while ejected", w)
			}
			f.wantStatus("u4", stateReady, health.ReasonNone)
		})
	}
}

func TestIdleUpstreamIsNeitherStalledNorSlow(t *testing.T) {
	f := newFleet(t, 4)
	f.slots["u0"].stalled = true
	f.slots["u0"].running = 0
	f.run(10 * time.Second)
	f.wantStatus("u0", stateReady, health.ReasonNone)
}

// Guards against a busy upstream that is classified as slow: with a full batch among nearly idle peers it takes three
// times as long for a step.
func TestBusyUpstreamIsNotSlow(t *testing.T) {
	f := newFleet(t, 8)
	f.slots["u0"].running = 32
	f.slots["u0"].stepTime = 3 * normalStep
	f.run(10 * time.Second)
	f.wantStatus("u0", stateReady, health.ReasonNone)
}

func TestConsecutiveFailuresEjectAndResponseClears(t *testing.T) {
	f := newFleet(t, 8)
	for range 2 {
		f.tracker.Apply(health.Failed{Upstream: "u1"}, f.now)
	}
	f.tracker.Apply(health.Responded{Upstream: "u1"}, f.now)
	f.tracker.Apply(health.Failed{Upstream: "u1"}, f.now)
	f.run(period)
	f.wantStatus("u1", stateReady, health.ReasonNone)
	for range 2 {
		f.tracker.Apply(health.Failed{Upstream: "u1"}, f.now)
	}
	f.run(period)
	f.wantStatus("u1", "ejected", health.ReasonFailing)
}

// Guards against ejections that overload the remaining upstreams: a network switch fails and half of the upstreams
// become silent. The worst are ejected up to the cap, and the other suspects keep a small share.
func TestEjectionIsCapped(t *testing.T) {
	f := newFleet(t, 10)
	for _, id := range f.names[:2] {
		f.slots[id].stepTime = 4 * normalStep
	}
	f.run(4 * time.Second)
	f.wantStatus("u0", "ejected", health.ReasonSlow)
	for _, id := range f.names[2:7] {
		f.slots[id].silent = true
	}
	f.run(2 * time.Second)
	states := make(map[charts.State]int)
	for _, s := range f.tracker.Statuses(f.now) {
		states[s.State]++
		if s.State == "ejected" && s.Reason != health.ReasonSilent {
			t.Errorf("%s is ejected as %s while silent upstreams are in use", s.Upstream, s.Reason)
		}
	}
	if diff := cmp.Diff(map[charts.State]int{"ejected": 3, "suspect": 4, "ready": 3}, states); diff != "" {
		t.Fatal(diff)
	}
}

func TestEjectionPercentSetsCap(t *testing.T) {
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

// Guards against a recovered upstream that gets its full share immediately: its prefix cache is empty, so it would do
// the full prefill of every prompt and fall behind again.
func TestReturningUpstreamRampsUp(t *testing.T) {
	f := newFleet(t, 8)
	f.slots["u2"].silent = true
	f.run(3 * time.Second)
	f.wantStatus("u2", "ejected", health.ReasonSilent)
	f.slots["u2"].silent = false
	f.run(4 * time.Second)
	f.wantStatus("u2", "returning", health.ReasonNone)
	last := f.status("u2").Weight
	if last > 0.5 {
		t.Fatalf("weight %v soon after the upstream returned", last)
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
	f.wantStatus("u2", stateReady, health.ReasonNone)
}

func TestRepeatedEjectionsLastLonger(t *testing.T) {
	f := newFleet(t, 8)
	f.slots["u2"].stepTime = 4 * normalStep
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

// Guards against requests to a draining upstream that the host list still marks as live: the slot's report alone must
// take it out of use.
func TestSlotReportOverridesHostList(t *testing.T) {
	f := newFleet(t, 4)
	f.slots["u1"].draining = true
	f.run(period)
	f.wantStatus("u1", "leaving", health.ReasonNone)
	f.slots["u1"].draining = false
	f.sendHostList()
	f.run(5 * time.Second)
	f.wantStatus("u1", "leaving", health.ReasonNone)
}

// Guards against requests to a draining upstream when all reports with Draining set are lost and the host list lags:
// the first request is refused before its start, and this refusal alone must take the upstream out of use.
func TestRefusalReplacesLostReport(t *testing.T) {
	f := newFleet(t, 4)
	f.slots["u1"].silent = true
	f.tracker.Apply(health.RefusedDraining{Upstream: "u1", Incarnation: incarnation1}, f.now)
	f.wantStatus("u1", "leaving", health.ReasonNone)
	if w := f.status("u1").Weight; w != 0 {
		t.Fatalf("weight %v", w)
	}
}

func TestHostListAloneMarksDraining(t *testing.T) {
	f := newFleet(t, 4)
	f.sendHostList("u1")
	f.wantStatus("u1", "leaving", health.ReasonNone)
}

// Guards against state of a replaced host that is applied to its replacement of the same name: the lagging list still
// marks the name as draining, and a report of the old incarnation arrives late. Neither may take the new incarnation
// out of use or bring the old one back.
func TestNewIncarnationIgnoresStateOfOldOne(t *testing.T) {
	f := newFleet(t, 4)
	f.run(3 * time.Second)
	f.slots["u1"].draining = true
	f.run(time.Second)
	old := f.now
	f.slots["u1"].incarnation, f.slots["u1"].draining = incarnation2, false
	f.run(time.Second)
	f.sendHostListTakenAt(old, "u1")
	f.tracker.Apply(health.SlotReport{Upstream: "u1", Service: service, Incarnation: incarnation1, Draining: true}, f.now)
	f.tracker.Apply(health.RefusedDraining{Upstream: "u1", Incarnation: incarnation1}, f.now)
	f.wantStatus("u1", "returning", health.ReasonNone)
	f.sendHostList("u1")
	f.wantStatus("u1", "leaving", health.ReasonNone)
}

// Guards against a pause of the entry that is taken for a fault of the upstreams: its host is paused for ten seconds,
// so no message has arrived for that long. If it classified the upstreams as silent, it would eject a third of them and
// refuse clients.
func TestPauseOfEntryIsNotBlamedOnUpstreams(t *testing.T) {
	f := newFleet(t, 6)
	f.now = f.now.Add(10 * time.Second)
	if changes := f.tracker.Evaluate(f.now); len(changes) > 0 {
		t.Fatalf("changes after the pause: %v", changes)
	}
	f.run(time.Second)
	f.wantStatus("u0", stateReady, health.ReasonNone)
}

// Guards against an upstream that was slow for a moment and is ejected because the entry itself was paused meanwhile.
func TestPauseOfEntryDoesNotCountAsSlowness(t *testing.T) {
	f := newFleet(t, 6)
	f.slots["u0"].stepTime = 3 * normalStep
	f.run(time.Second)
	f.now = f.now.Add(10 * time.Second)
	f.run(period)
	f.wantStatus("u0", stateReady, health.ReasonNone)
	f.run(2 * time.Second)
	if s := f.status("u0"); s.Reason != health.ReasonSlow {
		t.Errorf("a slow upstream is %s (%s)", s.State, s.Reason)
	}
}

func TestDeadUpstreamsAreForgotten(t *testing.T) {
	f := newFleet(t, 4)
	f.slots["u1"].draining = true
	f.run(time.Second)
	f.slots["u1"].silent = true
	f.run(31 * time.Second)
	if _, known := f.tracker.Status("u1", f.now); known {
		t.Fatal("a draining upstream that has been silent for half a minute was not forgotten")
	}
	f.tracker.Apply(health.SlotReport{Upstream: "u1", Service: service, Incarnation: incarnation1}, f.now)
	if _, known := f.tracker.Status("u1", f.now); known {
		t.Fatal("a late report brought back a forgotten upstream")
	}
}

// Guards against sequences of events after which the ejection cap is exceeded, a weight is outside 0 to 1, or a
// draining upstream has a weight above 0.
func TestInvariantsUnderAnyEvents(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		now := time.Unix(1000, 0)
		tracker := health.New(health.Defaults(), now)
		names := []ids.Upstream{"u0", "u1", "u2", "u3", "u4", "u5", "u6"}
		draining := make(map[ids.Upstream]ids.Incarnation)
		for range rapid.IntRange(1, 60).Draw(rt, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 900).Draw(rt, "ms")) * time.Millisecond)
			id := rapid.SampledFrom(names).Draw(rt, "upstream")
			incarnation := rapid.SampledFrom([]ids.Incarnation{incarnation1, incarnation2}).Draw(rt, "life")
			switch rapid.IntRange(0, 4).Draw(rt, "event") {
			case 0, 1:
				isDraining := rapid.IntRange(0, 9).Draw(rt, "leaving") == 0
				tracker.Apply(health.SlotReport{
					Upstream: id, Service: service, Incarnation: incarnation, Draining: isDraining, Running: rapid.IntRange(0, 9).Draw(rt, "running"),
					Steps: rapid.Uint64Range(0, 3).Draw(rt, "steps"), StepTime: time.Duration(rapid.IntRange(0, 50).Draw(rt, "step")) * time.Millisecond,
				}, now)
				if s, ok := tracker.Status(id, now); ok && isDraining && s.Incarnation == incarnation {
					draining[id] = incarnation
				}
			case 2:
				tracker.Apply(health.Failed{Upstream: id}, now)
			case 3:
				tracker.Apply(health.Responded{Upstream: id}, now)
			case 4:
				tracker.Evaluate(now)
				checkInvariants(rt, tracker, now, draining)
			}
		}
	})
}

func checkInvariants(t *rapid.T, tracker *health.Tracker, now time.Time, draining map[ids.Upstream]ids.Incarnation) {
	ejected, known := 0, 0
	for _, s := range tracker.Statuses(now) {
		if s.Weight < 0 || s.Weight > 1 {
			t.Fatalf("weight %v", s.Weight)
		}
		if incarnation, ok := draining[s.Upstream]; ok && incarnation == s.Incarnation && s.Weight > 0 {
			t.Fatalf("%s reported that it is draining and has weight %v", s.Upstream, s.Weight)
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
