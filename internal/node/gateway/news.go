package gateway

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"connectrpc.com/connect"
	"github.com/go-kit/log/level"

	cardamomyokev1 "github.com/cardamomyoke/cardamomyoke/internal/gen/cardamomyoke/v1"
	"github.com/cardamomyoke/cardamomyoke/internal/gen/cardamomyoke/v1/cardamomyokev1connect"
	"github.com/cardamomyoke/cardamomyoke/internal/state/platform"
	"github.com/cardamomyoke/cardamomyoke/internal/state/replica"
)

// catchUp pulls the tables of which the sender knows a newer change.
func (p *peers) catchUp(d *cardamomyokev1.Digest) {
	for _, f := range p.g.followers {
		if newest := newestOf(d, f.Replica.Name()); !f.Replica.Has(newest) {
			p.noteBehind(f.Replica, newest)
			p.pull(f, d)
		}
	}
}

// lag is what a table's copy lacks, by what others have told: the versions, the oldest first, and since when it lacks them.
type lag []lacked

type lacked struct {
	version uint64
	since   time.Time
}

// maxLacked bounds a lag; beyond it the last version stands for the next ones, too.
const maxLacked = 16

// without returns what the copy still lacks.
func (l lag) without(r *replica.Replica) lag {
	return slices.DeleteFunc(l, func(v lacked) bool { return r.Has(v.version) })
}

// with returns the lag after another version was told.
func (l lag) with(version uint64, now time.Time) lag {
	if len(l) == 0 || version > l[len(l)-1].version && len(l) < maxLacked {
		return append(l, lacked{version, now})
	}
	l[len(l)-1].version = max(l[len(l)-1].version, version)
	return l
}

func (p *peers) noteBehind(r *replica.Replica, newest uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lags[r.Name()] = p.lags[r.Name()].without(r).with(newest, time.Now())
}

// behind returns for how long the table's copy has lacked a change of which others have told; 0 if it lacks none. A copy that
// gets each change soon is not behind for long, however many there are.
func (p *peers) behind(r *replica.Replica, now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := p.lags[r.Name()].without(r)
	p.lags[r.Name()] = l
	if len(l) == 0 {
		return 0
	}
	return max(1, now.Sub(l[0].since))
}

const (
	// newsGrace is how long a node that follows the store waits for its own feed before it asks a peer: the feed brings
	// most changes within milliseconds, and each node pulling each change would multiply the bytes between nodes.
	newsGrace = 100 * time.Millisecond
	// nearGrace spreads the pulls of the nodes that hear of a change at the same moment.
	nearGrace = 40 * time.Millisecond
	// farGrace is how long a node waits for news from its own data centre before it pulls from another.
	farGrace = 200 * time.Millisecond
)

// grace is how long to wait before pulling from the sender of a digest.
func (p *peers) grace(f *replica.Follower, from *cardamomyokev1.Digest) time.Duration {
	switch {
	case f.Following():
		return newsGrace
	case !f.Connection().Up:
		return 0
	case from.GetDataCentre() != string(p.g.Settings().DataCentre):
		return farGrace
	}
	return rand.N(nearGrace)
}

func (p *peers) pull(f *replica.Follower, from *cardamomyokev1.Digest) {
	table := f.Replica.Name()
	p.mu.Lock()
	busy := p.pulling[table]
	p.pulling[table] = true
	p.mu.Unlock()
	if busy {
		return
	}
	go func() {
		defer func() {
			p.mu.Lock()
			delete(p.pulling, table)
			p.mu.Unlock()
		}()
		time.Sleep(p.grace(f, from))
		p.pullFirst(f, p.nearest(table, from), from)
	}()
}

// pullFirst pulls from the first of the gateways that brings the table up to what the last one told of.
//
// The nearest gateway that tells of a change may not give it; the one that brought the news has it.
func (p *peers) pullFirst(f *replica.Follower, from ...*cardamomyokev1.Digest) {
	wanted := newestOf(from[len(from)-1], f.Replica.Name())
	asked := ""
	for _, d := range from {
		if f.Replica.Has(wanted) || d.GetDigestAddress() == asked {
			continue
		}
		asked = d.GetDigestAddress()
		p.pullNow(f, d)
	}
}

// nearest returns a gateway of this data centre that has news as new as the one given, or that one.
func (p *peers) nearest(table string, from *cardamomyokev1.Digest) *cardamomyokev1.Digest {
	own := string(p.g.Settings().DataCentre)
	if from.GetDataCentre() == own {
		return from
	}
	for _, k := range p.live(time.Now()) {
		if k.digest.GetDataCentre() == own && newestOf(k.digest, table) >= newestOf(from, table) {
			return k.digest
		}
	}
	return from
}

func newestOf(d *cardamomyokev1.Digest, table string) uint64 {
	for _, n := range d.GetNews() {
		if n.GetTable() == table {
			return n.GetNewest()
		}
	}
	return 0
}

func (p *peers) pullNow(f *replica.Follower, from *cardamomyokev1.Digest) {
	ctx, cancel := context.WithTimeout(p.ctx, pullTimeout)
	defer cancel()
	after, _ := f.Replica.Position()
	client := cardamomyokev1connect.NewPeerServiceClient(p.http, "http://"+from.GetDigestAddress())
	res, err := client.Pull(ctx, &cardamomyokev1.PullRequest{Table: f.Replica.Name(), After: after})
	if err != nil {
		_ = level.Warn(p.g.logger).Log("msg", "pull failed", "table", f.Replica.Name(), "peer", from.GetNode(), "err", err)
		return
	}
	changed := f.Replica.Merge(deltaOf(res))
	_ = level.Info(p.g.logger).Log("msg", "pulled", "table", f.Replica.Name(), "peer", from.GetNode(), "after", after,
		"version", res.GetVersion(), "rows", len(res.GetRows()), "changed", changed)
	if changed {
		f.Changed(f.Replica)
	}
}

func deltaOf(res *cardamomyokev1.PullResponse) replica.Delta {
	d := replica.Delta{Full: res.GetWhole(), Version: res.GetVersion()}
	for _, r := range res.GetRows() {
		row := platform.Row{Key: r.GetKey(), Version: r.GetVersion(), Value: r.GetValue()}
		d.Changes = append(d.Changes, platform.Change{Row: row, Removed: r.GetRemoved()})
	}
	return d
}

// Pull implements the peers' service.
func (p *peers) Pull(_ context.Context, req *cardamomyokev1.PullRequest) (*cardamomyokev1.PullResponse, error) {
	for _, f := range p.g.followers {
		if f.Replica.Name() != req.GetTable() {
			continue
		}
		d := f.Replica.Since(req.GetAfter())
		res := &cardamomyokev1.PullResponse{Version: d.Version, Whole: d.Full}
		for _, c := range d.Changes {
			res.Rows = append(res.Rows, &cardamomyokev1.TableRow{Key: c.Key, Version: c.Version, Value: c.Value, Removed: c.Removed})
		}
		return res, nil
	}
	return nil, connect.NewError(connect.CodeNotFound, nil)
}
