package gateway

import (
	"slices"
	"strings"
	"time"
)

// Repeat says how often the upstreams may run one request.
type Repeat int

// The values of Repeat.
const (
	// AtMostOnce requests run once or not at all.
	AtMostOnce Repeat = iota
	// Repeatable requests may run more than once.
	Repeatable
)

// Backend is a service that gets a share of a route's requests.
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
	pause              time.Duration
	attempts           int
	rank               int
	backends           []Backend
}

// NewRoute returns the route for the paths of the host that begin with the prefix.
func NewRoute(name, host, prefix string, backends ...Backend) *Route {
	return &Route{name: name, host: strings.ToLower(host), prefix: prefix, backends: backends, attempts: 1}
}

// WithRepeat returns the route with how often its requests may run, and the upstreams that one may be sent to.
func (r *Route) WithRepeat(repeat Repeat, attempts int) *Route {
	r.repeat, r.attempts = repeat, max(1, attempts)
	return r
}

// WithStream returns the route as one of event streams; pause is the longest between two events of an answer in time.
func (r *Route) WithStream(resumable bool, pause time.Duration) *Route {
	r.streaming, r.resumable, r.pause = true, resumable, pause
	return r
}

// WithTimes returns the route with its timeout and the time within which an answer is in time.
func (r *Route) WithTimes(timeout, goal time.Duration) *Route {
	r.timeout, r.goal = timeout, goal
	return r
}

// WithPriority returns the route with its rank, zero for the most urgent.
func (r *Route) WithPriority(rank int) *Route {
	r.rank = rank
	return r
}

// WithAccess returns the route with whether it needs no key.
func (r *Route) WithAccess(public bool) *Route {
	r.public = public
	return r
}

// Name returns the route's name.
func (r *Route) Name() string { return r.name }

// mayResume reports whether a stream may go on at another upstream.
func (r *Route) mayResume() bool { return r.streaming && r.resumable }

// Scaling bounds the upstreams of a service in each failure domain.
type Scaling struct {
	least, most int
	prices      map[string]float64
}

// NewScaling returns the bounds; prices are those of an upstream by failure domain.
func NewScaling(least, most int, prices map[string]float64) *Scaling {
	return &Scaling{least: least, most: most, prices: prices}
}

// Service is a group of upstreams that serve the same.
type Service struct {
	name     string
	maxConns int
	slots    int
	memory   int64
	scaling  *Scaling
}

// NewService returns a service; maxConns bounds the connections of all gateways to one upstream.
func NewService(name string, maxConns int) *Service {
	return &Service{name: name, maxConns: maxConns}
}

// WithEngine returns the service as one of model engines with slots and memory in tokens.
func (s *Service) WithEngine(slots int, memory int64) *Service {
	s.slots, s.memory = slots, memory
	return s
}

// WithScaling returns the service with the bounds of its upstreams.
func (s *Service) WithScaling(scaling *Scaling) *Service {
	s.scaling = scaling
	return s
}

// MaxConns returns how many connections of all gateways an upstream takes.
func (s *Service) MaxConns() int { return s.maxConns }

// engine reports whether the upstreams are model engines.
func (s *Service) engine() bool { return s.memory > 0 }

// Team is a customer with keys, a rank and a limit.
type Team struct {
	name        string
	keys        []string
	rank        int
	inTokens    bool
	plainTokens int64
	rate        float64
	burst       float64
}

// NewTeam returns a team; rank zero is the most urgent.
func NewTeam(name string, rank int, keys []string) *Team {
	return &Team{name: name, rank: rank, keys: keys}
}

// WithLimit returns the team with its limit a second and its burst; plainTokens is the size of a request that states none, zero if requests are counted.
func (t *Team) WithLimit(rate, burst float64, inTokens bool, plainTokens int64) *Team {
	t.rate, t.burst, t.inTokens, t.plainTokens = rate, burst, inTokens, plainTokens
	return t
}

// Name returns the team's name.
func (t *Team) Name() string { return t.name }

// cost returns what the call counts against the team's limit.
func (t *Team) cost(c *Call) float64 {
	if !t.inTokens {
		return 1
	}
	if !c.sized {
		return float64(t.plainTokens)
	}
	return float64(c.prompt + c.output)
}

// Limits bounds what callers may send.
type Limits struct {
	headerBytes, bodyBytes int64
	headerTime, idleTime   time.Duration
}

// NewLimits returns the limits; zero leaves one open.
func NewLimits(headerBytes, bodyBytes int64, headerTime, idleTime time.Duration) Limits {
	return Limits{headerBytes: headerBytes, bodyBytes: bodyBytes, headerTime: headerTime, idleTime: idleTime}
}

// BodyBytes returns the largest request body.
func (l Limits) BodyBytes() int64 { return l.bodyBytes }

// IdleTime returns how long a connection may stay idle.
func (l Limits) IdleTime() time.Duration { return l.idleTime }

// Config is one version of the configuration.
type Config struct {
	version  int64
	hosts    map[string][]*Route
	services map[string]*Service
	teams    map[string]*Team
	keys     map[string]*Team
	limits   Limits
}

// NewConfig returns the configuration of the version.
func NewConfig(version int64, routes []*Route, services []*Service, teams []*Team, limits Limits) *Config {
	c := &Config{
		version: version, hosts: map[string][]*Route{}, services: map[string]*Service{},
		teams: map[string]*Team{}, keys: map[string]*Team{}, limits: limits,
	}
	for _, r := range routes {
		c.hosts[r.host] = append(c.hosts[r.host], r)
	}
	for _, rs := range c.hosts {
		slices.SortStableFunc(rs, func(a, b *Route) int { return len(b.prefix) - len(a.prefix) })
	}
	for _, s := range services {
		c.services[s.name] = s
	}
	for _, t := range teams {
		c.teams[t.name] = t
		for _, k := range t.keys {
			c.keys[k] = t
		}
	}
	return c
}

// Version returns the version's number.
func (c *Config) Version() int64 { return c.version }

// Limits returns what callers may send.
func (c *Config) Limits() Limits { return c.limits }

// Service returns the service of the name, nil if there is none.
func (c *Config) Service(name string) *Service { return c.services[name] }

// route returns the route with the longest prefix of the path, nil if there is none.
func (c *Config) route(host, path string) *Route {
	for _, r := range c.hosts[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.prefix) {
			return r
		}
	}
	return nil
}

// team returns the team that holds the key, nil if none does.
func (c *Config) team(key string) *Team {
	if key == "" {
		return nil
	}
	return c.keys[key]
}
