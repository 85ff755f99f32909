package expertmap

import (
	"time"

	"github.com/cardamomyoke/cardamomyoke/internal/base/charts"
	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
)

var slotChart = charts.MustLoad("map_slot")

// The states of a slot; the chart map_slot defines the transitions.
const (
	StateStarting   charts.State = "starting"
	StateRecovering charts.State = "recovering"
	StateAdopting   charts.State = "adopting"
	StateRunning    charts.State = "running"
	StateStaging    charts.State = "staging"
	StateStaged     charts.State = "staged"
	StateLimiting   charts.State = "limiting"
	StateCapped     charts.State = "capped"
	StateSwitching  charts.State = "switching"
)

// SlotTiming holds the slot's timeouts. Safety depends on none of them.
type SlotTiming struct {
	// Retry is the delay before a request without a reply is sent again. A failed load of weights is repeated after a
	// multiple of it, restageFactor.
	Retry time.Duration `yaml:"retry"`
	// PeerTimeout is how long a capped slot waits for the proposer before it sends the cap request to its peers
	// itself, and the interval at which it repeats that request. Once its engine has reached the limit, and so stalls
	// the whole group, the slot does not wait for it.
	PeerTimeout time.Duration `yaml:"patience"`
	// Stagger delays the first request to the peers by this much per rank number, so that many slots rarely send
	// requests to all others concurrently.
	Stagger time.Duration `yaml:"stagger"`
}

// DefaultSlotTiming returns settings for steps of a few milliseconds and round trips below ten milliseconds.
func DefaultSlotTiming() SlotTiming {
	return SlotTiming{Retry: 50 * time.Millisecond, PeerTimeout: 100 * time.Millisecond, Stagger: 5 * time.Millisecond}
}

// SlotConfig configures a Slot.
type SlotConfig struct {
	Rank  Rank
	Ranks int
	// Incarnation must be larger than that of every earlier run of the rank's slot, as far as the clock allows.
	Incarnation Incarnation
	Timing      SlotTiming
}

// Slot is the state machine of one rank's slot. It is not safe for concurrent use; it does no I/O and reads no clock.
type Slot struct {
	cfg     SlotConfig
	machine charts.Machine
	inc     Incarnation
	// known holds, by rank, the newest incarnation that the slot has seen; it accepts a proposal only if that
	// addresses exactly these.
	known []Incarnation
	// recoverReplies holds, by rank, the peers' replies to this incarnation's Recover.
	recoverReplies []*RecoverReply
	engine         EngineReport
	// orders is the number of the last order issued; the engine is busy until its report carries that number.
	orders uint64
	// staging is the map that was staged last or is being staged. stageRequester and stageRequest are the sender and
	// the request to reply to.
	staging        MapID
	stageRequester Addr
	stageRequest   StageRequest
	held           *Proposal
	// requesters are the senders of cap requests for held; they get the acknowledgement and the outcome.
	requesters []Addr
	// atLimit is set once the engine has reached held's first step.
	atLimit bool
	// deferred is set once the slot relies on a peer that requests the outcome of held.
	deferred bool
	// acks holds, by rank, whether the slot has received an acknowledgement of held.
	acks []bool
	// floor is the highest ballot that was refused or held; the slot never caps a ballot that is not above it.
	floor Ballot
	fence ids.Fence
	// retryAt is when the current state sends its messages again.
	retryAt time.Time
	since   time.Time
	history slotHistory
}

// NewSlot returns a slot without any state from earlier incarnations.
func NewSlot(cfg SlotConfig) *Slot {
	s := &Slot{cfg: cfg, machine: slotChart.Start()}
	s.reset(cfg.Incarnation)
	return s
}

// reset starts a new incarnation. It keeps nothing that an earlier one has promised or received.
func (s *Slot) reset(inc Incarnation) {
	s.inc = inc
	s.known = make([]Incarnation, s.cfg.Ranks)
	s.known[s.cfg.Rank] = inc
	s.recoverReplies = make([]*RecoverReply, s.cfg.Ranks)
	s.staging, s.stageRequester, s.stageRequest = MapID{}, Addr{}, StageRequest{}
	s.dropProposal()
	s.floor = Ballot{}
	s.fence = 0
}

func (s *Slot) dropProposal() {
	s.held = nil
	s.requesters = nil
	s.atLimit, s.deferred = false, false
	s.acks = nil
}

// State returns the current state.
func (s *Slot) State() charts.State { return s.machine.State() }

// Incarnation returns the current incarnation.
func (s *Slot) Incarnation() Incarnation { return s.inc }

// Receive processes a message.
func (s *Slot) Receive(now time.Time, from Addr, m Message) []Effect {
	switch m := m.(type) {
	case StageRequest:
		return s.onStage(now, from, m)
	case CapRequest:
		return s.onCap(now, from, m.Proposal)
	case Ack:
		return s.onAck(now, m)
	case Certificate:
		return s.onCertificate(now, m)
	case Refusal:
		return s.onRefusal(now, m)
	case Outcome:
		return s.onOutcome(now, m)
	case Recover:
		return s.onRecover(m)
	case RecoverReply:
		return s.onRecoverReply(now, m)
	case Superseded:
		return s.onSuperseded(now, m)
	}
	return nil
}

