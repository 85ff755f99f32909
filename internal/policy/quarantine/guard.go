package quarantine

import (
	"slices"
	"time"

	"github.com/cardamomyoke/cardamomyoke/internal/base/charts"
	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
)

var chart = charts.MustLoad("quarantine")

// The events, action and states of quarantine.yaml.
const (
	evAloneWanted charts.Event = "alone-wanted"
	evIdle        charts.Event = "idle"
	evGivenUp     charts.Event = "given-up"
	evEnded       charts.Event = "ended"
	evDied        charts.Event = "died"

	actStart charts.Action = "start"

	stateOpen charts.State = "open"
)

// Bounds of a Guard.
const (
	// maxWaiting is the most suspects that wait for their turn at one upstream.
	maxWaiting = 8
	// brokenFor is for how long a run that broke off counts as running when the upstream turns out to be dead.
	brokenFor = 2 * time.Second
)

// Ticket names one run on the upstream, or one that waits.
type Ticket uint64

// Decision is what becomes of a ticket.
type Decision struct {
	Ticket    Ticket
	Admission Admission
	// Level is the request's; with Refused goes the time at which that ends.
	Level Level
	Until time.Time
}

// Admission is a Guard's answer to a request.
type Admission int

// The admissions.
const (
	// Enter: run it now.
	Enter Admission = iota
	// Wait: a later call returns the ticket's turn.
	Wait
	// Deny: refused before the start; another upstream may take it.
	Deny
)

// End is how a run ended.
type End int

// The ends of a run.
const (
	// Whole: the upstream answered to the end.
	Whole End = iota
	// Broken: the connection to the upstream broke off, so that it may have died.
	Broken
	// Stopped: cancelled, timed out or failed in another way, which says nothing about the upstream.
	Stopped
)

type run struct {
	Running
	ticket Ticket
	level  Level
	// brokenAt is set once the run broke off.
	brokenAt time.Time
}

// Guard decides what one upstream runs at the same time, and knows what ran when it died. It is not safe for
// concurrent use; Gate is.
type Guard struct {
	slot    ids.Incarnation
	tracker *Tracker
	machine charts.Machine
	last    Ticket
	running []run
	// waiting are suspects, in the order of their turns.
	waiting []run
	// broken are runs that broke off and have not been reported.
	broken  []run
	crashes uint64
}

// NewGuard returns the guard of an idle upstream; period is policies.quarantine_s.
func NewGuard(slot ids.Incarnation, period time.Duration) *Guard {
	return &Guard{slot: slot, tracker: NewTracker(Rules{Period: period}), machine: chart.Start()}
}

// Tracker returns what the slot knows of suspects, to be told to entries.
func (g *Guard) Tracker() *Tracker { return g.tracker }

// Submit asks for a run at the level that the entry gives. The slot's own knowledge counts as well, since it is the first
// to know of a crash. A ticket that must wait gets its turn from a later call, or is withdrawn with Cancel.
func (g *Guard) Submit(now time.Time, r Running, level Level) Decision {
	g.last++
	own, until := g.tracker.Judge(now, r.Fingerprint)
	asked := run{Running: r, ticket: g.last, level: max(level, own)}
	decision := Decision{Ticket: asked.ticket, Admission: Deny, Level: asked.level, Until: until}
	switch {
	case asked.level == Refused:
		return decision
	case asked.level == Clear:
		if g.machine.State() == stateOpen {
			g.running = append(g.running, asked)
			decision.Admission = Enter
		}
		return decision
	case len(g.waiting) >= maxWaiting:
		return decision
	}
	g.waiting = append(g.waiting, asked)
	decision.Admission = Wait
	if len(g.advance()) > 0 {
		decision.Admission = Enter
	}
	return decision
}

// Cancel withdraws a ticket that waits and returns the turns that come of it.
func (g *Guard) Cancel(t Ticket) []Decision {
	i := index(g.waiting, t)
	if i < 0 {
		return nil
	}
	g.waiting = slices.Delete(g.waiting, i, i+1)
	if i == 0 {
		g.fire(evGivenUp)
	}
	return g.advance()
}

// Release ends a run and returns the turns that come of it.
func (g *Guard) Release(now time.Time, t Ticket, end End) []Decision {
	i := index(g.running, t)
	if i < 0 {
		return nil
	}
	left := g.running[i]
	g.running = slices.Delete(g.running, i, i+1)
	switch end {
	case Whole:
		g.tracker.Completed(now, left.Fingerprint)
	case Broken:
		left.brokenAt = now
		g.broken = append(g.broken, left)
	}
	if left.level == Alone {
		g.fire(evEnded)
	}
	return g.advance()
}

// Merge takes in what entries say of suspects and returns the turns that come of it.
func (g *Guard) Merge(now time.Time, news ...Suspect) []Decision {
	g.tracker.Merge(now, news...)
	return g.recheck(now)
}

// Died says that the upstream is dead. What ran becomes suspect, unless it was reported before; what still runs is
// taken as broken, since its handlers have yet to notice. It returns the turns that come of it, and whether anything
// ran.
func (g *Guard) Died(now time.Time) ([]Decision, bool) {
	crash := g.report(now)
	g.fire(evDied)
	g.tracker.Merge(now, crash.Suspects()...)
	return g.recheck(now), len(crash.Ran) > 0
}

func (g *Guard) report(now time.Time) Crash {
	g.crashes++
	crash := Crash{ID: NewCrashID(g.slot, g.crashes), At: now}
	for _, r := range slices.Concat(g.broken, g.running) {
		stale := !r.brokenAt.IsZero() && now.Sub(r.brokenAt) > brokenFor
		if !stale && !slices.Contains(crash.Ran, r.Running) {
			crash.Ran = append(crash.Ran, r.Running)
			crash.Probe = r.level == Alone
		}
	}
	crash.Probe = crash.Probe && len(crash.Ran) == 1
	// A run must not be reported twice: two reports of one death would look like two deaths and refuse an innocent.
	g.broken = nil
	g.running = nil
	return crash
}

// recheck refuses waiting requests that have become more suspect. Copies of one request wait here for each other; when
// the first takes the upstream down, the next must not follow it, so all are looked at before any is started.
func (g *Guard) recheck(now time.Time) []Decision {
	var decisions []Decision
	var stay []run
	for _, w := range g.waiting {
		level, until := g.tracker.Judge(now, w.Fingerprint)
		if level <= w.level {
			stay = append(stay, w)
			continue
		}
		decisions = append(decisions, Decision{w.ticket, Deny, level, until})
	}
	headLeft := len(stay) < len(g.waiting) && (len(stay) == 0 || stay[0].ticket != g.waiting[0].ticket)
	g.waiting = stay
	if headLeft {
		g.fire(evGivenUp)
	}
	return append(decisions, g.advance()...)
}

// advance starts waiting runs in their order, as far as what runs allows.
func (g *Guard) advance() []Decision {
	var decisions []Decision
	for len(g.waiting) > 0 && g.mayStart(g.waiting[0]) {
		next := g.waiting[0]
		decisions = append(decisions, Decision{Ticket: next.ticket, Admission: Enter, Level: next.level})
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
		panic(err) // Every event of this package is declared in the chart.
	}
	return actions
}

func index(list []run, t Ticket) int {
	return slices.IndexFunc(list, func(r run) bool { return r.ticket == t })
}
