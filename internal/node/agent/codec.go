package agent

import (
	"slices"
	"time"

	"github.com/cardamomyoke/cardamomyoke/internal/experts/lockstep"
	cardamomyokev1 "github.com/cardamomyoke/cardamomyoke/internal/gen/cardamomyoke/v1"
)

// replyCodes maps the replies of ranks to their wire values. A lost reply is sent as unspecified.
var replyCodes = map[lockstep.Reply]cardamomyokev1.OrderReply{
	lockstep.ReplyLost:           cardamomyokev1.OrderReply_ORDER_REPLY_UNSPECIFIED,
	lockstep.ReplyAccepted:       cardamomyokev1.OrderReply_ORDER_REPLY_BEGUN,
	lockstep.ReplyAlreadyApplied: cardamomyokev1.OrderReply_ORDER_REPLY_HOLDS,
	lockstep.ReplyRefused:        cardamomyokev1.OrderReply_ORDER_REPLY_REFUSED,
	lockstep.ReplyPrepared:       cardamomyokev1.OrderReply_ORDER_REPLY_PREPARED,
}

func decodeReply(wire cardamomyokev1.OrderReply) lockstep.Reply {
	for reply, code := range replyCodes {
		if code == wire {
			return reply
		}
	}
	return lockstep.ReplyLost
}

func encodeReport(r lockstep.Report) *cardamomyokev1.RankReportResponse {
	res := &cardamomyokev1.RankReportResponse{
		Group:       r.Group,
		Rank:        uint32(r.Rank),
		Size:        uint32(r.Size),
		Epoch:       r.Epoch,
		Open:        r.Open,
		Pass:        r.Pass,
		Version:     r.Version,
		Prepared:    r.Prepared,
		HeldPass:    r.HeldPass,
		Pace:        r.Slowdown,
		Running:     uint32(r.Running),
		Waiting:     uint32(r.Waiting),
		CacheTokens: uint64(r.CacheTokens),
		Born:        r.StartedAtMS,
	}
	if r.Armed != nil {
		res.Armed = &cardamomyokev1.ArmedSwitch{Version: r.Armed.Version, Pass: r.Armed.Pass}
	}
	return res
}

func decodeReport(res *cardamomyokev1.RankReportResponse) lockstep.Report {
	r := lockstep.Report{
		Group:       res.GetGroup(),
		Rank:        int(res.GetRank()),
		Size:        int(res.GetSize()),
		Epoch:       res.GetEpoch(),
		Open:        res.GetOpen(),
		Pass:        res.GetPass(),
		Version:     res.GetVersion(),
		Prepared:    res.GetPrepared(),
		HeldPass:    res.HeldPass,
		Slowdown:    res.GetPace(),
		Running:     int(res.GetRunning()),
		Waiting:     int(res.GetWaiting()),
		CacheTokens: int(res.GetCacheTokens()),
		StartedAtMS: res.GetBorn(),
	}
	if a := res.GetArmed(); a != nil {
		r.Armed = &lockstep.Armed{Version: a.GetVersion(), Pass: a.GetPass()}
	}
	return r
}

func encodeLists(lists [][]int) []*cardamomyokev1.ExpertList {
	var out []*cardamomyokev1.ExpertList
	for _, list := range lists {
		l := &cardamomyokev1.ExpertList{}
		for _, e := range list {
			l.Experts = append(l.Experts, uint32(e))
		}
		out = append(out, l)
	}
	return out
}

func decodeLists(lists []*cardamomyokev1.ExpertList) [][]int {
	out := make([][]int, len(lists))
	for i, list := range lists {
		for _, e := range list.GetExperts() {
			out[i] = append(out[i], int(e))
		}
	}
	return out
}

func encodeOrder(o lockstep.Order) *cardamomyokev1.RankOrderRequest {
	req := &cardamomyokev1.RankOrderRequest{
		Op: string(o.Op), Rank: uint32(o.Rank), Epoch: o.Epoch, Version: o.Version, Pass: o.Pass, WaitMs: uint32(o.Wait.Milliseconds()),
	}
	return req
}

func encodePlacement(p lockstep.Placement) []*cardamomyokev1.ExpertList {
	var lists []*cardamomyokev1.ExpertList
	for _, ranks := range p {
		lists = append(lists, encodeLists(ranks)...)
	}
	return lists
}

// encodeCells returns the cells in which next differs from prev; a cell is the list of experts of one set on one rank.
// It returns false if the two maps have different shapes.
func encodeCells(prev, next lockstep.Placement) ([]*cardamomyokev1.MapCell, bool) {
	if len(prev) != len(next) {
		return nil, false
	}
	var cells []*cardamomyokev1.MapCell
	for s := range next {
		if len(prev[s]) != len(next[s]) {
			return nil, false
		}
		for r := range next[s] {
			if slices.Equal(prev[s][r], next[s][r]) {
				continue
			}
			cell := &cardamomyokev1.MapCell{Set: uint32(s), Rank: uint32(r)}
			for _, e := range next[s][r] {
				cell.Experts = append(cell.Experts, uint32(e))
			}
			cells = append(cells, cell)
		}
	}
	return cells, true
}

// applyCells returns a copy of base with the cells replaced, and false if a cell is outside of base.
func applyCells(base lockstep.Placement, cells []*cardamomyokev1.MapCell) (lockstep.Placement, bool) {
	next := base.Clone()
	for _, c := range cells {
		if int(c.GetSet()) >= len(next) || int(c.GetRank()) >= len(next[c.GetSet()]) {
			return nil, false
		}
		list := make([]int, 0, len(c.GetExperts()))
		for _, e := range c.GetExperts() {
			list = append(list, int(e))
		}
		next[c.GetSet()][c.GetRank()] = list
	}
	return next, true
}

func decodeOrder(req *cardamomyokev1.RankOrderRequest) lockstep.Order {
	o := lockstep.Order{
		Op: lockstep.Op(req.GetOp()), Rank: int(req.GetRank()), Epoch: req.GetEpoch(), Version: req.GetVersion(), Pass: req.GetPass(),
		Wait: time.Duration(req.GetWaitMs()) * time.Millisecond,
	}
	sets := int(req.GetSets())
	if sets == 0 || len(req.GetLists())%sets != 0 {
		return o
	}
	lists := decodeLists(req.GetLists())
	ranks := len(lists) / sets
	for s := range sets {
		o.Placement = append(o.Placement, lists[s*ranks:(s+1)*ranks])
	}
	return o
}
