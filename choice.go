package rail

// Criteria is what a request asks of an upstream.
type Criteria struct {
	request Request
	route   Route
	version Version
	domain  Domain
	exclude []InstanceID
}

// NewCriteria returns the wish for an upstream of the route in the version, asked for in the domain.
func NewCriteria(request Request, route Route, version Version, domain Domain) Criteria {
	return Criteria{request: request, route: route, version: version, domain: domain}
}

// Excluding returns a copy that does not take these upstreams, which failed this request before.
func (w Criteria) Excluding(ids ...InstanceID) Criteria { w.exclude = ids; return w }

// Request returns the request.
func (w Criteria) Request() Request { return w.request }

// Route returns the route.
func (w Criteria) Route() Route { return w.route }

// Version returns the version.
func (w Criteria) Version() Version { return w.version }

// Domain returns the domain of the entry that asks.
func (w Criteria) Domain() Domain { return w.domain }

// Excluded returns the upstreams not to take.
func (w Criteria) Excluded() []InstanceID { return w.exclude }

// Chooser chooses the upstream of an attempt.
type Chooser interface {
	// Choose returns an upstream of the candidates, false if none will do; random is a uniform random number.
	Choose(w Criteria, candidates []Instance, random uint64) (Instance, bool)
}

// Directory knows the upstreams that may receive new work.
type Directory interface {
	// Upstreams returns the live, reachable instances of the model or service in the version, in order of their ids.
	Upstreams(serves string, version Version) []Instance
}

// VersionPicker assigns requests to versions.
type VersionPicker interface {
	// Pick returns the version that serves the request on the route.
	Pick(route Route, request RequestID) Version
}
