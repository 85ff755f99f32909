package agent

import (
	"context"
	"errors"
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
	// callTimeout bounds one call: the agent's own call to its rank, and the way there.
	callTimeout = 250 * time.Millisecond
	// dialTimeout bounds the making of a connection.
	dialTimeout = 100 * time.Millisecond
	// firstDirect is how long a rank is reached directly after its agent could not be reached once; it doubles with each
	// further time in a row up to maxDirect. An agent that starts takes some tenths of a second.
	firstDirect = 250 * time.Millisecond
	maxDirect   = 2 * time.Second
	// maxIdle is how many idle connections are kept to one agent; calls to it follow each other.
	maxIdle = 2
)

// Client reaches ranks through their agents, and directly where there is none. It implements lockstep.RankClient.
type Client struct {
	direct lockstep.RankClient
	port   string
	http   *http.Client

	maps *mapMemory

	mu     sync.Mutex
	agents map[string]cardamomyokev1connect.AgentServiceClient // by host
	avoid  map[string]detour                                   // hosts whose agents could not be reached
}

var _ lockstep.RankClient = (*Client)(nil)

// detour is for how long a host's rank is reached directly.
type detour struct {
	until  time.Time
	length time.Duration
}

// longer is the detour after one more failure.
//
// Agents listen some tenths of a second after their hosts start. Until they are asked again the ranks are reached directly,
// by reports that lag, and the first map after an outage is late.
func (d detour) longer(now time.Time) detour {
	length := min(maxDirect, max(firstDirect, 2*d.length))
	return detour{now.Add(length), length}
}

// NewClient returns a client of the agents at the given port of the ranks' hosts; without a port all are reached
// directly.
func NewClient(direct lockstep.RankClient, port string) *Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &Client{
		direct: direct,
		port:   port,
		maps:   newMapMemory(),
		http: &http.Client{Transport: &http.Transport{
			DialContext: dialer.DialContext, MaxIdleConnsPerHost: maxIdle, DisableCompression: true,
		}},
		agents: map[string]cardamomyokev1connect.AgentServiceClient{},
		avoid:  map[string]detour{},
	}
}

// IsLocal implements lockstep.RankClient.
func (c *Client) IsLocal(u *catalog.Upstream) bool {
	_, _, ok := c.agent(u)
	return ok
}

// agent returns the client of the rank's agent, unless it must be reached directly.
func (c *Client) agent(u *catalog.Upstream) (cardamomyokev1connect.AgentServiceClient, string, bool) {
	host, _, err := net.SplitHostPort(u.Address)
	if err != nil || c.port == "" {
		return nil, "", false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Now().Before(c.avoid[host].until) {
		return nil, "", false
	}
	a := c.agents[host]
	if a == nil {
		a = cardamomyokev1connect.NewAgentServiceClient(c.http, "http://"+net.JoinHostPort(host, c.port))
		c.agents[host] = a
	}
	return a, host, true
}

// failed notes that an agent did not answer. An agent that answers for a rank that does not is not at fault.
func (c *Client) failed(host string, err error) {
	var answer *connect.Error
	if errors.As(err, &answer) && connect.IsWireError(err) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.avoid[host] = c.avoid[host].longer(time.Now())
	delete(c.agents, host)
}

// reached notes that an agent answered.
func (c *Client) reached(host string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.avoid, host)
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
	if err != nil {
		c.failed(host, err)
		return lockstep.Report{}, err
	}
	c.reached(host)
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
	if err != nil {
		c.failed(host, err)
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
	if err != nil {
		c.failed(host, err)
		return lockstep.HeldExperts{}, err
	}
	return lockstep.HeldExperts{Epoch: res.GetEpoch(), Version: res.GetVersion(), Experts: decodeLists(res.GetSets())}, nil
}

// ReplyError is what a rank said to an order, as its agent tells it.
type ReplyError struct{ Reason string }

// Error implements error.
func (e *ReplyError) Error() string { return e.Reason }

// direct reports whether an order goes straight to the rank. Holding a group does: if the agent's host freezes right
// after it, its rank could not be told to release the group before it wakes.
func direct(op lockstep.Op) bool { return op == lockstep.OpHold || op == lockstep.OpRelease }

// Order implements lockstep.RankClient.
func (c *Client) Order(ctx context.Context, u *catalog.Upstream, o lockstep.Order) (lockstep.Reply, error) {
	a, host, ok := c.agent(u)
	if !ok || direct(o.Op) {
		return c.direct.Order(ctx, u, o)
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout+o.Wait)
	defer cancel()
	res, err := c.order(ctx, a, host, o)
	if err != nil {
		c.failed(host, err)
		return lockstep.ReplyLost, err
	}
	if res.GetReason() != "" {
		return decodeReply(res.GetReply()), &ReplyError{res.GetReason()}
	}
	return decodeReply(res.GetReply()), nil
}

// order sends an order; a map is sent as what differs from the last one that the agent was told, if it still has that.
func (c *Client) order(ctx context.Context, a cardamomyokev1connect.AgentServiceClient, host string, o lockstep.Order) (*cardamomyokev1.RankOrderResponse, error) {
	req := encodeOrder(o)
	if o.Op != lockstep.OpPrepare {
		return a.RankOrder(ctx, req)
	}
	defer c.maps.told(host, o.Version, o.Placement)
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
