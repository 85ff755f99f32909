package revision

import "time"

// Options are the times and sizes of a Node; a zero value stands for the default.
type Options struct {
	// HeartbeatInterval is the time between beats, and between reads of the table by a poller; default 1s.
	HeartbeatInterval time.Duration
	// StaleAfter is for how long a node takes new work on what it knew at a moment; default 4s.
	StaleAfter time.Duration
	// ForceAfter is for how long a node leaves an entry that it holds out of force when it does not hear that it is not
	// accepted yet; default 2s. It is also the grace for work on the revision before.
	ForceAfter time.Duration
	// Fanout is how many nodes of its data centre hear from one; default 3.
	Fanout int
	// Pollers is how many nodes of a data centre read the table at each beat; default 2.
	Pollers int
}

func (o Options) withDefaults() Options {
	if o.HeartbeatInterval == 0 {
		o.HeartbeatInterval = time.Second
	}
	if o.StaleAfter == 0 {
		o.StaleAfter = 4 * time.Second
	}
	if o.ForceAfter == 0 {
		o.ForceAfter = 2 * time.Second
	}
	if o.Fanout == 0 {
		o.Fanout = 3
	}
	if o.Pollers == 0 {
		o.Pollers = 2
	}
	return o
}

// stopTimeout is how long after the last acknowledgement a node that is missing has stopped; it is longer than StaleAfter because
// clocks may run at slightly different rates.
func (o Options) stopTimeout() time.Duration { return o.StaleAfter + o.StaleAfter/8 }

// parentTimeout is how long a node may be silent before another is asked in its place.
func (o Options) parentTimeout() time.Duration { return o.HeartbeatInterval * 8 / 5 }

// childTimeout is how long a node that is silent is still sent beats.
func (o Options) childTimeout() time.Duration { return o.HeartbeatInterval * 16 / 5 }

// Times that do not depend on the deployment.
const (
	minPushInterval = 20 * time.Millisecond  // between two pushes of news
	minAckInterval  = 100 * time.Millisecond // between two acknowledgements of one beat
	maxAckDelay     = 250 * time.Millisecond // for the nodes that hear from this one, before it acknowledges
	joinInterval    = 300 * time.Millisecond // between two tries to find a node to hear from
	joinParallelism = 2                      // nodes tried at once
	pollLead        = 200 * time.Millisecond // of the table's read before the beat that carries it
	readTimeout     = 3 * time.Second        // after which a read of the table counts as lost
	holdsDelay      = 700 * time.Millisecond // without acceptance, before the table is used to collect acknowledgements
	maxLogEntries   = 256                    // entries kept for nodes that lack some
	maxNonces       = 64
	// ackTTL is how long an acknowledgement counts that is not repeated with a beat.
	ackTTL = 4 * time.Second
	// restartQuarantine is how long a restarted node is no part of a majority. It is longer than any acknowledgement of its
	// former life counts: on its way up it lies for the time in which a silent node is forgotten at each of up to seven
	// nodes, then for ackKept.
	restartQuarantine = 30 * time.Second
	maxFloors         = 8
	maxRounds         = 4
)
