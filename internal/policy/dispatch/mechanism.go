package dispatch

// Mechanism names a part of the policy that can be switched off, to see what it is worth or while it does harm.
type Mechanism string

const (
	// FewChoices compares some upstreams drawn at random where other gateways place as well, and not all.
	FewChoices Mechanism = "few-choices"
	// SlotShare leaves the last free slots to gateways with fewer requests.
	SlotShare Mechanism = "slot-share"
	// LateFill gives late requests a part of the slots only.
	LateFill Mechanism = "late-fill"
	// LateReading has the prompts of late requests read a part of a pass at a time.
	LateReading Mechanism = "late-reading"
	// SlowRanks gives fewer requests to upstreams that are slower than usual.
	SlowRanks Mechanism = "slow-ranks"
	// EjectFailing keeps requests away from upstreams that break connections or refuse.
	EjectFailing Mechanism = "ejection"
	// FirstAnswerTime takes the time to the first answer off what is left until the target.
	FirstAnswerTime Mechanism = "first-answer-time"
)

// Mechanisms lists all of them.
func Mechanisms() []Mechanism {
	return []Mechanism{FewChoices, SlotShare, LateFill, LateReading, SlowRanks, EjectFailing, FirstAnswerTime}
}

// Off are the mechanisms that are switched off.
type Off map[Mechanism]bool
