package revision

import "time"

// Options configures a Node. A zero field selects its default.
type Options struct {
	// HeartbeatInterval is the time between heartbeats, and between two reads of the table by a poller; default 1s.
	HeartbeatInterval time.Duration
	// StaleAfter is how long a node takes new work after the newest moment for which it knows that it held every committed
	// log entry; default 4s.
	StaleAfter time.Duration
	// ForceAfter is the maximum age of the newest table read that a node is aware of. When that read is older, the node puts
	// in force the log entries that it holds, without waiting for their acceptance; default 2s. It is also the grace period
	// for work that was decided on the previous revision.
	ForceAfter time.Duration
	// Fanout is the number of children that a node has in its data centre; default 3.
	Fanout int
	// Pollers is the number of nodes per data centre that read the table at each heartbeat; default 2.
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

// stopTimeout returns the time, counted from the last acknowledgement, after which a node that has not acknowledged a log
// entry has stopped taking new work. It exceeds StaleAfter because clocks may run at slightly different rates.
func (o Options) stopTimeout() time.Duration { return o.StaleAfter + o.StaleAfter/8 }

// parentTimeout returns how long a parent may be unresponsive before the node looks for another one.
func (o Options) parentTimeout() time.Duration { return o.HeartbeatInterval * 8 / 5 }

// childTimeout returns how long an unresponsive child still receives heartbeats.
func (o Options) childTimeout() time.Duration { return o.HeartbeatInterval * 16 / 5 }

// Times that do not depend on the deployment.
const (
	minPushInterval = 20 * time.Millisecond  // between two pushes of updates
	minAckInterval  = 100 * time.Millisecond // between two acknowledgements of one heartbeat
	maxAckDelay     = 250 * time.Millisecond // for acknowledgements of the children to arrive before the node sends its own
	joinInterval    = 300 * time.Millisecond // between two attempts to find a parent
	joinParallelism = 2                      // candidate parents contacted per attempt
	pollLead        = 200 * time.Millisecond // by which an origin's table read precedes the heartbeat that carries its result
	readTimeout     = 3 * time.Second        // after which a read of the table counts as lost
	holdsDelay      = 700 * time.Millisecond // without acceptance, before acknowledgements are exchanged through the table
	maxLogEntries   = 256                    // log entries retained for nodes that lack some
	maxNonces       = 64
	// ackTTL is how long an acknowledgement counts if no later heartbeat repeats it.
	ackTTL = 4 * time.Second
	// restartWait is how long a restarted node that receives no table read neither relies on a majority nor counts in
	// one. It must exceed the time for which an acknowledgement of the previous incarnation can count: up to childTimeout at
	// each of up to seven nodes on its way up the tree, then ackTTL.
	restartWait = 30 * time.Second
	maxFloors   = 8
	maxRounds   = 4
)
