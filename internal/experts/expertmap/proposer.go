package expertmap

import (
	"slices"
	"time"

	"github.com/cardamomyoke/cardamomyoke/internal/base/charts"
	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
)

var proposerChart = charts.MustLoad("map_proposer")

// The states of a proposer; the chart map_proposer says how they follow each other.
const (
	StateIdle       charts.State = "idle"
	StateProbing    charts.State = "probing"
	StateCapping    charts.State = "capping"
	StateCertifying charts.State = "certifying"
	StateBackingOff charts.State = "backing-off"
)

// ProposerTiming holds the proposer's timeouts and bounds. None of them matters to safety.
type ProposerTiming struct {
	// Retry is the time after which a message that was not answered is sent again.
	Retry time.Duration `yaml:"retry"`
	// StageTimeout is how long the ranks may take to load weights.
	StageTimeout time.Duration `yaml:"stage_timeout"`
	// Backoff is the pause after the first refusal; it doubles with each further one.
	Backoff time.Duration `yaml:"backoff"`
	// Attempts is how many proposals are made before the switch is given up.
	Attempts int `yaml:"attempts"`
	// OrderTime is what an order to an engine takes, beyond the message that carries it to the slot.
	OrderTime time.Duration `yaml:"order_time"`
	// ReportAge is how old an engine's report can be when its slot answers.
	ReportAge time.Duration `yaml:"report_age"`
	// Margin multiplies the time measured for the exchange; each refusal for a passed step doubles the lead again.
	Margin float64 `yaml:"margin"`
}

// DefaultProposerTiming suits steps of a few milliseconds and round trips below ten.
func DefaultProposerTiming() ProposerTiming {
	return ProposerTiming{
		Retry: 100 * time.Millisecond, StageTimeout: 10 * time.Minute, Backoff: 200 * time.Millisecond,
		Attempts: 8, OrderTime: 2 * time.Millisecond, ReportAge: 25 * time.Millisecond, Margin: 2,
	}
}

// ProposerConfig says who proposes to whom.
type ProposerConfig struct {
	// ID is drawn at random at each start of the process, so that no two lives share a ballot.
	ID     uint64
	Ranks  int
	Timing ProposerTiming
}

// Proposer is the state machine that leads a group from one map to the next. The holder of the group's lease runs
// it, but nothing unsafe happens if two run at the same time, or if one dies or sleeps at any point: slots that capped
// finish among themselves. It is not safe for concurrent use; it does no I/O and reads no clock.
type Proposer struct {
	cfg     ProposerConfig
	machine charts.Machine
	fence   ids.Fence
	seq     uint64
	round   uint64
	to      MapID
	// replies holds, by rank, the answer to the present round, and when it came.
	replies []*stageReply
	// roundSentAt is when the present round was sent.
	roundSentAt time.Time
	proposal    Proposal
	acked       []bool
	switched    []bool
	refusal     *Refusal
	attempts    int
	// leadFactor multiplies the measured lead after refusals for a passed step.
	leadFactor float64
	failure    *FailedError
	// retryAt and expireAt are when the state repeats itself and when it ends; wait is the pause between repeats.
	retryAt  time.Time
	wait     time.Duration
	expireAt time.Time
}

type stageReply struct {
	StageReply
	at time.Time
}

// NewProposer returns an idle proposer.
func NewProposer(cfg ProposerConfig) *Proposer {
	return &Proposer{cfg: cfg, machine: proposerChart.Start()}
}

// State returns the present state.
func (p *Proposer) State() charts.State { return p.machine.State() }

// Propose starts the switch to a map under the fencing number of the group's lease. It returns *BusyError if a switch
// is under way. The version must be one above the map that the group runs, or the Result says which one that is.
func (p *Proposer) Propose(now time.Time, fence ids.Fence, to MapID) ([]Effect, error) {
	if p.State() != StateIdle {
		return nil, &BusyError{p.to}
	}
	p.fence, p.to = fence, to
	p.attempts, p.leadFactor = 0, 1
	p.failure = nil
	p.proposal = Proposal{}
	return p.fire(now, "propose"), nil
}

