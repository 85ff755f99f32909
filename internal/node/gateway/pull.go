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

// catchUp pulls the tables for which the sender announces a newer change, or rows of earlier eras that this gateway does not
// have.
func (p *peers) catchUp(d *cardamomyokev1.Digest) {
	for _, f := range p.g.followers {
		news := newsOf(d, f.Replica.Name())
		if newest := newestPosition(news); !f.Replica.Has(newest) {
			p.recordMissing(f.Replica, newest)
			p.pull(f, d)
			continue
		}
		p.catchUpEarlier(f, d, news)
	}
}

// lag lists the positions that peers have announced and a table's replica lacks, oldest first, each with the time of its
// announcement.
type lag []missingChange

type missingChange struct {
	position platform.Position
	since    time.Time
}

// maxMissingChanges bounds a lag; beyond it the last position also represents all later ones.
const maxMissingChanges = 16

// missing returns the positions that the replica still lacks.
func (l lag) missing(r *replica.Replica) lag {
	return slices.DeleteFunc(l, func(c missingChange) bool { return r.Has(c.position) })
}

// add returns the lag after a peer announced a position.
func (l lag) add(p platform.Position, now time.Time) lag {
	if len(l) == 0 || l[len(l)-1].position.Before(p) && len(l) < maxMissingChanges {
		return append(l, missingChange{p, now})
	}
	l[len(l)-1].position = l[len(l)-1].position.Max(p)
	return l
}

func (p *peers) recordMissing(r *replica.Replica, newest platform.Position) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lags[r.Name()] = p.lags[r.Name()].missing(r).add(newest, time.Now())
}

// replicaLag returns how long the table's replica has lacked its oldest missing change, 0 if it lacks none. A replica
// that receives each change soon has a short lag, however many changes there are.
func (p *peers) replicaLag(r *replica.Replica, now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := p.lags[r.Name()].missing(r)
	p.lags[r.Name()] = l
	if len(l) == 0 {
		return 0
	}
	return max(1, now.Sub(l[0].since))
}

const (
	// ownFeedDelay is how long a gateway that follows the store waits for its own feed before it pulls from a peer. The
	// feed delivers most changes within milliseconds, and each node pulling each change would multiply the bytes
	// between nodes.
	ownFeedDelay = 100 * time.Millisecond
	// maxLocalPullDelay spreads the pulls of gateways that receive an announcement at the same moment.
	maxLocalPullDelay = 40 * time.Millisecond
	// remotePullDelay is how long a gateway waits for a change from its own data centre before it pulls from another.
	remotePullDelay = 200 * time.Millisecond
)

// pullDelay returns how long to wait before pulling after a digest of the sender.
func (p *peers) pullDelay(f *replica.Follower, sender *cardamomyokev1.Digest) time.Duration {
	switch {
	case f.Following():
		return ownFeedDelay
	case !f.Connection().Up:
		return 0
	case sender.GetDataCentre() != string(p.g.Settings().DataCentre):
		return remotePullDelay
	}
	return rand.N(maxLocalPullDelay)
}

func (p *peers) pull(f *replica.Follower, sender *cardamomyokev1.Digest) {
	p.startPull(f.Replica.Name(), func() {
		time.Sleep(p.pullDelay(f, sender))
		p.pullUntilCurrent(f, p.nearestSource(f.Replica.Name(), sender), sender)
	})
}

// startPull runs a pull of a table in a goroutine unless one is in progress.
func (p *peers) startPull(table string, run func()) {
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
		run()
	}()
}

// pullUntilCurrent pulls from the sources in turn until the replica has the version that the last source announced.
//
// The nearest gateway that announces a change may fail to deliver it; the sender of the digest has it.
func (p *peers) pullUntilCurrent(f *replica.Follower, sources ...*cardamomyokev1.Digest) {
	wanted := newestPosition(newsOf(sources[len(sources)-1], f.Replica.Name()))
	previous := ""
	for _, d := range sources {
		if f.Replica.Has(wanted) || d.GetDigestAddress() == previous {
			continue
		}
		previous = d.GetDigestAddress()
		p.pullFrom(f, d)
	}
}

