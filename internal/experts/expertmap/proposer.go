package expertmap

import (
	"slices"
	"time"

	"github.com/cardamomyoke/cardamomyoke/internal/base/charts"
	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
)

var proposerChart = charts.MustLoad("map_proposer")

// The states of a proposer; the chart map_proposer defines the transitions.
const (
	StateIdle charts.State = "idle"
	// StateProbing: the weights are loaded, and a last round trip obtains each rank's step, delay and incarnation.
	StateProbing    charts.State = "probing"
	StateCapping    charts.State = "capping"
	StateCertifying charts.State = "certifying"
	StateBackingOff charts.State = "backing-off"
)

// ProposerTiming holds the proposer's timeouts and bounds. Safety depends on none of them.
type ProposerTiming struct {
	// Retry is the delay before an unanswered message is sent again.
	Retry time.Duration `yaml:"retry"`
	// StageTimeout is the maximum time that the ranks may take to load weights.
	StageTimeout time.Duration `yaml:"stage_timeout"`
	// Backoff is the delay after the first refusal; it doubles with each further refusal, at most six times.
	Backoff time.Duration `yaml:"backoff"`
	// Attempts is the maximum number of proposals before the switch is aborted.
	Attempts int `yaml:"attempts"`
	// OrderTime is the time that an order to an engine takes, without the message that carries it to the slot.
	OrderTime time.Duration `yaml:"order_time"`
	// ReportAge is the maximum age of an engine's report when its slot replies.
	ReportAge time.Duration `yaml:"report_age"`
	// Margin multiplies the measured time of the exchange. Each refusal because of a passed step doubles it once
	// more.
	Margin float64 `yaml:"margin"`
}

// DefaultProposerTiming returns settings for steps of a few milliseconds and round trips below ten milliseconds.
func DefaultProposerTiming() ProposerTiming {
	return ProposerTiming{
		Retry: 100 * time.Millisecond, StageTimeout: 10 * time.Minute, Backoff: 200 * time.Millisecond,
		Attempts: 8, OrderTime: 2 * time.Millisecond, ReportAge: 25 * time.Millisecond, Margin: 2,
	}
}

// ProposerConfig configures a Proposer.
type ProposerConfig struct {
	// ID is generated at random each time the process starts, so that no two runs of a proposer share a ballot.
	ID     uint64
	Ranks  int
	Timing ProposerTiming
}

// Proposer is the state machine that drives the switch of a group from one map to the next. It runs on the holder of
// the group's lease. Safety does not depend on the lease: two proposers may run concurrently, and a proposer may
// crash or be paused at any point, because slots that have capped finish the switch among themselves. It is not safe
// for concurrent use; it does no I/O and reads no clock.
type Proposer struct {
	cfg     ProposerConfig
	machine charts.Machine
	fence   ids.Fence
	seq     uint64
	round   uint64
	to      MapID
	// replies holds, by rank, the reply to the current round and its time of arrival.
	replies []*stageReply
	// roundSentAt is when the current round was sent.
	roundSentAt time.Time
	proposal    Proposal
	acked       []bool
	switched    []bool
	refusal     *Refusal
	attempts    int
	// exchangeFactor multiplies the time that startStep allows for the exchange with the slots; it doubles with each
	// refusal because of a passed step.
	exchangeFactor float64
	failure        *FailedError
	// retryAt is when the current state sends its messages again, wait the interval between such repeats, and
	// expireAt when the state times out; zero means no timeout.
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

// State returns the current state.
func (p *Proposer) State() charts.State { return p.machine.State() }

// Propose starts the switch to a map under the fencing token of the group's lease. It returns *BusyError if a switch
// is in progress. The map's version must be one above that of the group's current map; otherwise the Result is a
// failure that names the current map.
func (p *Proposer) Propose(now time.Time, fence ids.Fence, to MapID) ([]Effect, error) {
	if p.State() != StateIdle {
		return nil, &BusyError{p.to}
	}
	p.fence, p.to = fence, to
	p.attempts, p.exchangeFactor = 0, 1
	p.failure = nil
	p.proposal = Proposal{}
	return p.fire(now, "propose"), nil
}

// Stop aborts the switch in progress, for example because the lease is lost. A proposal that was already sent may
// still be committed.
func (p *Proposer) Stop(now time.Time) []Effect {
	p.fail(ReasonStopped, NoRank, MapID{})
	return p.fire(now, "stop")
}

// Receive processes a message from a slot.
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

// Tick advances the state machine to now; the shortest timeout is ProposerTiming.Retry.
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
		// Loading weights takes minutes, so the interval doubles to save bandwidth on the control network.
		p.wait = min(2*p.wait, maxRetryFactor*p.cfg.Timing.Retry)
		return p.sendStage()
	case StateProbing:
		// The delay of a repeated probe cannot be measured, so a new round is started.
		return p.beginRound(now)
	case StateCapping:
		// Ranks that have acknowledged get the request too: if the slots have finished among themselves, the reply is
		// the outcome, whose first copy may be lost.
		return p.sendToPending(p.switched, CapRequest{p.proposal})
	case StateCertifying:
		return append(p.sendCertificate(), p.sendToPending(p.switched, CapRequest{p.proposal})...)
	}
	return nil
}

// maxRetryFactor bounds the interval between two requests, in units of ProposerTiming.Retry.
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

// report ends the switch. onOutcome and alreadySwitched have cleared an earlier failure if the ranks have switched
// after all.
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

// sendToPending sends m to the ranks for which done is not set.
func (p *Proposer) sendToPending(done []bool, m Message) []Effect {
	var effects []Effect
	for r, d := range done {
		if !d {
			effects = append(effects, Send{Addr{Rank: Rank(r)}, m})
		}
	}
	return effects
}

// unreadyRank returns the first rank that has not replied that it is ready, or NoRank if all have.
func (p *Proposer) unreadyRank() Rank {
	i := slices.IndexFunc(p.replies, func(r *stageReply) bool { return r == nil || !r.Ready })
	if i < 0 {
		return NoRank
	}
	return Rank(i)
}
