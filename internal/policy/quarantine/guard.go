package quarantine

import (
	"slices"
	"time"

	"github.com/cardamomyoke/cardamomyoke/internal/base/charts"
	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
)

var chart = charts.MustLoad("quarantine")

// The events, the action and the state of quarantine.yaml that are used here.
const (
	evAloneWanted charts.Event = "alone-wanted"
	evIdle        charts.Event = "idle"
	evCancelled   charts.Event = "given-up"
	evFinished    charts.Event = "ended"
	evCrashed     charts.Event = "died"

	actStart charts.Action = "start"

	stateOpen charts.State = "open"
)

// Bounds of a Guard.
const (
	// maxWaiting is the maximum number of suspects that wait at one upstream.
	maxWaiting = 8
	// countBrokenFor is the time after its connection broke for which a run still counts as running when the upstream
	// crashes.
	countBrokenFor = 2 * time.Second
)

// Ticket identifies one run on the upstream, running or waiting.
type Ticket uint64

// Decision is the outcome for a ticket.
type Decision struct {
	Ticket    Ticket
	Admission Admission
	// Level is the level of the request. Until is the end of the refusal if Level is Refused.
	Level Level
	Until time.Time
}

// Admission is the Guard's decision on a request.
type Admission int

// The admissions.
const (
	// Admit: run the request now.
	Admit Admission = iota
	// Wait: the decision on the ticket is returned by a later call.
	Wait
	// Deny: the request is refused before its start; another upstream may run it.
	Deny
)

// RunOutcome is the outcome of a run.
type RunOutcome int

// The outcomes of a run.
const (
	// Complete: the upstream sent its full response.
	Complete RunOutcome = iota
	// Broken: the connection to the upstream broke, so the upstream may have crashed.
	Broken
	// Stopped: cancelled, timed out or failed in another way that is no evidence about the upstream.
	Stopped
)

type run struct {
	Running
	ticket Ticket
	level  Level
	// brokenAt is the time at which the connection broke; zero if it has not.
	brokenAt time.Time
}

// Guard decides which requests one upstream runs at the same time, and records which were running when it crashed. It
// is not safe for concurrent use; Gate is.
type Guard struct {
	slot       ids.Incarnation
	tracker    *Tracker
	machine    charts.Machine
	lastTicket Ticket
	running    []run
	// waiting holds the suspects that wait, in the sequence in which they will run.
	waiting []run
	// broken holds runs whose connection broke since the last crash report.
	broken  []run
	crashes uint64
}

// NewGuard returns the guard of an idle upstream; period is policies.quarantine_s.
func NewGuard(slot ids.Incarnation, period time.Duration) *Guard {
	return &Guard{slot: slot, tracker: NewTracker(Rules{Period: period}), machine: chart.Start()}
}

// Tracker returns the slot's state of suspects, which it sends to the entries.
func (g *Guard) Tracker() *Tracker { return g.tracker }

// Submit requests a run at the level that the entry passes. The level in the slot's own tracker counts as well, because
// the slot is the first to detect a crash. A ticket that must wait is decided by a later call or removed with Cancel.
func (g *Guard) Submit(now time.Time, r Running, level Level) Decision {
	g.lastTicket++
	own, until := g.tracker.Classify(now, r.Fingerprint)
	requested := run{Running: r, ticket: g.lastTicket, level: max(level, own)}
	decision := Decision{Ticket: requested.ticket, Admission: Deny, Level: requested.level, Until: until}
	switch {
	case requested.level == Refused:
		return decision
	case requested.level == Clear:
		if g.machine.State() == stateOpen {
			g.running = append(g.running, requested)
			decision.Admission = Admit
		}
		return decision
	case len(g.waiting) >= maxWaiting:
		return decision
	}
	g.waiting = append(g.waiting, requested)
	decision.Admission = Wait
	if len(g.advance()) > 0 {
		decision.Admission = Admit
	}
	return decision
}

// Cancel removes a waiting ticket and returns the decisions that result.
func (g *Guard) Cancel(t Ticket) []Decision {
	i := index(g.waiting, t)
	if i < 0 {
		return nil
	}
	g.waiting = slices.Delete(g.waiting, i, i+1)
	if i == 0 {
		g.fire(evCancelled)
	}
	return g.advance()
}