// nearestSource returns a gateway of this data centre that announces the same or a newer version, or else the sender.
func (p *peers) nearestSource(table string, sender *cardamomyokev1.Digest) *cardamomyokev1.Digest {
	own := string(p.g.Settings().DataCentre)
	if sender.GetDataCentre() == own {
		return sender
	}
	wanted := newestPosition(newsOf(sender, table))
	for _, k := range p.live(time.Now()) {
		if k.digest.GetDataCentre() == own && !newestPosition(newsOf(k.digest, table)).Before(wanted) {
			return k.digest
		}
	}
	return sender
}

// newsOf returns what a digest says about a table, or nil.
func newsOf(d *cardamomyokev1.Digest, table string) *cardamomyokev1.TableNews {
	for _, n := range d.GetNews() {
		if n.GetTable() == table {
			return n
		}
	}
	return nil
}

// newestPosition returns the position of the newest change that a peer announces. Peers of releases without eras announce
// era 0.
func newestPosition(n *cardamomyokev1.TableNews) platform.Position {
	return platform.Position{Era: n.GetEra(), Version: n.GetNewest()}
}

func (p *peers) pullFrom(f *replica.Follower, source *cardamomyokev1.Digest) {
	ctx, cancel := context.WithTimeout(p.ctx, pullTimeout)
	defer cancel()
	after, _ := f.Replica.Position()
	client := cardamomyokev1connect.NewPeerServiceClient(p.http, "http://"+source.GetDigestAddress(), connect.WithReadMaxBytes(maxPullBytes))
	res, err := client.Pull(ctx, &cardamomyokev1.PullRequest{
		Table: f.Replica.Name(), After: after.Version, Era: after.Era, Earlier: f.Replica.EarlierFingerprint(),
	})
	if err != nil {
		_ = level.Warn(p.g.logger).Log("msg", "pull failed", "table", f.Replica.Name(), "peer", source.GetNode(), "err", err)
		return
	}
	changed := f.Replica.Merge(deltaOf(res))
	p.recordPulled(f.Replica.Name(), res.GetEra())
	_ = level.Info(p.g.logger).Log("msg", "pulled", "table", f.Replica.Name(), "peer", source.GetNode(), "after", after,
		"version", deltaOf(res).To, "rows", len(res.GetRows()), "earlier_rows", len(res.GetEarlier()), "changed", changed)
	if changed {
		f.Changed(f.Replica)
	}
}

func deltaOf(res *cardamomyokev1.PullResponse) replica.Delta {
	d := replica.Delta{
		Full:    res.GetWhole(),
		To:      platform.Position{Era: res.GetEra(), Version: res.GetVersion()},
		Earlier: earlierRowsOf(res.GetEarlier()),
		EraAge:  time.Duration(res.GetEraAgeMs()) * time.Millisecond,
	}
	for _, r := range res.GetRows() {
		d.Changes = append(d.Changes, changeOf(r, res.GetEra()))
	}
	return d
}

func changeOf(r *cardamomyokev1.TableRow, era uint64) platform.Change {
	row := platform.Row{Key: r.GetKey(), Version: r.GetVersion(), Era: era, Value: r.GetValue()}
	return platform.Change{Row: row, Removed: r.GetRemoved()}
}

func tableRow(c platform.Change) *cardamomyokev1.TableRow {
	return &cardamomyokev1.TableRow{Key: c.Key, Version: c.Version, Value: c.Value, Removed: c.Removed}
}

// Pull implements PeerService: it returns the changes of a table after a position. Callers of releases without eras get the
// full table unless the store names no era.
func (p *peers) Pull(_ context.Context, req *cardamomyokev1.PullRequest) (*cardamomyokev1.PullResponse, error) {
	for _, f := range p.g.followers {
		if f.Replica.Name() != req.GetTable() {
			continue
		}
		d := f.Replica.Since(platform.Position{Era: req.GetEra(), Version: req.GetAfter()})
		res := &cardamomyokev1.PullResponse{
			Version: d.To.Version, Era: d.To.Era, Whole: d.Full, EraAgeMs: uint32(d.EraAge.Milliseconds()),
		}
		for _, c := range d.Changes {
			res.Rows = append(res.Rows, tableRow(c))
		}
		if req.GetEarlier() != f.Replica.EarlierFingerprint() {
			res.Earlier = encodeEarlierRows(d.Earlier)
		}
		return res, nil
	}
	return nil, connect.NewError(connect.CodeNotFound, nil)
}
