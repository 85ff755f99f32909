package gateway

import (
	"context"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/cespare/xxhash/v2"
	"github.com/go-kit/log/level"

	"github.com/cardamomyoke/cardamomyoke/internal/catalog"
	"github.com/cardamomyoke/cardamomyoke/internal/controlport"
	"github.com/cardamomyoke/cardamomyoke/internal/digest"
	"github.com/cardamomyoke/cardamomyoke/internal/dispatch"
	cardamomyokev1 "github.com/cardamomyoke/cardamomyoke/internal/gen/cardamomyoke/v1"
	"github.com/cardamomyoke/cardamomyoke/internal/gen/cardamomyoke/v1/cardamomyokev1connect"
	"github.com/cardamomyoke/cardamomyoke/internal/ids"
	"github.com/cardamomyoke/cardamomyoke/internal/lease"
	"github.com/cardamomyoke/cardamomyoke/internal/platform"
	"github.com/cardamomyoke/cardamomyoke/internal/replica"
)

const (
	// digestEvery is how often a gateway tells the others of itself when nothing changes, workEvery when its work does.
	digestEvery = 200 * time.Millisecond
	workEvery   = 100 * time.Millisecond
	// namesEvery is how often a digest names other gateways, newNamesEvery the same while some are new.
	namesEvery    = time.Second
	newNamesEvery = 200 * time.Millisecond
	// newFor is for how long a gateway counts as new: until others have named it a few times.
	newFor = 1500 * time.Millisecond
	// unknownFor is how long after its start a gateway takes a leader that it has not heard for one that it does not know
	// yet: with 40 gateways that start together names reach all within a second.
	unknownFor = 1200 * time.Millisecond
	// peerSilent is after how long a gateway that is not heard is no longer given out: three digests and a margin.
	peerSilent = 800 * time.Millisecond
	// leaderSilent is after how long a duty is taken over from a gateway that is not heard: two digests and the way.
	leaderSilent = 450 * time.Millisecond
	// peerForgotten is after how long a gateway that is not heard is no longer told anything.
	peerForgotten = 30 * time.Second
	// maxTold is how many gateways one digest goes to; with more of them they are told in turn, and are silent for longer
	// before they count as gone. A leader tells all, so that no other takes its place.
	maxTold = 20
	// maxNamed is how many other gateways a digest names.
	maxNamed = 12
	// pullTimeout bounds one pull of a table from another gateway.
	pullTimeout = time.Second
)

// peer is another gateway.
type peer struct {
	digest  *cardamomyokev1.Digest
	heardAt time.Time
	// firstAt is when this life was heard first.
	firstAt time.Time
}

// peers knows the other gateways: it tells them of this one and hears of them.
type peers struct {
	g        *Gateway
	sender   *digest.Sender
	receiver *digest.Receiver
	port     *controlport.Port
	// metricsPort is nil unless the settings have an address of its own for it.
	metricsPort *controlport.Port
	http        *http.Client
	ctx         context.Context
	began       time.Time

	mu      sync.Mutex
	known   map[string]*peer     // by name
	hints   map[string]time.Time // addresses that were named, with the time of it
	pulling map[string]bool      // tables that are being pulled

	// The rest belongs to the control loop. turn is where the next digest goes on in the list of targets.
	turn     int
	sequence uint64
	toldAt   time.Time
	namedAt  time.Time
}

func startPeers(ctx context.Context, g *Gateway) (*peers, error) {
	p := &peers{
		g:       g,
		ctx:     ctx,
		began:   time.Now(),
		http:    &http.Client{Timeout: pullTimeout},
		known:   map[string]*peer{},
		hints:   map[string]time.Time{},
		pulling: map[string]bool{},
	}
	var err error
	if p.sender, err = digest.NewSender(); err != nil {
		return nil, err
	}
	if p.receiver, err = digest.Receive(g.Settings().Listen.Peers, p.hear); err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	mux.Handle(cardamomyokev1connect.NewPeerServiceHandler(p))
	if p.port, err = controlport.Start(g.Settings().Listen.Peers, mux, g.metrics.set, nil, g.logger); err != nil {
		return nil, err
	}
	if address := g.Settings().Listen.Metrics; address != "" {
		p.metricsPort, err = controlport.Start(address, http.NewServeMux(), g.metrics.set, nil, g.logger)
	}
	return p, err
}

func (p *peers) stop() {
	_ = p.receiver.Stop(context.Background())
	_ = p.sender.Close()
	p.port.Stop()
	if p.metricsPort != nil {
		p.metricsPort.Stop()
	}
}