// Stop ends the proposer's part, for instance since its lease is lost. A proposal that is out may still be committed.
func (p *Proposer) Stop(now time.Time) []Effect {
	p.fail(ReasonStopped, 0, MapID{})
	return p.fire(now, "stop")
}

// Receive takes in a message from a slot.
func (p *Proposer) Receive(now time.Time, m Message) []Effect {
	switch m := m.(type) {
	case StageReply:
		return p.onStageReply(now, m)
	case Ack:
		return p.onAck(now, m)
	case Refusal:
		return p.onRefusal(now, m)
	case Outcome:
		return p.onOutcome(now, m)
	}
	return nil
}

// Tick lets time pass; the shortest timeout is ProposerTiming.Retry.
func (p *Proposer) Tick(now time.Time) []Effect {
	if !p.expireAt.IsZero() && !now.Before(p.expireAt) {
		p.expireAt = time.Time{}
		p.fail(ReasonTime, p.unreadyRank(), MapID{})
		return p.fire(now, "expired")
	}
	if now.Before(p.retryAt) {
		return nil
	}
	p.retryAt = now.Add(p.wait)
	switch p.State() {
	case StateStaging:
		// Weights take minutes: asking less and less often keeps to the network that control may use.
		p.wait = min(2*p.wait, maxRetryFactor*p.cfg.Timing.Retry)
		return p.sendStage()
	case StateProbing:
		// A probe that has to be repeated measures nothing; a new round does.
		return p.beginRound(now)
	case StateCapping:
		// Those that acknowledged are asked as well: if the slots have finished among themselves meanwhile, the
		// answer is the outcome, and its first copy may be lost.
		return p.sendToPending(p.switched, CapRequest{p.proposal})
	case StateCertifying:
		return append(p.sendCertificate(), p.sendToPending(p.switched, CapRequest{p.proposal})...)
	}
	return nil
}

// maxRetryFactor bounds the pause between two questions, in units of ProposerTiming.Retry.
const maxRetryFactor = 64

func (p *Proposer) fire(now time.Time, ev charts.Event) []Effect {
	actions, err := p.machine.Fire(ev)
	if err != nil {
		return []Effect{Alarm{err}}
	}
	var effects []Effect
	for _, a := range actions {
		effects = append(effects, p.do(now, a)...)
	}
	return effects
}

func (p *Proposer) do(now time.Time, a charts.Action) []Effect {
	p.wait = p.cfg.Timing.Retry
	p.retryAt = now.Add(p.wait)
	switch a {
	case "send-stage":
		p.expireAt = now.Add(p.cfg.Timing.StageTimeout)
		return p.beginRound(now)
	case "send-cap":
		return p.beginCap(now)
	case "send-certificate":
		return p.sendCertificate()
	case "send-refusal":
		return p.backOff(now)
	case "report":
		return p.report()
	}
	return []Effect{Alarm{&ActionError{a}}}
}

func (p *Proposer) fail(reason Reason, r Rank, current MapID) {
	p.failure = &FailedError{To: p.to, Reason: reason, Rank: r, Current: current}
}

// report ends the switch. A failure that was met on the way counts only if the ranks have not switched after all.
func (p *Proposer) report() []Effect {
	p.expireAt = time.Time{}
	res := Result{To: p.to, Start: p.proposal.Start, Attempts: p.attempts}
	if p.failure != nil {
		res.Err = p.failure
	}
	return []Effect{res}
}

func (p *Proposer) sendToAll(m Message) []Effect {
	var effects []Effect
	for r := range p.cfg.Ranks {
		effects = append(effects, Send{Addr{Rank: Rank(r)}, m})
	}
	return effects
}

// sendToPending sends to the ranks that have not done their part yet.
func (p *Proposer) sendToPending(done []bool, m Message) []Effect {
	var effects []Effect
	for r, d := range done {
		if !d {
			effects = append(effects, Send{Addr{Rank: Rank(r)}, m})
		}
	}
	return effects
}

// unreadyRank returns a rank whose word is still out.
func (p *Proposer) unreadyRank() Rank {
	return Rank(max(0, slices.IndexFunc(p.replies, func(r *stageReply) bool { return r == nil || !r.Ready })))
}
