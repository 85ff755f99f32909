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

// catchUp pulls the tables for which the sender announces a newer change.
func (p *peers) catchUp(d *cardamomyokev1.Digest) {
	for _, f := range p.g.followers {
		if newest := newestVersion(d, f.Replica.Name()); !f.Replica.Has(newest) {
			p.recordMissing(f.Replica, newest)
			p.pull(f, d)
		}
	}
}

// lag lists the versions that peers have announced and a table's replica lacks, oldest first, each with the time of its
// announcement.
type lag []missingVersion

type missingVersion struct {
	version uint64
	since   time.Time
}

// maxMissingVersions bounds a lag; beyond it the last version also represents all later ones.
const maxMissingVersions = 16

// missing returns the versions that the replica still lacks.
func (l lag) missing(r *replica.Replica) lag {
	return slices.DeleteFunc(l, func(v missingVersion) bool { return r.Has(v.version) })
}

// add returns the lag after a peer announced a version.
func (l lag) add(version uint64, now time.Time) lag {
	if len(l) == 0 || version > l[len(l)-1].version && len(l) < maxMissingVersions {
		return append(l, missingVersion{version, now})
	}
	l[len(l)-1].version = max(l[len(l)-1].version, version)
	return l
}

func (p *peers) recordMissing(r *replica.Replica, newest uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lags[r.Name()] = p.lags[r.Name()].missing(r).add(newest, time.Now())
}

// replicaLag returns how long the table's replica has lacked its oldest missing version, 0 if it lacks none. A replica
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
		time.Sleep(p.pullDelay(f, sender))
		p.pullUntilCurrent(f, p.nearestSource(table, sender), sender)
	}()
}

// pullUntilCurrent pulls from the sources in turn until the replica has the version that the last source announced.
//
// The nearest gateway that announces a change may fail to deliver it; the sender of the digest has it.
func (p *peers) pullUntilCurrent(f *replica.Follower, sources ...*cardamomyokev1.Digest) {
	wanted := newestVersion(sources[len(sources)-1], f.Replica.Name())
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
	for _, k := range p.live(time.Now()) {
		if k.digest.GetDataCentre() == own && newestVersion(k.digest, table) >= newestVersion(sender, table) {
			return k.digest
		}
	}
	return sender
}

func newestVersion(d *cardamomyokev1.Digest, table string) uint64 {
	for _, n := range d.GetNews() {
		if n.GetTable() == table {
			return n.GetNewest()
		}
	}
	return 0
}

func (p *peers) pullFrom(f *replica.Follower, source *cardamomyokev1.Digest) {
	ctx, cancel := context.WithTimeout(p.ctx, pullTimeout)
	defer cancel()
	after, _ := f.Replica.Position()
	client := cardamomyokev1connect.NewPeerServiceClient(p.http, "http://"+source.GetDigestAddress())
	res, err := client.Pull(ctx, &cardamomyokev1.PullRequest{Table: f.Replica.Name(), After: after})
	if err != nil {
		_ = level.Warn(p.g.logger).Log("msg", "pull failed", "table", f.Replica.Name(), "peer", source.GetNode(), "err", err)
		return
	}
	changed := f.Replica.Merge(deltaOf(res))
	_ = level.Info(p.g.logger).Log("msg", "pulled", "table", f.Replica.Name(), "peer", source.GetNode(), "after", after,
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

// Pull implements PeerService: it returns the changes of a table after a version.
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