// hear takes in a digest; one that is older than the last of its sender changes nothing.
func (p *peers) hear(d *cardamomyokev1.Digest) {
	if d.GetNode() == p.g.Settings().Name || d.GetRole() != cardamomyokev1.NodeRole_NODE_ROLE_GATEWAY {
		return
	}
	now := time.Now()
	p.mu.Lock()
	old := p.known[d.GetNode()]
	if old != nil && !old.replacedBy(d, now) {
		p.mu.Unlock()
		return
	}
	first := now
	if old != nil && old.digest.GetIncarnation() == d.GetIncarnation() {
		first = old.firstAt
	}
	p.known[d.GetNode()] = &peer{d, now, first}
	for _, address := range d.GetPeers() {
		p.hints[address] = now
	}
	p.mu.Unlock()
	if old == nil || old.digest.GetState() != d.GetState() {
		_ = level.Info(p.g.logger).Log("msg", "peer", "peer", d.GetNode(), "state", d.GetState(), "incarnation", d.GetIncarnation())
	}
	p.catchUp(d)
}

// replacedBy reports whether a digest is newer than what is known. Lives are ordered by the time of day at their start.
//
// Failure: a gateway restarts just after its host's time of day was set back. Its new life sorts before the one that has
// ended, and others would not hear it until they had forgotten the old one. A life that has fallen silent is therefore
// replaced by any other; digests of an ended life do not arrive that late.
func (k *peer) replacedBy(d *cardamomyokev1.Digest, now time.Time) bool {
	if d.GetIncarnation() != k.digest.GetIncarnation() {
		return d.GetIncarnation() > k.digest.GetIncarnation() || now.Sub(k.heardAt) > peerSilent
	}
	return d.GetSequence() > k.digest.GetSequence()
}

// catchUp pulls the tables of which the sender knows a newer change.
func (p *peers) catchUp(d *cardamomyokev1.Digest) {
	for _, news := range d.GetNews() {
		for _, f := range p.g.followers {
			if f.Table.Name() == news.GetTable() && news.GetNewest() > f.Table.Newest() {
				p.pull(f, d)
			}
		}
	}
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
	case !f.Link().Up:
		return 0
	case from.GetDataCentre() != string(p.g.Settings().DataCentre):
		return farGrace
	}
	return rand.N(nearGrace)
}

func (p *peers) pull(f *replica.Follower, from *cardamomyokev1.Digest) {
	table := f.Table.Name()
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
		if newestOf(from, table) > f.Table.Newest() {
			p.pullNow(f, p.nearest(table, from))
		}
	}()
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
	after, _ := f.Table.Position()
	client := cardamomyokev1connect.NewPeerServiceClient(p.http, "http://"+from.GetDigestAddress())
	res, err := client.Pull(ctx, &cardamomyokev1.PullRequest{Table: f.Table.Name(), After: after})
	if err != nil {
		_ = level.Warn(p.g.logger).Log("msg", "pull failed", "table", f.Table.Name(), "peer", from.GetNode(), "err", err)
		return
	}
	changed := f.Table.Merge(deltaOf(res))
	_ = level.Info(p.g.logger).Log("msg", "pulled", "table", f.Table.Name(), "peer", from.GetNode(), "after", after,
		"version", res.GetVersion(), "rows", len(res.GetRows()), "changed", changed)
	if changed {
		f.Changed(f.Table)
	}
}

func deltaOf(res *cardamomyokev1.PullResponse) replica.Delta {
	d := replica.Delta{Whole: res.GetWhole(), Version: res.GetVersion()}
	for _, r := range res.GetRows() {
		row := platform.Row{Key: r.GetKey(), Version: r.GetVersion(), Value: r.GetValue()}
		d.Changes = append(d.Changes, platform.Change{Row: row, Removed: r.GetRemoved()})
	}
	return d
}

// Pull implements the peers' service.
func (p *peers) Pull(_ context.Context, req *cardamomyokev1.PullRequest) (*cardamomyokev1.PullResponse, error) {
	for _, f := range p.g.followers {
		if f.Table.Name() != req.GetTable() {
			continue
		}
		d := f.Table.Since(req.GetAfter())
		res := &cardamomyokev1.PullResponse{Version: d.Version, Whole: d.Whole}
		for _, c := range d.Changes {
			res.Rows = append(res.Rows, &cardamomyokev1.TableRow{Key: c.Key, Version: c.Version, Value: c.Value, Removed: c.Removed})
		}
		return res, nil
	}
	return nil, connect.NewError(connect.CodeNotFound, nil)
}

// tick tells the others of this gateway when it is due.
func (p *peers) tick(now time.Time) {
	since := now.Sub(p.toldAt)
	if since >= digestEvery || since >= workEvery && p.workChanged() {
		p.tell(now)
	}
}

// workChanged reports whether there is work that others should count.
func (p *peers) workChanged() bool {
	for _, s := range p.g.control.services {
		if len(s.gate.Own()) > 0 {
			return true
		}
	}
	return false
}

