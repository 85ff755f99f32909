package gateway

import (
	"fmt"

	"github.com/valyala/fasthttp"

	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
)

// HeldHeaderError reports that a body contains the whole header of a response, and that another upstream is asked.
type HeldHeaderError struct{ Upstream ids.Upstream }

// Error implements error.
func (e *HeldHeaderError) Error() string {
	return fmt.Sprintf("body of %s contains the header of a response", e.Upstream)
}

// checkHeldHeader returns *HeldHeaderError if a buffered response must not reach the caller yet, given whether its body contains the
// whole header of a response.
//
// Such a body may have been cut off and filled up with another response, which cannot be told from text of its own. If the
// request may be repeated, another upstream is asked once and the response is kept, unless such bodies are usual for the service.
func (n *run) checkHeldHeader(u ids.Upstream, p *plainResponse, holdsHeader bool) error {
	usual := n.service.heldHeaders.Usual()
	n.service.heldHeaders.Record(holdsHeader)
	if !holdsHeader || usual || n.unproven != nil || !n.r.route.Repeatable() || p.status >= fasthttp.StatusInternalServerError {
		return nil
	}
	n.keep(&n.unproven, p)
	return &HeldHeaderError{u}
}
