package lockstep

import (
	"bytes"
	"errors"
	"strings"
	"testing"

	"github.com/go-kit/log"

	"github.com/cardamomyoke/cardamomyoke/internal/base/httpclient"
)

// Guards against an order that is given again without a record of whether the copies before may still count.
func TestLogTellsWhetherEarlierCopiesMayCount(t *testing.T) {
	broken := errors.New("connection reset")
	o := Order{Rank: 1, Op: OpArm, Epoch: 3, Version: 7, Pass: 9}
	for name, tc := range map[string]struct {
		results []orderResult
		want    string
	}{
		"no reply yet":  {nil, "copies=1 outstanding=1 may_count=1 latest=may-count"},
		"lost":          {[]orderResult{{o, ReplyLost, broken}}, "copies=1 outstanding=0 may_count=1 latest=may-count"},
		"no connection": {[]orderResult{{o, ReplyLost, &httpclient.DialError{Cause: broken}}}, "copies=1 outstanding=0 may_count=0 latest=no-connection"},
		"refused":       {[]orderResult{{o, ReplyRefused, broken}}, "copies=1 outstanding=0 may_count=0 latest=refused"},
		"accepted":      {[]orderResult{{o, ReplyAccepted, nil}}, "copies=1 outstanding=0 may_count=0 latest=counted"},
		"another order": {[]orderResult{{Order{Rank: 2, Op: OpArm}, ReplyRefused, broken}}, "copies=1 outstanding=1 may_count=1 latest=may-count"},
	} {
		t.Run(name, func(t *testing.T) {
			var out bytes.Buffer
			c := NewController(ControllerOptions{Logger: log.NewLogfmtLogger(&out)})
			given := givenOrders{}
			c.logAgain(o, "u", given.give(o))
			if out.Len() > 0 {
				t.Fatalf("the first copy is logged: %s", out.String())
			}
			for _, r := range tc.results {
				given.ended(r)
			}
			c.logAgain(o, "u", given.give(o))
			if !strings.Contains(out.String(), "op=arm upstream=u rank=1 version=7 pass=9 epoch=3 "+tc.want) {
				t.Errorf("got %s", out.String())
			}
		})
	}
}

// Guards against a log that grows with the ranks that do not respond.
func TestLinesOfOrdersAreBounded(t *testing.T) {
	var out bytes.Buffer
	c := NewController(ControllerOptions{Logger: log.NewLogfmtLogger(&out)})
	given := givenOrders{}
	for range 20 * maxOrderLines {
		o := Order{Rank: 1, Op: OpHold, Pass: 9}
		c.logAgain(o, "u", given.give(o))
	}
	if got := strings.Count(out.String(), "order given again"); got < maxOrderLines || got > 2*maxOrderLines {
		t.Errorf("%d lines, the bound is %d a second", got, maxOrderLines)
	}
}