// tell sends a digest to the others whose turn it is.
func (p *peers) tell(now time.Time) { p.send(now, p.targets(now)) }

// tellAll sends a digest to all others, as when this gateway leaves or has news of the store for them.
func (p *peers) tellAll(now time.Time) { p.send(now, p.others(now)) }

func (p *peers) send(now time.Time, to []string) {
	p.toldAt = now
	p.sequence++
	d := p.compose(now)
	for _, address := range to {
		// A datagram that cannot be sent is like one that is lost: the next one replaces it.
		_, _ = p.sender.Send(address, d)
	}
}

func (p *peers) compose(now time.Time) *cardamomyokev1.Digest {
	g := p.g
	d := &cardamomyokev1.Digest{
		Node:          g.Settings().Name,
		Incarnation:   string(g.incarnation),
		Sequence:      p.sequence,
		Role:          cardamomyokev1.NodeRole_NODE_ROLE_GATEWAY,
		State:         digestState(g.control.node),
		DataCentre:    string(g.Settings().DataCentre),
		HttpAddress:   g.Settings().Listen.Callers,
		DigestAddress: g.Settings().Listen.Peers,
		ExpertsFence:  g.experts.fence.Load(),
		CpuMillis:     g.Settings().Limits.cpuMillis(),
	}
	if now.Sub(p.namedAt) >= p.namesEvery(now) {
		p.namedAt = now
		d.Peers = p.named(now)
	}
	for _, f := range g.followers {
		d.News = append(d.News, &cardamomyokev1.TableNews{Table: f.Table.Name(), Newest: f.Table.Newest(), Following: f.Following()})
	}
	d.Slow = g.experts.slowKnown()
	for _, s := range g.control.services {
		for id, w := range s.gate.Own() {
			d.Work = append(d.Work, &cardamomyokev1.UpstreamWork{
				Upstream: hashOf(id), Requests: uint32(w.Requests), PromptTokens: uint32(max(0, w.PromptTokens)),
			})
		}
	}
	return d
}

func hashOf(id ids.Upstream) uint64 { return xxhash.Sum64String(string(id)) }

func digestState(s nodeState) cardamomyokev1.NodeState {
	switch s {
	case stateReady:
		return cardamomyokev1.NodeState_NODE_STATE_LIVE
	case stateLeaving, stateClosing:
		return cardamomyokev1.NodeState_NODE_STATE_LEAVING
	}
	return cardamomyokev1.NodeState_NODE_STATE_UNSPECIFIED
}

// others are the addresses of all other gateways: those of the settings, those heard of, and those that others named.
func (p *peers) others(now time.Time) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	all := map[string]bool{}
	for _, a := range p.g.Settings().Peers {
		all[a] = true
	}
	for name, k := range p.known {
		if now.Sub(k.heardAt) > peerForgotten {
			delete(p.known, name)
			continue
		}
		all[k.digest.GetDigestAddress()] = true
	}
	for a, at := range p.hints {
		if now.Sub(at) > peerForgotten {
			delete(p.hints, a)
			continue
		}
		all[a] = true
	}
	delete(all, p.g.Settings().Listen.Peers)
	return slices.Sorted(maps.Keys(all))
}

// targets are the addresses to tell now. A leader tells all each time.
func (p *peers) targets(now time.Time) []string {
	out := p.others(now)
	if len(out) <= maxTold || p.g.experts.fence.Load() > 0 {
		return out
	}
	part := make([]string, 0, maxTold)
	for i := range maxTold {
		part = append(part, out[(p.turn+i)%len(out)])
	}
	p.turn = (p.turn + maxTold) % len(out)
	return part
}

// silence scales a time after which a gateway that is not heard counts as gone to how often it is heard.
func (p *peers) silence(d time.Duration) time.Duration {
	if n := len(p.known); n > maxTold {
		return d * time.Duration(n) / maxTold
	}
	return d
}

// namesEvery is how often names are told now.
func (p *peers) namesEvery(now time.Time) time.Duration {
	for _, k := range p.live(now) {
		if now.Sub(k.firstAt) < newFor {
			return newNamesEvery
		}
	}
	return namesEvery
}

// named are some live gateways for others to know.
func (p *peers) named(now time.Time) []string {
	var out []string
	for _, k := range p.live(now) {
		out = append(out, k.digest.GetDigestAddress())
	}
	rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out[:min(maxNamed, len(out))]
}

// live are the gateways that were heard lately, in no order.
func (p *peers) live(now time.Time) []*peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []*peer
	limit := p.silence(peerSilent)
	for _, k := range p.known {
		if now.Sub(k.heardAt) <= limit {
			out = append(out, k)
		}
	}
	return out
}