// Release ends a run and returns the decisions that result.
func (g *Guard) Release(now time.Time, t Ticket, end RunOutcome) []Decision {
	i := index(g.running, t)
	if i < 0 {
		return nil
	}
	finished := g.running[i]
	g.running = slices.Delete(g.running, i, i+1)
	switch end {
	case Complete:
		g.tracker.Completed(now, finished.Fingerprint)
	case Broken:
		finished.brokenAt = now
		g.broken = append(g.broken, finished)
	}
	if finished.level == Alone {
		g.fire(evFinished)
	}
	return g.advance()
}

// Merge merges the suspects that entries report and returns the decisions that result.
func (g *Guard) Merge(now time.Time, updates ...Suspect) []Decision {
	g.tracker.Merge(now, updates...)
	return g.recheck(now)
}

// UpstreamCrashed records a crash of the upstream. The requests that were running become suspects, unless they have
// been reported before. Runs that are still registered count as running at the crash, because their handlers have not
// detected it yet. It returns the decisions that result and reports whether any request was running.
func (g *Guard) UpstreamCrashed(now time.Time) ([]Decision, bool) {
	crash := g.recordCrash(now)
	g.fire(evCrashed)
	g.tracker.Merge(now, crash.Suspects()...)
	return g.recheck(now), len(crash.Ran) > 0
}

func (g *Guard) recordCrash(now time.Time) Crash {
	g.crashes++
	crash := Crash{ID: NewCrashID(g.slot, g.crashes), At: now}
	for _, r := range slices.Concat(g.broken, g.running) {
		stale := !r.brokenAt.IsZero() && now.Sub(r.brokenAt) > countBrokenFor
		if !stale && !slices.Contains(crash.Ran, r.Running) {
			crash.Ran = append(crash.Ran, r.Running)
			crash.RanAlone = r.level == Alone
		}
	}
	crash.RanAlone = crash.RanAlone && len(crash.Ran) == 1
	// A run must not be reported twice: two reports of one crash would count as two crashes and refuse a harmless
	// request.
	g.broken = nil
	g.running = nil
	return crash
}

// recheck refuses waiting requests whose level has risen. Several copies of one request may be waiting: when the first
// one crashes the upstream, the next one must not run, so all of them are checked before any is started.
func (g *Guard) recheck(now time.Time) []Decision {
	var decisions []Decision
	var remaining []run
	for _, w := range g.waiting {
		level, until := g.tracker.Classify(now, w.Fingerprint)
		if level <= w.level {
			remaining = append(remaining, w)
			continue
		}
		decisions = append(decisions, Decision{w.ticket, Deny, level, until})
	}
	headRemoved := len(remaining) < len(g.waiting) && (len(remaining) == 0 || remaining[0].ticket != g.waiting[0].ticket)
	g.waiting = remaining
	if headRemoved {
		g.fire(evCancelled)
	}
	return append(decisions, g.advance()...)
}

// advance starts waiting runs in sequence, as far as the current runs allow.
func (g *Guard) advance() []Decision {
	var decisions []Decision
	for len(g.waiting) > 0 && g.mayStart(g.waiting[0]) {
		next := g.waiting[0]
		decisions = append(decisions, Decision{Ticket: next.ticket, Admission: Admit, Level: next.level})
		g.running = append(g.running, next)
		g.waiting = slices.Delete(g.waiting, 0, 1)
	}
	return decisions
}

func (g *Guard) mayStart(r run) bool {
	if r.level == Alone {
		g.fire(evAloneWanted)
		return len(g.running) == 0 && slices.Contains(g.fire(evIdle), actStart)
	}
	isSuspect := func(r run) bool { return r.level != Clear }
	return g.machine.State() == stateOpen && !slices.ContainsFunc(g.running, isSuspect)
}

func (g *Guard) fire(ev charts.Event) []charts.Action {
	actions, err := g.machine.Fire(ev)
	if err != nil {
		panic(err) // The chart declares every event of this package.
	}
	return actions
}

func index(list []run, t Ticket) int {
	return slices.IndexFunc(list, func(r run) bool { return r.ticket == t })
}
