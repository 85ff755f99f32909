package gateway

// keep keeps a response while another upstream is asked, in place of an earlier one, with the memory of its body.
func (n *run) keep(slot **plainResponse, p *plainResponse) {
	if earlier := *slot; earlier != nil {
		earlier.memory.free()
	}
	*slot = p
	p.memory.shrink(cap(p.body))
}

// freeUnlessKept frees the memory of a response's body unless the response is kept.
func (n *run) freeUnlessKept(p *plainResponse) {
	if p != n.unproven && p != n.bufferedFailure {
		p.memory.free()
	}
}

// freeKept frees the memory of the responses that are kept, at the end of the request.
func (n *run) freeKept() {
	for _, p := range []*plainResponse{n.unproven, n.bufferedFailure} {
		if p != nil {
			p.memory.free()
		}
	}
}
