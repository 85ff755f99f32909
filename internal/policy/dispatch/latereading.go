package dispatch

// maxLatePrefill is the maximum share of a pass's prefill capacity that late requests may use.
const maxLatePrefill = 0.5

// beyondLatePrefill reports whether this gateway must not place more late requests for now.
//
// After a group has re-formed, many waiting requests can no longer meet their target. If the prefill of all of them
// were done immediately, several consecutive passes would be long, and requests that arrive in the meantime would
// become late too. So the prompts of late requests that wait for their prefill are limited to half a pass. Each gateway
// counts only its own placements against its share of that limit, because reports from other gateways are older than a
// pass.
func (p *Pool) beyondLatePrefill() bool {
	e := p.opts.Engine
	if p.opts.Disabled[LatePrefill] || e == nil || e.Chunk <= 0 || p.latePromptTokens <= 0 {
		return false
	}
	perPass := float64(e.Chunk*e.Stride*(len(p.order)-p.countEvacuated())) / float64(max(1, p.sharing.Gateways))
	return float64(p.latePromptTokens) >= maxLatePrefill*perPass
}
