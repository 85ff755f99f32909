package catalog

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
)

// Kind says what may be done with a request of a route.
type Kind string

const (
	// KindSafe requests may run any number of times.
	KindSafe Kind = "safe"
	// KindUnsafe requests run at most once for each attempt of the caller.
	KindUnsafe Kind = "unsafe"
	// KindStream requests are answered by a stream of events; they run at most once unless the route is resumable.
	KindStream Kind = "stream"
)

// WeightedService is one destination of a route.
type WeightedService struct {
	Service ids.Service
	// Weight is its part of the requests, relative to the sum of the route's weights.
	Weight int
}

// Route says what happens to requests for one host and path prefix.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   Kind
	// Services are the destinations; at least one.
	Services []WeightedService
	// Attempts is the most upstreams that one request may be sent to, at least 1.
	Attempts int
	// Timeout is how long a caller may be kept waiting for the whole answer.
	Timeout time.Duration
	// TargetLatency is the time to the answer, or to a stream's first event, that the operator aims at.
	TargetLatency time.Duration
	// TargetGap is the longest pause between two events of a stream that the operator aims at.
	TargetGap time.Duration
	// Priority is the rank among requests that compete; 0 goes first.
	Priority int
	// Public routes need no key.
	Public bool
	// Resumable streams may go on at another upstream after the last event that was delivered.
	Resumable bool
}

// Repeatable reports whether a request that may have run may be run again.
func (r *Route) Repeatable() bool {
	return r.Kind == KindSafe || r.Kind == KindStream && r.Resumable
}

// CallerTimeout is how long a caller of a stream waits for its first event, and between two events, before it leaves: the
// longest of two seconds, four times the aim for the first event and eight times the aim for pauses.
func (r *Route) CallerTimeout() time.Duration {
	return max(minCallerTimeout, 4*r.TargetLatency, 8*r.TargetGap)
}

const minCallerTimeout = 2 * time.Second

// Engine is the published model of a service whose upstreams are model engines that batch requests.
type Engine struct {
	// Slots is how many requests an engine runs at once.
	Slots int
	// CacheTokens is the KV cache of one engine, in tokens.
	CacheTokens int
	// StepBase is the length of a step without work; StepPerRequest and StepPerKiloContext are added for each request
	// that is writing and for each 1,000 tokens of its context.
	StepBase, StepPerRequest, StepPerKiloContext time.Duration
	// Stride is how many steps a pass makes.
	Stride int
	// PromptTokensPerSecond is the speed at which prompts are read, at most Chunk tokens in a step.
	PromptTokensPerSecond float64
	Chunk                 int
	// ReportLag is how old a report is that is read from another host.
	ReportLag time.Duration
	// UsualPrompt and UsualOutput are mean tokens of a request.
	UsualPrompt, UsualOutput float64
	// Experts is nil unless the engines are ranks of groups that share experts.
	Experts *Experts
}

// Experts describes the experts of a group of ranks.
type Experts struct {
	// Sets is the number of sets of layers that are placed independently; each has PerSet experts.
	Sets, PerSet int
	// Placements is the most experts of a set on one rank; Spare is how many new ones one switch may bring there.
	Placements, Spare int
	// CopyTime is how long a rank takes to copy one expert's weights.
	CopyTime time.Duration
	// Share is the part of the work for tokens that experts do.
	Share float64
	// FormTime is how long a group takes to form again once all its ranks are back.
	FormTime time.Duration
}

// Service is a set of upstreams that answer the same requests.
type Service struct {
	Name       ids.Service
	HealthPath string
	// ConnectionLimit is how many connections an upstream accepts from all hosts together.
	ConnectionLimit int
	// Engine is nil for a plain service.
	Engine *Engine
}

// Account is a client account.
type Account struct {
	Name ids.Client
	// Priority goes before that of the route if HasPriority is set.
	Priority    int
	HasPriority bool
}

// Limits bound what a caller may send.
type Limits struct {
	HeaderBytes, BodyBytes     int
	HeaderTimeout, IdleTimeout time.Duration
}

// Configuration is one accepted version of the operators' configuration. It is immutable.
type Configuration struct {
	Version  ids.Revision
	Services map[ids.Service]*Service
	Limits   Limits

	// routes lists each host's routes, the longest prefix first.
	routes map[string][]*Route
	// accounts maps keys to accounts; nil if no account is configured, so that no key is asked for.
	accounts map[string]*Account
	count    int
}

// New indexes a configuration. accounts maps each key to its account.
func New(version ids.Revision, routes []*Route, services []*Service, accounts map[string]*Account, limits Limits) *Configuration {
	c := &Configuration{
		Version:  version,
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
	return c
}

// Route returns the route of the host with the longest prefix that begins the path, or nil. A port in host is ignored.
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

// NeedsKey reports whether requests of the route must name a client account.
func (c *Configuration) NeedsKey(r *Route) bool { return c.accounts != nil && !r.Public }

// Account returns the account that holds the key, or nil.
func (c *Configuration) Account(key string) *Account { return c.accounts[key] }