const (
	// leastSentinels is how many gateways in all follow the store at least: one may be gone and another cut off from the
	// store at the same time.
	leastSentinels = 3
	// leastRelays is how many gateways that follow the store must be heard by one that does not: of two, one may have been
	// turned away by the store and not noticed yet.
	leastRelays = 2
)

// sentinel reports whether this gateway is one that its data centre relies on for news of the store: one of the first by
// rendezvous hash of those that are live. Each works it out for itself; if two differ for a moment, two watch.
func (p *peers) sentinel(now time.Time) bool {
	own := p.g.Settings()
	names := []string{own.Name}
	centres := map[string]bool{string(own.DataCentre): true}
	for _, k := range p.live(now) {
		centres[k.digest.GetDataCentre()] = true
		if ids.DataCentre(k.digest.GetDataCentre()) == own.DataCentre {
			names = append(names, k.digest.GetNode())
		}
	}
	each := (leastSentinels + len(centres) - 1) / len(centres)
	return slices.Contains(lease.Candidates("store", names, each), own.Name)
}

// relayed reports whether this gateway hears of changes from others that follow the table in the store.
func (p *peers) relayed(table string, now time.Time) bool {
	if p.sentinel(now) {
		return false
	}
	relays := 0
	for _, k := range p.live(now) {
		for _, n := range k.digest.GetNews() {
			if n.GetTable() == table && n.GetFollowing() {
				relays++
			}
		}
	}
	return relays >= leastRelays
}

// ended reports whether another gateway's life is known to be over: it is not heard, or only a later life is. A gateway
// that has just started has not heard anyone yet.
//
// Failure: all gateways start again after a loss of power, and each knows a few others only. Each finds that the holder of
// a duty is none of them and takes it over: 18 of 41 led one after the other within 0.3 s. Names spread within a second,
// so that waiting this long for a holder that was never heard is enough.
func (p *peers) ended(name string, life ids.Incarnation) bool {
	now := time.Now()
	if now.Sub(p.began) < leaderSilent {
		return false
	}
	if name == p.g.Settings().Name {
		return life != p.g.incarnation
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	k := p.known[name]
	if k == nil {
		return now.Sub(p.began) > unknownFor
	}
	if now.Sub(k.heardAt) > leaderSilent {
		return true
	}
	return k.digest.GetIncarnation() > string(life)
}

// count is how many other gateways are live.
func (p *peers) count(now time.Time) int { return len(p.live(now)) }

// maxAddresses is how many addresses one answer of the directory may name.
const maxAddresses = 64

// addresses are those that callers may use: of all gateways that are ready, this one among them.
func (p *peers) addresses(now time.Time) []string {
	var out []string
	if p.g.view.Load().state == stateReady {
		out = append(out, p.g.Settings().Listen.Callers)
	}
	for _, k := range p.live(now) {
		if k.digest.GetState() == cardamomyokev1.NodeState_NODE_STATE_LIVE {
			out = append(out, k.digest.GetHttpAddress())
		}
	}
	rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	out = out[:min(maxAddresses, len(out))]
	slices.Sort(out)
	return out
}

// paces are those of the slow ranks among a service's upstreams, as the leader tells them; this gateway may be the leader.
func (p *peers) paces(name ids.Service, upstreams *catalog.Upstreams, now time.Time) map[ids.Upstream]float64 {
	told := map[uint64]float64{}
	for _, s := range p.g.experts.slowKnown() {
		told[s.GetUpstream()] = s.GetPace()
	}
	for _, k := range p.live(now) {
		for _, s := range k.digest.GetSlow() {
			told[s.GetUpstream()] = s.GetPace()
		}
	}
	if len(told) == 0 {
		return nil
	}
	out := map[ids.Upstream]float64{}
	for _, u := range upstreams.Of(name) {
		if pace, ok := told[hashOf(u.ID)]; ok {
			out[u.ID] = pace
		}
	}
	return out
}

// work is what the other gateways have in flight at a service's upstreams, and when the oldest digest that says so came.
func (p *peers) work(name ids.Service, upstreams *catalog.Upstreams, now time.Time) (map[ids.Upstream]dispatch.Work, time.Time) {
	sum := map[uint64]dispatch.Work{}
	var oldest time.Time
	for _, k := range p.live(now) {
		if oldest.IsZero() || k.heardAt.Before(oldest) {
			oldest = k.heardAt
		}
		for _, w := range k.digest.GetWork() {
			s := sum[w.GetUpstream()]
			s.Requests += int(w.GetRequests())
			s.PromptTokens += int(w.GetPromptTokens())
			sum[w.GetUpstream()] = s
		}
	}
	out := map[ids.Upstream]dispatch.Work{}
	for _, u := range upstreams.Of(name) {
		if w, ok := sum[hashOf(u.ID)]; ok {
			out[u.ID] = w
		}
	}
	return out, oldest
}
