package catalog

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
)

// Kind determines whether and how requests of a route may be repeated.
type Kind string

const (
	// KindSafe requests may run any number of times.
	KindSafe Kind = "safe"
	// KindUnsafe requests run at most once for each attempt of the caller.
	KindUnsafe Kind = "unsafe"
	// KindStream requests get a stream of events in response. They run at most once unless the route is resumable.
	KindStream Kind = "stream"
)

// WeightedService is one destination of a route.
type WeightedService struct {
	Service ids.Service
	// Weight is the destination's share of the requests, relative to the sum of the route's weights.
	Weight int
}

// Route defines the handling of requests for one host and path prefix.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   Kind
	// Services are the destinations; at least one.
	Services []WeightedService
	// Attempts is the maximum number of upstreams to which one request may be sent, at least 1.
	Attempts int
	// Timeout is the longest time that a caller may wait for the full response.
	Timeout time.Duration
	// TargetLatency is the operator's target for the time to the response, or to a stream's first event.
	TargetLatency time.Duration
	// TargetGap is the operator's target for the longest pause between two events of a stream.
	TargetGap time.Duration
	// Priority is the priority among competing requests; 0 is the highest.
	Priority int
	// Public routes need no key.
	Public bool
	// Resumable streams may continue at another upstream after the last delivered event.
	Resumable bool
}

// Repeatable reports whether a request that may have run can be run again.
func (r *Route) Repeatable() bool {
	return r.Kind == KindSafe || r.Kind == KindStream && r.Resumable
}

// CallerTimeout returns how long the caller of a stream waits for its first event, and between two events, before it
// disconnects: the maximum of two seconds, four times TargetLatency and eight times TargetGap.
func (r *Route) CallerTimeout() time.Duration {
	return max(minCallerTimeout, 4*r.TargetLatency, 8*r.TargetGap)
}

const minCallerTimeout = 2 * time.Second

// Engine is the published performance model of a service whose upstreams are model engines that batch requests.
type Engine struct {
	// Slots is the number of requests that an engine runs concurrently.
	Slots int
	// CacheTokens is the size of the KV cache of one engine, in tokens.
	CacheTokens int
	// StepBase is the duration of a step without work. StepPerRequest is added for each request that generates
	// tokens, and StepPerKiloContext for each 1,000 tokens of its context.
	StepBase, StepPerRequest, StepPerKiloContext time.Duration
	// Stride is the number of steps in a pass, which is one scheduling iteration of the engine.
	Stride int
	// PromptTokensPerSecond is the speed of prompt processing, with at most Chunk tokens in a step.
	PromptTokensPerSecond float64
	Chunk                 int
	// ReportLag is the age of a report that is read from another host.
	ReportLag time.Duration
	// MeanPromptTokens and MeanOutputTokens are the mean numbers of tokens of a request.
	MeanPromptTokens, MeanOutputTokens float64
	// Delays lists the delays between data centres; empty if there are none.
	Delays []Delay
	// Experts is nil unless the engines are ranks of groups that share experts.
	Experts *Experts
}

// Delay is the time that a message takes from one data centre to another.
type Delay struct {
	From, To ids.DataCentre
	Delay    time.Duration
}

// Experts describes the experts of a model group. The ranks of a group are engines that share the model's experts: each
// rank has some of them, and a step needs all ranks.
type Experts struct {
	// Sets is the number of sets of layers that are placed independently, and PerSet the number of experts in each.
	Sets, PerSet int
	// MaxPerRank is the maximum number of experts of a set on one rank, and Spare the maximum number of new ones that
	// one switch may load there.
	MaxPerRank, Spare int
	// CopyTime is the time in which a rank copies one expert's weights.
	CopyTime time.Duration
	// Share is the fraction of the per-token work of a step that the experts do.
	Share float64
	// FormTime is the time that a group needs to form again once all its ranks are back.
	FormTime time.Duration
}

// Service is a set of upstreams that handle the same requests.
type Service struct {
	Name       ids.Service
	HealthPath string
	// ConnectionLimit is the number of connections that an upstream accepts from all hosts together.
	ConnectionLimit int
	// ColdStart is how long an upstream stays cold after it has started. ColdPerSecond is the number of requests per second
	// that a cold upstream accepts from all hosts together; 0 if it is not limited.
	ColdStart     time.Duration
	ColdPerSecond float64
	// Engine is nil for a plain service.
	Engine *Engine
}

// Account is a client account.
type Account struct {
	Name ids.Client
	// Priority overrides that of the route if HasPriority is set.
	Priority    int
	HasPriority bool
}

// Limits bound the requests of callers.
type Limits struct {
	HeaderBytes, BodyBytes     int
	HeaderTimeout, IdleTimeout time.Duration
}

// Configuration is one accepted version of the operators' configuration. It is immutable.
type Configuration struct {
	Revision ids.Revision
	Services map[ids.Service]*Service
	Limits   Limits

	// routes lists each host's routes, sorted by descending length of the prefix.
	routes map[string][]*Route
	// accounts maps keys to accounts. It is nil if no account is configured; then no key is required.
	accounts map[string]*Account
	count    int
	// priorities are those of the routes to each service, most urgent first.
	priorities map[ids.Service][]int
}

// New returns an indexed configuration. accounts maps each key to its account.
func New(revision ids.Revision, routes []*Route, services []*Service, accounts map[string]*Account, limits Limits) *Configuration {
	c := &Configuration{
		Revision: revision,
		Services: make(map[ids.Service]*Service, len(services)),
		Limits:   limits,
		routes:   map[string][]*Route{},
		accounts: accounts,
		count:    len(routes),
	}
	for _, s := range services {
		c.Services[s.Name] = s
	}
	for _, r := range routes {
		host := strings.ToLower(r.Host)
		c.routes[host] = append(c.routes[host], r)
	}
	for _, list := range c.routes {
		slices.SortStableFunc(list, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	c.indexPriorities()
	return c
}

// Route returns the route of the host with the longest matching prefix of the path, or nil. A port in host is
// ignored.
func (c *Configuration) Route(host, path string) *Route {
	name, _, _ := strings.Cut(host, ":")
	for _, r := range c.routes[strings.ToLower(name)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Routes returns the number of routes.
func (c *Configuration) Routes() int { return c.count }

// NeedsKey reports whether requests of the route require the key of a client account.
func (c *Configuration) NeedsKey(r *Route) bool { return c.accounts != nil && !r.Public }

// Account returns the account of the key, or nil.
func (c *Configuration) Account(key string) *Account { return c.accounts[key] }
