package dispatch

// Mechanism names an optional rule of the policy. Operators can disable one to measure its effect, or while it causes
// problems.
type Mechanism string

const (
	// FewChoices compares a random sample of the upstreams, instead of all of them, while other gateways place requests
	// too.
	FewChoices Mechanism = "few-choices"
	// SlotShare leaves the last free slots to gateways that use fewer than their share.
	SlotShare Mechanism = "slot-share"
	// LateFill limits late requests to a share of the slots.
	LateFill Mechanism = "late-fill"
	// LatePrefill limits how much of a pass may be spent on the prefill of late requests.
	LatePrefill Mechanism = "late-reading"
	// SlowRanks sends fewer requests to upstreams that are slower than normal.
	SlowRanks Mechanism = "slow-ranks"
	// EjectFailing ejects upstreams whose connections fail or that refuse requests.
	EjectFailing Mechanism = "ejection"
	// FirstResponseTime subtracts the expected time to the first response from the time left until the target.
	FirstResponseTime Mechanism = "first-answer-time"
	// Classes applies the rules for services whose requests have several priorities.
	Classes Mechanism = "classes"
	// LeastPart gives each class of a service a least part of the starts.
	LeastPart Mechanism = "least-part"
	// Accounts orders requests by fair shares of client accounts.
	Accounts Mechanism = "accounts"
)

// Mechanisms lists all mechanisms of the pool.
func Mechanisms() []Mechanism {
	return []Mechanism{FewChoices, SlotShare, LateFill, LatePrefill, SlowRanks, EjectFailing, FirstResponseTime, NearUpstreams, Classes, LeastPart, Accounts}
}

// DisabledMechanisms is the set of mechanisms that are disabled.
type DisabledMechanisms map[Mechanism]bool