// ReceiveReport processes the engine's state. The caller must ensure that each order is followed by a report that
// carries its number, however long the engine takes, and that the first report of an incarnation is read when no
// order of an earlier incarnation can still take effect.
func (s *Slot) ReceiveReport(now time.Time, r EngineReport) []Effect {
	last := s.engine
	s.engine = r
	if s.State() == StateStarting {
		return s.fire(now, "engine-seen")
	}
	if engineRestarted(last, r) {
		return s.fire(now, "engine-lost")
	}
	switch s.State() {
	case StateAdopting:
		return s.adopt(now)
	case StateStaging:
		return s.onStagingReport(now)
	case StateLimiting:
		return s.onLimitReport(now)
	case StateCapped:
		return s.onCappedReport(now)
	case StateSwitching:
		return s.onSwitchReport(now)
	case StateRunning, StateStaged:
		return s.reconcile()
	}
	return nil
}

// engineRestarted reports whether the engine has restarted without state. The slot's promises for its rank are then
// void, so the slot starts a new incarnation too; otherwise its old acknowledgement would count for a rank without a
// limit.
func engineRestarted(last, now EngineReport) bool {
	return !last.Map.IsZero() && now.Map.IsZero() || now.Next < last.Next
}

// reconcile removes a limit that belongs to no proposal, since an order to lift it can get lost.
func (s *Slot) reconcile() []Effect {
	if s.engine.Limit == NoLimit || s.busy() {
		return nil
	}
	return []Effect{s.order(OrderLift, s.engine.Limit, MapID{})}
}

// Tick advances the state machine to now. It may be called at any rate; the shortest timeout is SlotTiming.Retry.
func (s *Slot) Tick(now time.Time) []Effect {
	if now.Before(s.retryAt) {
		return nil
	}
	s.retryAt = now.Add(s.cfg.Timing.Retry)
	switch s.State() {
	case StateRecovering:
		return s.sendRecover()
	case StateAdopting, StateStaging:
		return s.restage(now)
	case StateCapped:
		return s.sendCapToPeers(now)
	}
	return nil
}

// fire applies an event of the chart and executes its actions.
func (s *Slot) fire(now time.Time, ev charts.Event) []Effect {
	before := s.State()
	actions, err := s.machine.Fire(ev)
	if err != nil {
		return []Effect{Alarm{err}}
	}
	if s.State() != before {
		s.since = now
		s.history.add(HistoryEntry{now, s.State(), ev, s.engine.Map, s.engine.Start, s.ballot()})
	}
	var effects []Effect
	for _, a := range actions {
		effects = append(effects, s.do(now, a)...)
	}
	return effects
}

func (s *Slot) ballot() Ballot {
	if s.held == nil {
		return Ballot{}
	}
	return s.held.Ballot
}

func (s *Slot) do(now time.Time, a charts.Action) []Effect {
	s.retryAt = now.Add(s.cfg.Timing.Retry)
	switch a {
	case "new-life":
		s.reset(s.inc + 1)
		return nil
	case "ask-peers":
		return s.startRecovery(now)
	case "adopt":
		return s.adopt(now)
	case "lift":
		return s.lift()
	case "order-stage":
		return []Effect{s.order(OrderStage, 0, s.staging)}
	case "order-limit":
		return []Effect{s.order(OrderLimit, s.held.Start, MapID{})}
	case "acknowledge":
		return s.acknowledge(now)
	case "refuse":
		return s.refuseHeld()
	case "order-switch":
		return []Effect{s.order(OrderSwitch, s.held.Start, s.held.To)}
	case "tell-switched":
		return s.notifySwitched()
	}
	return []Effect{Alarm{&ActionError{a}}}
}

func (s *Slot) order(kind OrderKind, step Step, to MapID) Order {
	s.orders++
	return Order{ID: s.orders, Kind: kind, Map: s.engine.Map, Step: step, To: to}
}

// lift removes the engine's limit, including one that an older incarnation has set.
func (s *Slot) lift() []Effect {
	step := s.engine.Limit
	if s.held != nil {
		step = s.held.Start
	}
	s.dropProposal()
	if step == NoLimit {
		return nil
	}
	return []Effect{s.order(OrderLift, step, MapID{})}
}

// peers returns the addresses of all other slots.
func (s *Slot) peers() []Addr {
	var peers []Addr
	for r := range s.cfg.Ranks {
		if Rank(r) != s.cfg.Rank {
			peers = append(peers, Addr{Rank: Rank(r)})
		}
	}
	return peers
}

func (s *Slot) sendToPeers(m Message) []Effect {
	var effects []Effect
	for _, p := range s.peers() {
		effects = append(effects, Send{p, m})
	}
	return effects
}
