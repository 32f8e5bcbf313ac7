package gateway

import (
	"slices"
	"strings"
	"time"

	"dandelionrail.org/rail/slowstart"
)

// Repeat is the policy on running a request more than once.
type Repeat int

// The values of Repeat.
const (
	// AtMostOnce requests run once or not at all.
	AtMostOnce Repeat = iota
	// Repeatable requests may run more than once.
	Repeatable
)

// Backend is a service that receives a share of a route's requests.
type Backend struct {
	service string
	weight  int
}

// NewBackend returns a service and its weight among the backends of a route.
func NewBackend(service string, weight int) Backend { return Backend{service: service, weight: weight} }

// Route is one entry of the routing table.
type Route struct {
	name, host, prefix string
	repeat             Repeat
	streaming          bool
	resumable          bool
	public             bool
	timeout            time.Duration
	goal               time.Duration
	gapGoal            time.Duration
	attempts           int
	priority           int
	backends           []Backend
	// regions are those whose upstreams may get the requests, all if empty.
	regions []string
}

// NewRoute returns a route for the paths of the host that begin with the prefix.
func NewRoute(name, host, prefix string, backends ...Backend) *Route {
	return &Route{name: name, host: strings.ToLower(host), prefix: prefix, backends: backends, attempts: 1}
}

// WithRepeat returns the route with its repeat policy and the maximum number of attempts that may run.
func (r *Route) WithRepeat(repeat Repeat, attempts int) *Route {
	r.repeat, r.attempts = repeat, max(1, attempts)
	return r
}

// WithStream returns the route as one of event streams; gapGoal is the goal for the time between two events.
func (r *Route) WithStream(resumable bool, gapGoal time.Duration) *Route {
	r.streaming, r.resumable, r.gapGoal = true, resumable, gapGoal
	return r
}

// mayRunAgain reports whether a request of the route that may have run may be sent again.
func (r *Route) mayRunAgain() bool { return r.repeat == Repeatable || r.mayResume() }

// WithTimes returns the route with its timeout and its latency goal.
func (r *Route) WithTimes(timeout, goal time.Duration) *Route {
	r.timeout, r.goal = timeout, goal
	return r
}

// WithPriority returns the route with its priority, zero for the most urgent.
func (r *Route) WithPriority(priority int) *Route {
	r.priority = priority
	return r
}

// WithAccess returns the route as public, which needs no key, or not.
func (r *Route) WithAccess(public bool) *Route {
	r.public = public
	return r
}

// WithRegions returns the route with the regions whose upstreams may get its requests, all if empty.
func (r *Route) WithRegions(regions []string) *Route {
	r.regions = regions
	return r
}

// Name returns the route's name.
func (r *Route) Name() string { return r.name }

// mayResume reports whether a stream may be resumed at another upstream.
func (r *Route) mayResume() bool { return r.streaming && r.resumable }

// Scaling bounds the upstreams of a service in each failure domain.
type Scaling struct {
	minUpstreams, maxUpstreams int
	prices                     map[string]float64
}

// NewScaling returns the bounds with the price of an upstream by failure domain.
func NewScaling(minUpstreams, maxUpstreams int, prices map[string]float64) *Scaling {
	return &Scaling{minUpstreams: minUpstreams, maxUpstreams: maxUpstreams, prices: prices}
}

// Service is a group of interchangeable upstreams.
type Service struct {
	name         string
	maxConns     int
	slots        int
	memoryTokens int64
	// stride is the number of tokens that an event of a stream holds, zero if the configuration does not state it.
	stride int64
	// cacheTokenBytes is the size of a cached token in a copy, zero if unknown.
	cacheTokenBytes int64
	scaling         *Scaling
	// cold is what the upstreams tolerate while they are cold.
	cold slowstart.Limits
}

// NewService returns a service; maxConns bounds the connections of all gateways to one upstream.
func NewService(name string, maxConns int) *Service {
	return &Service{name: name, maxConns: maxConns}
}

// WithEngine returns the service as one of model engines, with their concurrent requests and their memory in tokens.
func (s *Service) WithEngine(slots int, memoryTokens int64) *Service {
	s.slots, s.memoryTokens = slots, memoryTokens
	return s
}

// WithStride returns the service with the number of tokens that an event of a stream holds, zero for the default.
func (s *Service) WithStride(tokens int64) *Service {
	s.stride = tokens
	return s
}

// defaultStride is the number of tokens that an event of a stream holds if the configuration does not state it.
const defaultStride = 6

// EventTokens returns the number of tokens that an event of a stream holds.
func (s *Service) EventTokens() int64 {
	if s == nil || s.stride <= 0 {
		return defaultStride
	}
	return s.stride
}

// WithCacheTokenBytes returns the service with the size of a cached token in a copy from one engine to another.
func (s *Service) WithCacheTokenBytes(n int64) *Service {
	s.cacheTokenBytes = n
	return s
}

