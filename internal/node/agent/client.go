package agent

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"

	"github.com/cardamomyoke/cardamomyoke/internal/experts/lockstep"
	cardamomyokev1 "github.com/cardamomyoke/cardamomyoke/internal/gen/cardamomyoke/v1"
	"github.com/cardamomyoke/cardamomyoke/internal/gen/cardamomyoke/v1/cardamomyokev1connect"
	"github.com/cardamomyoke/cardamomyoke/internal/state/catalog"
)

const (
	// callTimeout bounds one call, including the network delay and the agent's own call to its rank.
	callTimeout = 250 * time.Millisecond
	// dialTimeout bounds the setup of a connection.
	dialTimeout = 100 * time.Millisecond
	// initialBackoff is the time that a rank is reached directly after its agent could not be reached once. It doubles
	// with each further consecutive failure, up to maxBackoff. An agent takes some tenths of a second to start.
	initialBackoff = 250 * time.Millisecond
	maxBackoff     = 2 * time.Second
	// maxIdle is the maximum number of idle connections to one agent; calls to one agent are mostly sequential.
	maxIdle = 2
	// maxAnswerBytes limits the body of an answer, and maxHeaderBytes its header: the largest is a list of experts.
	maxAnswerBytes = 4 << 20
	maxHeaderBytes = 16 << 10
)

// Client reaches ranks through their agents, and directly if the agent is unavailable. It implements
// lockstep.RankClient.
type Client struct {
	direct lockstep.RankClient
	port   string
	http   *http.Client

	maps *mapCache

	mu       sync.Mutex
	agents   map[string]cardamomyokev1connect.AgentServiceClient // by host
	backoffs map[string]backoff                                  // by host; only for agents that could not be reached
}

var _ lockstep.RankClient = (*Client)(nil)

// backoff is the period in which the rank of a host is reached directly because its agent failed.
type backoff struct {
	until  time.Time
	length time.Duration
}

// next returns the backoff after one more failure.
//
// The backoff is short because agents listen some tenths of a second after their hosts start. During the backoff the
// ranks are reached directly. Their reports then lag, which delays the first map after an outage.
func (b backoff) next(now time.Time) backoff {
	length := min(maxBackoff, max(initialBackoff, 2*b.length))
	return backoff{now.Add(length), length}
}

// NewClient returns a client of the agents at the given port of the ranks' hosts. If port is empty, all ranks are
// reached directly.
func NewClient(direct lockstep.RankClient, port string) *Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &Client{
		direct: direct,
		port:   port,
		maps:   newMapCache(),
		http: &http.Client{Transport: &http.Transport{
			DialContext: dialer.DialContext, MaxIdleConnsPerHost: maxIdle, DisableCompression: true,
			MaxResponseHeaderBytes: maxHeaderBytes,
		}},
		agents:   map[string]cardamomyokev1connect.AgentServiceClient{},
		backoffs: map[string]backoff{},
	}
}

// ReadsWithoutPause implements lockstep.RankClient: it reports whether the rank is read through the agent on its own host.
func (c *Client) ReadsWithoutPause(u *catalog.Upstream) bool {
	_, _, ok := c.agent(u)
	return ok
}

