package rail

import "time"

// Team is a customer with a reserved share of the capacity and limits.
type Team struct {
	name       TeamName
	tokenHash  string
	share      float64
	priority   int
	limit      float64
	retryShare float64
}

// NewTeam returns a team; tokenHash is the lower-case hex SHA-256 of the bearer token, share is the reserved fraction of the capacity from 0 to 1.
func NewTeam(name TeamName, tokenHash string, share float64, priority int) Team {
	return Team{name: name, tokenHash: tokenHash, share: share, priority: priority}
}

// WithLimit returns a copy limited to a number of requests per second over all entries.
func (t Team) WithLimit(perSecond float64) Team { t.limit = perSecond; return t }

// WithRetryShare returns a copy that may spend this fraction of its requests on retries.
func (t Team) WithRetryShare(share float64) Team { t.retryShare = share; return t }

// Name returns the team's name.
func (t Team) Name() TeamName { return t.name }

// TokenHash returns the lower-case hex SHA-256 of the bearer token.
func (t Team) TokenHash() string { return t.tokenHash }

// Share returns the reserved fraction of the capacity from 0 to 1.
func (t Team) Share() float64 { return t.share }

// Priority returns the priority; larger values are served first.
func (t Team) Priority() int { return t.priority }

// Limit returns the limit in requests per second over all entries, zero for no limit.
func (t Team) Limit() float64 { return t.limit }

// RetryShare returns the fraction of its requests that the team may spend on retries.
func (t Team) RetryShare() float64 { return t.retryShare }

// RouteKind is the type of upstream that serves a route.
type RouteKind string

// The kinds of routes.
const (
	RouteModel   RouteKind = "model"
	RouteService RouteKind = "service"
)

// Route directs requests to the upstreams of one model or service.
type Route struct {
	name       RouteName
	kind       RouteKind
	serves     string
	idempotent bool
	stable     Version
	firstToken time.Duration
	deadline   time.Duration
}

// NewRoute returns a route to the model or service in its stable version.
func NewRoute(name RouteName, kind RouteKind, serves string, idempotent bool, stable Version) Route {
	return Route{name: name, kind: kind, serves: serves, idempotent: idempotent, stable: stable}
}

// WithTargets returns a copy with the latency target for the first token and the deadline of a request.
func (r Route) WithTargets(firstToken, deadline time.Duration) Route {
	r.firstToken, r.deadline = firstToken, deadline
	return r
}

// Name returns the route's name.
func (r Route) Name() RouteName { return r.name }

// Kind returns what serves the route.
func (r Route) Kind() RouteKind { return r.kind }

// Serves returns the model's or service's name.
func (r Route) Serves() string { return r.serves }

// Idempotent reports whether a request may be repeated.
func (r Route) Idempotent() bool { return r.idempotent }

// Stable returns the version that serves all requests not assigned to a rollout.
func (r Route) Stable() Version { return r.stable }

// FirstToken returns the latency target for the first token of a model or the complete answer of a service.
func (r Route) FirstToken() time.Duration { return r.firstToken }

// Deadline returns the longest duration of a request, zero for no limit.
func (r Route) Deadline() time.Duration { return r.deadline }

// Rollout moves a route to a new version by a deadline.
type Rollout struct {
	route    RouteName
	version  Version
	deadline time.Time
}

// NewRollout returns a rollout of the route to the version, due at the deadline.
func NewRollout(route RouteName, version Version, deadline time.Time) Rollout {
	return Rollout{route: route, version: version, deadline: deadline}
}

// Route returns the route.
func (r Rollout) Route() RouteName { return r.route }

// Version returns the new version.
func (r Rollout) Version() Version { return r.version }

// Deadline returns when the rollout must be completed or rolled back.
func (r Rollout) Deadline() time.Time { return r.deadline }

// Document is one version of the teams, routes and rollouts of an environment.
type Document struct {
	environment string
	number      uint64
	teams       []Team
	routes      []Route
	rollouts    []Rollout
	source      string
}

// NewDocument returns the document with its parsed content and its INI source.
func NewDocument(environment string, number uint64, teams []Team, routes []Route, rollouts []Rollout, source string) Document {
	return Document{environment: environment, number: number, teams: teams, routes: routes, rollouts: rollouts, source: source}
}

// WithNumber returns a copy with another version number.
func (d Document) WithNumber(n uint64) Document { d.number = n; return d }

// Environment returns the environment's name, for example trial or production.
func (d Document) Environment() string { return d.environment }

// Number returns the version number, zero for no document.
func (d Document) Number() uint64 { return d.number }

// Teams returns the teams; the slice must not be changed.
func (d Document) Teams() []Team { return d.teams }

// Routes returns the routes; the slice must not be changed.
func (d Document) Routes() []Route { return d.routes }

// Rollouts returns the rollouts; the slice must not be changed.
func (d Document) Rollouts() []Rollout { return d.rollouts }

// Source returns the INI text.
func (d Document) Source() string { return d.source }

// Team returns the team with the name.
func (d Document) Team(name TeamName) (Team, bool) {
	for _, t := range d.teams {
		if t.name == name {
			return t, true
		}
	}
	return Team{}, false
}

// TeamByTokenHash returns the team with the token hash.
func (d Document) TeamByTokenHash(hash string) (Team, bool) {
	for _, t := range d.teams {
		if t.tokenHash == hash {
			return t, true
		}
	}
	return Team{}, false
}

// Route returns the route with the name.
func (d Document) Route(name RouteName) (Route, bool) {
	for _, r := range d.routes {
		if r.name == name {
			return r, true
		}
	}
	return Route{}, false
}

// RouteByModel returns the model route that serves the model.
func (d Document) RouteByModel(model string) (Route, bool) {
	for _, r := range d.routes {
		if r.kind == RouteModel && r.serves == model {
			return r, true
		}
	}
	return Route{}, false
}

// Rollout returns the rollout of the route.
func (d Document) Rollout(route RouteName) (Rollout, bool) {
	for _, r := range d.rollouts {
		if r.route == route {
			return r, true
		}
	}
	return Rollout{}, false
}