// WithScaling returns the service with the bounds of its number of upstreams.
func (s *Service) WithScaling(scaling *Scaling) *Service {
	s.scaling = scaling
	return s
}

// WithSlowStart returns the service with what its upstreams tolerate while they are cold.
func (s *Service) WithSlowStart(limits slowstart.Limits) *Service {
	s.cold = limits
	return s
}

// MaxConns returns how many connections an upstream accepts from all gateways together.
func (s *Service) MaxConns() int { return s.maxConns }

// isEngine reports whether the upstreams are model engines.
func (s *Service) isEngine() bool { return s.memoryTokens > 0 }

// Team is a customer with keys, a priority and a limit.
type Team struct {
	name         string
	keys         []string
	priority     int
	countsTokens bool
	plainTokens  int64
	rate         float64
	burst        float64
	// regions are those whose upstreams may get the team's requests, all if empty.
	regions []string
}

// NewTeam returns a team; priority zero is the most urgent.
func NewTeam(name string, priority int, keys []string) *Team {
	return &Team{name: name, priority: priority, keys: keys}
}

// WithLimit returns the team with its rate limit per second and its burst, in tokens or in requests; plainTokens is the size of a request that states none, zero if requests are counted.
func (t *Team) WithLimit(rate, burst float64, countsTokens bool, plainTokens int64) *Team {
	t.rate, t.burst, t.countsTokens, t.plainTokens = rate, burst, countsTokens, plainTokens
	return t
}

// WithRegions returns the team with the regions whose upstreams may get its requests, all if empty.
func (t *Team) WithRegions(regions []string) *Team {
	t.regions = regions
	return t
}

// Name returns the team's name.
func (t *Team) Name() string { return t.name }

// cost returns the amount that the call uses of the team's limit.
func (t *Team) cost(c *Call) float64 {
	if !t.countsTokens {
		return 1
	}
	if !c.sized {
		return float64(t.plainTokens)
	}
	return float64(c.prompt + c.output)
}

// Limits bounds the requests of callers.
type Limits struct {
	headerBytes, bodyBytes int64
	headerTime, idleTime   time.Duration
}

// NewLimits returns the limits; zero means no limit.
func NewLimits(headerBytes, bodyBytes int64, headerTime, idleTime time.Duration) Limits {
	return Limits{headerBytes: headerBytes, bodyBytes: bodyBytes, headerTime: headerTime, idleTime: idleTime}
}

// HeaderBytes returns the maximum size of a request's line and headers.
func (l Limits) HeaderBytes() int64 { return l.headerBytes }

// HeaderTime returns how long a caller may take to send a request's headers.
func (l Limits) HeaderTime() time.Duration { return l.headerTime }

// BodyBytes returns the maximum size of a request body.
func (l Limits) BodyBytes() int64 { return l.bodyBytes }

// IdleTime returns how long a connection may stay idle.
func (l Limits) IdleTime() time.Duration { return l.idleTime }

// Config is one version of the configuration of routes, services and teams.
type Config struct {
	version      int64
	routesByHost map[string][]*Route
	services     map[string]*Service
	teams        map[string]*Team
	teamsByKey   map[string]*Team
	limits       Limits
}

// NewConfig returns a configuration with its version.
func NewConfig(version int64, routes []*Route, services []*Service, teams []*Team, limits Limits) *Config {
	c := &Config{
		version: version, routesByHost: map[string][]*Route{}, services: map[string]*Service{},
		teams: map[string]*Team{}, teamsByKey: map[string]*Team{}, limits: limits,
	}
	for _, r := range routes {
		c.routesByHost[r.host] = append(c.routesByHost[r.host], r)
	}
	for _, rs := range c.routesByHost {
		slices.SortStableFunc(rs, func(a, b *Route) int { return len(b.prefix) - len(a.prefix) })
	}
	for _, s := range services {
		c.services[s.name] = s
	}
	for _, t := range teams {
		c.teams[t.name] = t
		for _, k := range t.keys {
			c.teamsByKey[k] = t
		}
	}
	return c
}

// Version returns the version number.
func (c *Config) Version() int64 { return c.version }

// Limits returns the limits on callers' requests.
func (c *Config) Limits() Limits { return c.limits }

// Service returns the named service, nil if there is none.
func (c *Config) Service(name string) *Service { return c.services[name] }

// route returns the route with the longest prefix of the path, nil if there is none.
func (c *Config) route(host, path string) *Route {
	for _, r := range c.routesByHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.prefix) {
			return r
		}
	}
	return nil
}

// team returns the team with the key, nil if there is none.
func (c *Config) team(key string) *Team {
	if key == "" {
		return nil
	}
	return c.teamsByKey[key]
}