// agent returns the client of the rank's agent and the rank's host. It returns false if the rank must be reached
// directly.
func (c *Client) agent(u *catalog.Upstream) (cardamomyokev1connect.AgentServiceClient, string, bool) {
	host, _, err := net.SplitHostPort(u.Address)
	if err != nil || c.port == "" {
		return nil, "", false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Now().Before(c.backoffs[host].until) {
		return nil, "", false
	}
	a := c.agents[host]
	if a == nil {
		a = cardamomyokev1connect.NewAgentServiceClient(c.http, "http://"+net.JoinHostPort(host, c.port), connect.WithReadMaxBytes(maxAnswerBytes))
		c.agents[host] = a
	}
	return a, host, true
}

// recordResult starts the agent's backoff if it could not be reached, and ends it after any response of the agent itself, also
// after an error, for example because its rank is unavailable.
func (c *Client) recordResult(host string, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err == nil || connect.IsWireError(err) {
		delete(c.backoffs, host)
		return
	}
	c.backoffs[host] = c.backoffs[host].next(time.Now())
	delete(c.agents, host)
}

// Report implements lockstep.RankClient.
func (c *Client) Report(ctx context.Context, u *catalog.Upstream) (lockstep.Report, error) {
	a, host, ok := c.agent(u)
	if !ok {
		return c.direct.Report(ctx, u)
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	res, err := a.RankReport(ctx, &cardamomyokev1.RankReportRequest{})
	c.recordResult(host, err)
	if err != nil {
		return lockstep.Report{}, err
	}
	r := decodeReport(res)
	r.Fresh = true
	return r, nil
}

// Counts implements lockstep.RankClient.
func (c *Client) Counts(ctx context.Context, u *catalog.Upstream, sets int) (lockstep.CountStart, lockstep.Counts, error) {
	a, host, ok := c.agent(u)
	if !ok {
		return c.direct.Counts(ctx, u, sets)
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	res, err := a.RankCounts(ctx, &cardamomyokev1.RankCountsRequest{Sets: uint32(sets)})
	c.recordResult(host, err)
	if err != nil {
		return lockstep.CountStart{}, nil, err
	}
	counts := make(lockstep.Counts, sets)
	perSet := len(res.GetCounts()) / max(1, sets)
	for s := range counts {
		counts[s] = make([]float64, perSet)
		for e := range perSet {
			counts[s][e] = float64(res.GetCounts()[s*perSet+e])
		}
	}
	return lockstep.CountStart{StartedAtMS: res.GetBorn(), Epoch: res.GetEpoch()}, counts, nil
}

// HeldExperts implements lockstep.RankClient.
func (c *Client) HeldExperts(ctx context.Context, u *catalog.Upstream) (lockstep.HeldExperts, error) {
	a, host, ok := c.agent(u)
	if !ok {
		return c.direct.HeldExperts(ctx, u)
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	res, err := a.RankHeld(ctx, &cardamomyokev1.RankHeldRequest{})
	c.recordResult(host, err)
	if err != nil {
		return lockstep.HeldExperts{}, err
	}
	return lockstep.HeldExperts{Epoch: res.GetEpoch(), Version: res.GetVersion(), Experts: decodeLists(res.GetSets())}, nil
}

// ReplyError reports why an order of the agent to its rank got no reply or was refused, as forwarded by the agent.
type ReplyError struct{ Reason string }

// Error implements error.
func (e *ReplyError) Error() string { return e.Reason }

// bypassesAgent reports whether an order is sent directly to the rank. Holds and releases are: if the agent's host
// paused right after a hold, the agent could not forward the release of the group until the host resumes.
func bypassesAgent(op lockstep.Op) bool { return op == lockstep.OpHold || op == lockstep.OpRelease }

// Order implements lockstep.RankClient.
func (c *Client) Order(ctx context.Context, u *catalog.Upstream, o lockstep.Order) (lockstep.Reply, error) {
	a, host, ok := c.agent(u)
	if !ok || bypassesAgent(o.Op) {
		return c.direct.Order(ctx, u, o)
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout+o.Wait)
	defer cancel()
	res, err := c.sendOrder(ctx, a, host, o)
	c.recordResult(host, err)
	if err != nil {
		return lockstep.ReplyLost, err
	}
	if res.GetReason() != "" {
		return decodeReply(res.GetReply()), &ReplyError{res.GetReason()}
	}
	return decodeReply(res.GetReply()), nil
}

// sendOrder sends an order to an agent. A map is sent as the difference from the last one sent to the agent, or in full
// if the agent does not have that one any more.
func (c *Client) sendOrder(ctx context.Context, a cardamomyokev1connect.AgentServiceClient, host string, o lockstep.Order) (*cardamomyokev1.RankOrderResponse, error) {
	req := encodeOrder(o)
	if o.Op != lockstep.OpPrepare {
		return a.RankOrder(ctx, req)
	}
	defer c.maps.recordSent(host, o.Version, o.Placement)
	base, cells, ok := c.maps.difference(host, o.Version, o.Placement)
	if ok {
		req.BaseVersion, req.Cells = base, cells
		res, err := a.RankOrder(ctx, req)
		if connect.CodeOf(err) != connect.CodeFailedPrecondition {
			return res, err
		}
		req.BaseVersion, req.Cells = 0, nil
	}
	req.Sets, req.Lists = uint32(len(o.Placement)), c.maps.encoded(o.Version, o.Placement)
	return a.RankOrder(ctx, req)
}
