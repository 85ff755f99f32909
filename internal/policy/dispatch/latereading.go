package dispatch

// lateReading is the maximum share of a pass's prompt capacity that the prompts of late requests may use.
const lateReading = 0.5

// beyondLateReading reports whether this gateway must not place more late requests for now.
//
// After a group has re-formed, many waiting requests can no longer meet their target. If all their prompts were read
// immediately, passes would be long for several rounds and requests that arrive in the meantime would become late too.
// So the unread prompts of late requests are limited to half a pass. Each gateway counts only its own placements
// against its share of that limit, because reports from other gateways are older than a pass.
func (p *Pool) beyondLateReading() bool {
	e := p.opts.Engine
	if p.opts.Off[LateReading] || e == nil || e.Chunk <= 0 || p.lateUnread <= 0 {
		return false
	}
	perPass := float64(e.Chunk*e.Stride*len(p.order)) / float64(max(1, p.sharing.Gateways))
	return float64(p.lateUnread) >= lateReading*perPass
}
