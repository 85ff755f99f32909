package rebalance

import (
	"context"
	"fmt"
	"sync"

	"connectrpc.com/connect"

	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
	"github.com/cardamomyoke/cardamomyoke/internal/experts/expertmap"
	cardamomyokev1 "github.com/cardamomyoke/cardamomyoke/internal/gen/cardamomyoke/v1"
	"github.com/cardamomyoke/cardamomyoke/internal/gen/cardamomyoke/v1/cardamomyokev1connect"
)

// UnknownRankError reports that the roster has no slot for a rank.
type UnknownRankError struct {
	Group ids.Group
	Rank  int
}

// Error implements error.
func (e *UnknownRankError) Error() string {
	return fmt.Sprintf("no slot of group %s has rank %d", e.Group, e.Rank)
}

// Directory resolves nodes to addresses by the roster of the configuration log. It is safe for concurrent use.
type Directory struct {
	// Members returns the roster's members.
	Members func() []*cardamomyokev1.Member
	// Client and Scheme are used for calls to members.
	Client connect.HTTPClient
	Scheme string
	mu     sync.Mutex
	ranks  map[string]cardamomyokev1connect.RankServiceClient
}

// Resolve returns the URL of a proposer or of a rank's slot. It can be used as node.Resolve.
func (d *Directory) Resolve(group ids.Group, to expertmap.Addr) (string, bool) {
	for _, m := range d.Members() {
		if matches(m, group, to) {
			return d.Scheme + "://" + m.GetAddress(), true
		}
	}
	return "", false
}

func matches(m *cardamomyokev1.Member, group ids.Group, to expertmap.Addr) bool {
	if to.IsProposer() {
		return m.GetName() == string(to.Proposer)
	}
	return m.GetGroup() == string(group) && m.GetRank() == uint32(to.Rank)
}

// Report implements RankClient.
func (d *Directory) Report(ctx context.Context, group ids.Group, rank int, known uint64) (*cardamomyokev1.GetRankReportResponse, error) {
	url, ok := d.Resolve(group, expertmap.Addr{Rank: expertmap.Rank(rank)})
	if !ok {
		return nil, &UnknownRankError{group, rank}
	}
	return d.client(url).GetRankReport(ctx, &cardamomyokev1.GetRankReportRequest{Group: string(group), KnownWindow: known})
}

func (d *Directory) client(url string) cardamomyokev1connect.RankServiceClient {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.ranks == nil {
		d.ranks = map[string]cardamomyokev1connect.RankServiceClient{}
	}
	c, ok := d.ranks[url]
	if !ok {
		c = cardamomyokev1connect.NewRankServiceClient(d.Client, url)
		d.ranks[url] = c
	}
	return c
}
