package lockstep

import (
	"errors"

	"github.com/cardamomyoke/cardamomyoke/internal/base/httpclient"
	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
)

// maxOrderLines is how many lines a second a controller logs about orders. A group whose ranks do not respond gets each order again every
// resendAfter.
const maxOrderLines = 50

// What is known of an earlier copy of an order.
const (
	// knownNothing: its reply is outstanding, or was lost. It may have been carried out, or may be later.
	knownNothing = "may-count"
	// knownUnsent: no connection was established, so it never will be carried out.
	knownUnsent = "no-connection"
	// knownRefused: the rank refused it, which changed nothing.
	knownRefused = "refused"
	// knownCounted: the rank acknowledged it.
	knownCounted = "counted"
)

// knownOf returns what the result of a copy of an order tells about it.
func knownOf(reply Reply, err error) string {
	var dial *httpclient.DialError
	switch {
	case reply == ReplyRefused:
		return knownRefused
	case reply != ReplyLost:
		return knownCounted
	case errors.As(err, &dial):
		return knownUnsent
	}
	return knownNothing
}

// orderKey identifies an order among those of a switch.
type orderKey struct {
	rank          int
	op            Op
	version, pass uint64
}

func keyOf(o Order) orderKey { return orderKey{o.Rank, o.Op, o.Version, o.Pass} }

// copies is what is known of the copies of an order that were given.
type copies struct {
	given, ended int
	// mayCount is the number of copies that ended without proof that they did not count; latest is what is known of the latest that ended.
	mayCount int
	latest   string
}

// givenOrders are the orders of a switch. The goroutine of the switch owns it.
type givenOrders map[orderKey]*copies

// give records a copy of an order and returns what is known of those before; nil for the first one.
func (g givenOrders) give(o Order) *copies {
	k := keyOf(o)
	if g[k] == nil {
		g[k] = &copies{given: 1}
		return nil
	}
	before := *g[k]
	g[k].given++
	return &before
}

// ended records the result of a copy.
func (g givenOrders) ended(r orderResult) {
	c := g[keyOf(r.order)]
	if c == nil {
		return
	}
	c.ended++
	c.latest = knownOf(r.reply, r.err)
	if c.latest == knownNothing {
		c.mayCount++
	}
}

// logAgain logs that an order is given again, with what is known of the copies before.
func (c *Controller) logAgain(o Order, upstream ids.Upstream, before *copies) {
	if before == nil {
		return
	}
	latest := before.latest
	if latest == "" {
		latest = knownNothing
	}
	_ = c.orderLog.Log("msg", "order given again", "op", o.Op, "upstream", upstream, "rank", o.Rank, "version", o.Version, "pass", o.Pass,
		"epoch", o.Epoch, "copies", before.given, "outstanding", before.given-before.ended, "may_count", before.given-before.ended+before.mayCount,
		"latest", latest)
}
