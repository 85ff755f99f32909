package dispatch

// lateReading is the part of what ranks can read in a pass that late requests may take.
const lateReading = 0.5

// beyondLateReading reports whether this gateway must not have more prompts of late requests read now.
//
// When a group has formed again, many requests wait that are late whatever is done. If all of their prompts were read at once,
// passes would be long for some rounds, and whoever asks meanwhile would be late as well. So late prompts are read half a
// pass at a time. Each gateway counts what it has placed itself and has its part: news of others are older than a pass.
func (p *Pool) beyondLateReading() bool {
	e := p.opts.Engine
	if p.opts.Off[LateReading] || e == nil || e.Chunk <= 0 || p.lateUnread <= 0 {
		return false
	}
	perPass := float64(e.Chunk*e.Stride*len(p.order)) / float64(max(1, p.sharing.Gateways))
	return float64(p.lateUnread) >= lateReading*perPass
}
